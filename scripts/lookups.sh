#!/usr/bin/env bash
# Measures lookups at one entry VM, and the time from the proposal of a release
# note until it is in force on all entry VMs, with the settings of
# examples/. Needs curl, jq and wrk.
#   BIN     folder of the built programs (target/release; built if not given)
#   LENGTH  duration of the lookup measurement in seconds (5)
#   NOTES   number of notes to put in force (20)
set -euo pipefail
cd "$(dirname "$0")/.."
PROFILE=release
source scripts/lib.sh
LENGTH=${LENGTH:-5}
NOTES=${NOTES:-20}
command -v wrk >/dev/null || { echo "lookups: needs wrk" >&2; exit 2; }

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

# CPU time of a VM so far, in ms.
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
within 15 has_leases "${#targets[@]}" "${entries[@]}"

step="idle"
before=$(cpu_ms entry-11)
control_before=$(cpu_ms control-1)
sleep "$LENGTH"
info "idle: entry-11 took $((($(cpu_ms entry-11) - before) / LENGTH)) ms, control-1 $((($(cpu_ms control-1) - control_before) / LENGTH)) ms of CPU time per second"

step="lookups"
before=$(cpu_ms entry-11)
wrk -t 2 -c 32 -d "${LENGTH}s" --latency "http://$(caller_listener entry-11)/v1/lookup?service=shifts" >"$work/wrk"
used=$(($(cpu_ms entry-11) - before))
count=$(awk '/requests in/ {print $1}' "$work/wrk")
info "lookups: $count in $LENGTH s, $((used * 1000 / count)) us of CPU time each, $((count * 1000 / used)) per second and core in use"
grep -E '50%|99%' "$work/wrk"

step="notes"
durations=()
for ((number = 2; number < NOTES + 2; number++)); do
    printf 'number: %d\nadded:\n  services:\n  - name: extra-%d\n    repeatable: true\n' "$number" "$number" >"$work/note.yaml"
    start_ms=$(date +%s%3N)
    "$BIN/pimento" note apply "$work/note.yaml" >/dev/null 2>&1
    for vm in "${entries[@]}"; do
        until has_version "$vm" "$number" >/dev/null 2>&1; do sleep 0.02; done
    done
    durations+=($(($(date +%s%3N) - start_ms)))
done
sorted=($(printf '%s\n' "${durations[@]}" | sort -n))
info "in force on ${#entries[@]} entry VMs, from the start of the command: median ${sorted[$((NOTES / 2))]} ms, longest ${sorted[-1]} ms of $NOTES notes"
