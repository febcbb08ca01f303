#!/usr/bin/env bash
# Measures look-ups at one entry VM, and the time from the proposal of a
# release note until it is in force on all entry VMs, with the settings of
# examples/. Needs curl, jq and wrk.
#   BIN     the folder of the built programs (target/release; built if not given)
#   LENGTH  the seconds of look-ups (5)
#   NOTES   the notes that are put in force (20)
set -euo pipefail
cd "$(dirname "$0")/.."
PROFILE=release
source scripts/lib.sh
LENGTH=${LENGTH:-5}
NOTES=${NOTES:-20}
command -v wrk >/dev/null || { echo "lookups: needs wrk" >&2; exit 2; }

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

# Processor time of a VM so far, in ms.
cpu_ms() {
    local fields
    read -ra fields <"/proc/${pids[$1]}/stat"
    echo $(((fields[13] + fields[14]) * 1000 / $(getconf CLK_TCK)))
}

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
start_targets
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait >/dev/null 2>&1
within 15 lease_count "${#targets[@]}" "${entries[@]}"

step="idle"
before=$(cpu_ms entry-11)
control=$(cpu_ms control-1)
sleep "$LENGTH"
say "idle: entry-11 took $((($(cpu_ms entry-11) - before) / LENGTH)) ms, control-1 $((($(cpu_ms control-1) - control) / LENGTH)) ms of processor time a second"

step="look-ups"
before=$(cpu_ms entry-11)
wrk -t 2 -c 32 -d "${LENGTH}s" --latency "http://$(callers entry-11)/v1/lookup?service=shifts" >"$work/wrk"
used=$(($(cpu_ms entry-11) - before))
count=$(awk '/requests in/ {print $1}' "$work/wrk")
say "look-ups: $count in $LENGTH s, $((used * 1000 / count)) us of processor time each, $((count * 1000 / used)) a second for each core in use"
grep -E '50%|99%' "$work/wrk"

step="notes"
spent=()
for ((number = 2; number < NOTES + 2; number++)); do
    printf 'number: %d\nadded:\n  services:\n  - name: extra-%d\n    repeatable: true\n' "$number" "$number" >"$work/note.yaml"
    begun=$(date +%s%3N)
    "$BIN/pimento" note apply "$work/note.yaml" >/dev/null 2>&1
    for vm in "${entries[@]}"; do
        until at_version "$vm" "$number" >/dev/null 2>&1; do sleep 0.02; done
    done
    spent+=($(($(date +%s%3N) - begun)))
done
sorted=($(printf '%s\n' "${spent[@]}" | sort -n))
say "in force on ${#entries[@]} entry VMs, from the command's start: median ${sorted[$((NOTES / 2))]} ms, longest ${sorted[-1]} ms of $NOTES notes"
