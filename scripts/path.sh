#!/usr/bin/env bash
# Measures the request path side by side in one run: a direct call to a target,
# the same through the entry VM that holds the target's lease, through another
# entry VM, and with a claim for a request that may not be repeated. See
# docs/MEASUREMENTS.md.
#
# Latency is added time against the direct call. Requests a second per core
# come from the processor time of the processes, so that they do not depend on
# what else the machine does.
#
#   BIN      the folder of the built programs (target/release; built if not given)
#   RATE     requests a second (500)
#   LENGTH   seconds of each measurement (5)
#   ROUNDS   measurements of each path, of which the median counts (3)
set -euo pipefail
cd "$(dirname "$0")/.."
PROFILE=release
source scripts/lib.sh
RATE=${RATE:-500}
LENGTH=${LENGTH:-5}
ROUNDS=${ROUNDS:-3}

entries=(entry-11 entry-12 entry-13)
controls=(control-1 control-2 control-3)
plain=$net.11.1:9000
keyed=$net.11.2:9000

# Processor time of some processes so far, in clock ticks.
ticks() { # NAME...
    local name total=0 fields
    for name in "$@"; do
        fields=($(sed 's/.*) //' "/proc/${pids[$name]}/stat"))
        total=$((total + fields[11] + fields[12]))
    done
    echo "$total"
}

# The processor time that the system takes without requests, in ticks for each
# measurement.
idle=0
measure_idle() {
    local before
    before=$(ticks "${entries[@]}" "${controls[@]}")
    sleep "$LENGTH"
    idle=$(($(ticks "${entries[@]}" "${controls[@]}") - before))
}

# One measurement: p50 and p99 in ms, and microseconds of processor time of the
# system's processes for each request.
measure() { # KIND SERVICE LISTENER TARGET
    local report=$work/logs/measure.json before after
    before=$(ticks "${entries[@]}" "${controls[@]}")
    "$BIN/pimento" --output json load --entries "$3" "$1" "$2" --targets "$4" --rate "$RATE" \
        --seconds "$LENGTH" >"$report" 2>"$work/logs/measure.err" ||
        { jq -c '.broken, .failures' "$report" >&2; fail "a measurement of $2 at $3 failed"; }
    after=$(ticks "${entries[@]}" "${controls[@]}")
    jq -r --argjson ticks $((after - before - idle)) --argjson hz "$(getconf CLK_TCK)" \
        '"\(.latencies[-1].p50) \(.latencies[-1].p99) \($ticks * 1e6 / $hz / .answered)"' "$report"
}

# The medians of the columns of some measurements.
medians() {
    jq -Rrs 'split("\n") | map(select(. != "") | split(" ") | map(tonumber)) | transpose
        | map(sort | .[length / 2 | floor]) | map(. * 1000 | round / 1000) | join(" ")'
}

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
start_target t11 shifts "$plain" --slots 64 --time-ms 0 --workers 2
start_target t12 signups "$keyed" --slots 64 --time-ms 0 --workers 2
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait --within 15 >/dev/null
within 15 lease_count 2 "${entries[@]}"

holds() { status "$1" | jq -e --arg service "$2" '[.targets[].service] | index($service) != null' >/dev/null; }
holder_of() { for vm in "${entries[@]}"; do if holds "$vm" "$1"; then echo "$vm"; return; fi; done; }
holder=$(holder_of shifts)
claimer=$(holder_of signups)
[[ -n $holder && -n $claimer ]] || fail "no entry VM holds the targets"
other=entry-11
if [[ $other == "$holder" ]]; then other=entry-12; fi
within 10 answers "$other"

step="measure"
measure_idle
for ((round = 0; round < ROUNDS; round++)); do
    measure --service shifts "$plain" "$plain" >>"$work/direct"
    measure --service shifts "$(callers "$holder")" "$plain" >>"$work/holder"
    measure --service shifts "$(callers "$other")" "$plain" >>"$work/forwarded"
    measure --once signups "$keyed" "$keyed" >>"$work/direct-keyed"
    measure --once signups "$(callers "$claimer")" "$keyed" >>"$work/claimed"
done

step="report"
say "$((idle * 1000 / LENGTH / $(getconf CLK_TCK))) ms of processor time a second without requests, all 6 VMs"
say "$RATE requests a second, medians of $ROUNDS measurements of $LENGTH s, $(nproc) cores"
printf '%-34s %8s %8s %10s %10s %12s\n' path 'p50 ms' 'p99 ms' '+p50 ms' 'us/request' 'req/s/core'
show() { # TITLE FILE BASE
    local p50 p99 cpu base
    read -r p50 p99 cpu < <(medians <"$work/$2")
    read -r base _ < <(medians <"$work/$3")
    jq -nr --arg title "$1" --argjson p50 "$p50" --argjson p99 "$p99" --argjson cpu "$cpu" \
        --argjson base "$base" --arg own "$([[ $2 == "$3" ]] || echo 1)" '
        def pad(n): tostring | " " * ([n - length, 0] | max) + .;
        $title + " " * ([34 - ($title | length), 0] | max) + " " + ($p50 | pad(8)) + " " + ($p99 | pad(8))
        + (if $own == "1" then " " + ($p50 - $base | . * 1000 | round / 1000 | pad(10))
            + " " + ($cpu | round | pad(10)) + " " + (1e6 / $cpu | round | pad(12)) else "" end)'
}
show 'direct' direct direct
show 'through the lease holder' holder direct
show 'through another entry VM' forwarded direct
show 'direct, with a key' direct-keyed direct-keyed
show 'through the holder, with a claim' claimed direct-keyed
