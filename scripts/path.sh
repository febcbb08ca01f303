#!/usr/bin/env bash
# Compares request paths in one run: directly to a target, through the entry VM
# that holds the target's lease, through another entry VM, and with a claim for
# a request that must run at most once. See docs/MEASUREMENTS.md.
#
# Latency is reported as the time added to the direct path. Requests per second
# and core are computed from the CPU time of the processes, so that they don't
# depend on the other load of the machine. The latter show as "-" if a
# measurement was too short to use any CPU time.
#
#   BIN      folder of the built programs (target/release; built if not given)
#   RATE     requests per second (500)
#   LENGTH   duration of each measurement in seconds (5)
#   ROUNDS   measurements of each path, whose median is reported (3)
set -euo pipefail
cd "$(dirname "$0")/.."
PROFILE=release
source scripts/lib.sh
RATE=${RATE:-500}
LENGTH=${LENGTH:-5}
ROUNDS=${ROUNDS:-3}

entries=(entry-11 entry-12 entry-13)
controls=(control-1 control-2 control-3)
repeatable_target=$net.11.1:9000
keyed_target=$net.11.2:9000

# Total CPU time of processes so far, in clock ticks.
cpu_ticks() { # NAME...
    local name total=0 fields
    for name in "$@"; do
        fields=($(sed 's/.*) //' "/proc/${pids[$name]}/stat"))
        total=$((total + fields[11] + fields[12]))
    done
    echo "$total"
}

# CPU time of the system without requests, in ticks per measurement.
idle_ticks=0
measure_idle() {
    local before
    before=$(cpu_ticks "${entries[@]}" "${controls[@]}")
    sleep "$LENGTH"
    idle_ticks=$(($(cpu_ticks "${entries[@]}" "${controls[@]}") - before))
}

# Runs one measurement; prints p50 and p99 in ms, and the CPU time of the
# system's processes per request in microseconds.
measure() { # KIND SERVICE LISTENER TARGET
    local report=$work/logs/measure.json before after
    before=$(cpu_ticks "${entries[@]}" "${controls[@]}")
    "$BIN/pimento" --output json load --entries "$3" "$1" "$2" --targets "$4" --rate "$RATE" \
        --seconds "$LENGTH" >"$report" 2>"$work/logs/measure.err" ||
        { jq -c '.broken, .failures' "$report" >&2; fail "a measurement of $2 at $3 failed"; }
    after=$(cpu_ticks "${entries[@]}" "${controls[@]}")
    jq -r --argjson ticks $((after - before - idle_ticks)) --argjson hz "$(getconf CLK_TCK)" \
        '"\(.latencies[-1].p50) \(.latencies[-1].p99) \($ticks * 1e6 / $hz / .answered)"' "$report"
}

# The median of each column of the measurements on standard input.
medians() {
    jq -Rrs 'split("\n") | map(select(. != "") | split(" ") | map(tonumber)) | transpose
        | map(sort | .[length / 2 | floor]) | map(. * 1000 | round / 1000) | join(" ")'
}

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
start_target t11 shifts "$repeatable_target" --slots 64 --time-ms 0 --workers 2
start_target t12 signups "$keyed_target" --slots 64 --time-ms 0 --workers 2
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait --within 15 >/dev/null
within 15 has_leases 2 "${entries[@]}"

has_lease_for() { status "$1" | jq -e --arg service "$2" '[.targets[].service] | index($service) != null' >/dev/null; }
holder_of() { for vm in "${entries[@]}"; do if has_lease_for "$vm" "$1"; then echo "$vm"; return; fi; done; }
holder=$(holder_of shifts)
keyed_holder=$(holder_of signups)
[[ -n $holder && -n $keyed_holder ]] || fail "no entry VM holds the targets' leases"
other=entry-11
if [[ $other == "$holder" ]]; then other=entry-12; fi
within 10 serves_requests "$other"

step="measure"
measure_idle
for ((round = 0; round < ROUNDS; round++)); do
    measure --service shifts "$repeatable_target" "$repeatable_target" >>"$work/direct"
    measure --service shifts "$(caller_listener "$holder")" "$repeatable_target" >>"$work/holder"
    measure --service shifts "$(caller_listener "$other")" "$repeatable_target" >>"$work/forwarded"
    measure --once signups "$keyed_target" "$keyed_target" >>"$work/direct-keyed"
    measure --once signups "$(caller_listener "$keyed_holder")" "$keyed_target" >>"$work/claimed"
done

step="report"
info "$((idle_ticks * 1000 / LENGTH / $(getconf CLK_TCK))) ms of CPU time per second without requests, all 6 VMs"
info "$RATE requests per second, medians of $ROUNDS measurements of $LENGTH s, $(nproc) cores"
printf '%-34s %8s %8s %10s %10s %12s\n' path 'p50 ms' 'p99 ms' '+p50 ms' 'us/request' 'req/s/core'
print_row() { # TITLE FILE BASELINE-FILE
    local p50 p99 cpu baseline
    read -r p50 p99 cpu < <(medians <"$work/$2")
    read -r baseline _ < <(medians <"$work/$3")
    jq -nr --arg title "$1" --argjson p50 "$p50" --argjson p99 "$p99" --argjson cpu "$cpu" \
        --argjson baseline "$baseline" --arg compared "$([[ $2 == "$3" ]] || echo 1)" '
        def pad(n): tostring | " " * ([n - length, 0] | max) + .;
        $title + " " * ([34 - ($title | length), 0] | max) + " " + ($p50 | pad(8)) + " " + ($p99 | pad(8))
        + (if $compared == "1" then " " + ($p50 - $baseline | . * 1000 | round / 1000 | pad(10))
            + " " + ($cpu | round | pad(10)) + " " + (if $cpu > 0 then 1e6 / $cpu | round else "-" end | pad(12)) else "" end)'
}
print_row 'direct' direct direct
print_row 'through the lease holder' holder direct
print_row 'through another entry VM' forwarded direct
print_row 'direct, with a key' direct-keyed direct-keyed
print_row 'through the holder, with a claim' claimed direct-keyed
