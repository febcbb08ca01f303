#!/usr/bin/env bash
# Measures planned stops under load: each entry VM in turn gets SIGTERM and is
# started again, and one target after the other is drained. See
# docs/MEASUREMENTS.md.
#
#   BIN    the folder of the built programs (target/release; built if not given)
#   RATE   requests a second (200)
#   WORK   mean time of a request at its target in milliseconds (50)
set -euo pipefail
cd "$(dirname "$0")/.."
PROFILE=release
source scripts/lib.sh
RATE=${RATE:-200}
WORK=${WORK:-50}

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
targets=()
for domain in 1 2; do
    for i in 1 2 3 4 5 6; do
        service=shifts
        if ((i > 3)); then service=signups; fi
        target=$net.1$domain.$i:9000
        targets+=("$target")
        start_target "t$domain$i" "$service" "$target" --slots 4 --time-ms "$WORK" --shape exponential
    done
done
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait --within 15 >/dev/null
within 15 lease_count "${#targets[@]}" "${entries[@]}"
for vm in "${entries[@]}"; do within 10 answers "$vm"; done

load() { # SECONDS; leaves the report in load.json
    "$BIN/pimento" --output json load --service shifts --once signups --rate "$RATE" --seconds "$1" \
        --callers "$(joined $(for vm in "${entries[@]}"; do callers "$vm"; done))" \
        --targets "$(joined "${targets[@]}")" >"$work/logs/load.json" 2>"$work/logs/load.err" || true
}
judge() { # WHAT
    jq -r --arg what "$1" '"\($what): \(.sent) requests, \(.answered) answered, \(.lost + .truncated) cut off, \(.unanswered) without answer, \(.failed) failed with a verdict, \(.unreachable) closed ports met, \(.duplicates) repeated runs, p99 \(.latencies[-1].p99) ms"' "$work/logs/load.json"
    jq -e '.broken == []' "$work/logs/load.json" >/dev/null || { jq -c '.broken, .failures' "$work/logs/load.json"; fail "$1 broke a promise"; }
}
millis() { date +%s%3N; }
gone() { ! kill -0 "${pids[$1]}" 2>/dev/null; }

step="steady"
load 5
judge "no stop"

step="planned stops"
for vm in "${entries[@]}"; do
    load 10 &
    loading=$!
    sleep 2
    begun=$(millis)
    kill -TERM "${pids[$vm]}"
    for other in "${entries[@]}"; do
        if [[ $other == "$vm" ]]; then continue; fi
        within 2 names_not "$other" shifts "$vm"
        within 2 names_not "$other" signups "$vm"
    done
    unnamed=$(($(millis) - begun))
    within 10 gone "$vm"
    exited=$(($(millis) - begun))
    wait "${pids[$vm]}" || fail "$vm exited with $?"
    wait "$loading"
    judge "$vm stopped, unnamed after $unnamed ms, exited after $exited ms"
    start_vm "$vm"
    within 10 answers "$vm"
done

step="drained targets"
for target in 0 3 6 9; do
    drained=t$((1 + target / 6))$((1 + target % 6))
    load 6 &
    loading=$!
    sleep 2
    begun=$(millis)
    last=$begun
    "$BIN/pimento" target drain "$drained" >/dev/null
    runs=$(counter "${targets[$target]}" runs)
    for ((i = 0; i < 60; i++)); do
        now=$(counter "${targets[$target]}" runs)
        if ((now != runs)); then
            runs=$now
            last=$(millis)
        fi
        sleep 0.05
    done
    wait "$loading"
    judge "target $drained drained, last new work after $((last - begun)) ms"
done
say "done in $SECONDS s"
