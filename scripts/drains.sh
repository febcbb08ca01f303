#!/usr/bin/env bash
# Measures graceful shutdowns under load: each entry VM in turn gets SIGTERM and
# is restarted, then some targets are drained one after the other. See
# docs/MEASUREMENTS.md.
#
#   BIN    folder of the built programs (target/release; built if not given)
#   RATE   requests per second (200)
#   WORK   mean service time of a request in milliseconds (50)
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
within 15 has_leases "${#targets[@]}" "${entries[@]}"
for vm in "${entries[@]}"; do within 10 serves_requests "$vm"; done

run_load() { # SECONDS; leaves the report in load.json
    "$BIN/pimento" --output json load --service shifts --once signups --rate "$RATE" --seconds "$1" \
        --callers "$(join_by_comma $(for vm in "${entries[@]}"; do caller_listener "$vm"; done))" \
        --targets "$(join_by_comma "${targets[@]}")" >"$work/logs/load.json" 2>"$work/logs/load.err" || true
}
check_report() { # TITLE; prints the report, fails if a guarantee was violated
    jq -r --arg title "$1" '"\($title): \(.sent) requests, \(.answered) answered, \(.lost + .truncated) lost or truncated, \(.unanswered) without response, \(.failed) failed with a verdict, \(.unreachable) failed to connect, \(.duplicates) duplicate runs, p99 \(.latencies[-1].p99) ms"' "$work/logs/load.json"
    jq -e '.broken == []' "$work/logs/load.json" >/dev/null || { jq -c '.broken, .failures' "$work/logs/load.json"; fail "$1 violated a guarantee"; }
}
now_ms() { date +%s%3N; }
has_exited() { ! kill -0 "${pids[$1]}" 2>/dev/null; }

step="steady"
run_load 5
check_report "no shutdown"

step="graceful shutdowns"
for vm in "${entries[@]}"; do
    run_load 10 &
    load_pid=$!
    sleep 2
    start_ms=$(now_ms)
    kill -TERM "${pids[$vm]}"
    for other in "${entries[@]}"; do
        if [[ $other == "$vm" ]]; then continue; fi
        within 2 lookup_excludes "$other" shifts "$vm"
        within 2 lookup_excludes "$other" signups "$vm"
    done
    removed_ms=$(($(now_ms) - start_ms))
    within 10 has_exited "$vm"
    exited_ms=$(($(now_ms) - start_ms))
    wait "${pids[$vm]}" || fail "$vm exited with $?"
    wait "$load_pid"
    check_report "$vm stopped, removed from lookups after $removed_ms ms, exited after $exited_ms ms"
    start_vm "$vm"
    within 10 serves_requests "$vm"
done

step="drained targets"
for target in 0 3 6 9; do
    drained=t$((1 + target / 6))$((1 + target % 6))
    run_load 6 &
    load_pid=$!
    sleep 2
    start_ms=$(now_ms)
    last_run_ms=$start_ms
    "$BIN/pimento" target drain "$drained" >/dev/null
    runs=$(target_counter "${targets[$target]}" runs)
    for ((i = 0; i < 60; i++)); do
        now=$(target_counter "${targets[$target]}" runs)
        if ((now != runs)); then
            runs=$now
            last_run_ms=$(now_ms)
        fi
        sleep 0.05
    done
    wait "$load_pid"
    check_report "target $drained drained, last new request after $((last_run_ms - start_ms)) ms"
done
info "done in $SECONDS s"
