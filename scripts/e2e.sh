#!/usr/bin/env bash
# End-to-end run: 3 control and 6 entry VMs in two failure domains and 8
# stand-in targets, as plain processes on loopback, with the settings of
# examples/. See docs/ops/load.md.
#
# Bounds are on counts only. Needs curl and jq. Variables:
#   BIN   the folder of the built programs (target/debug; built if not given)
#   KEEP  any text keeps the folder with settings, data and logs
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD

for tool in curl jq; do
    command -v "$tool" >/dev/null || { echo "e2e: needs $tool" >&2; exit 2; }
done
if [[ -z ${BIN:-} ]]; then
    cargo build --quiet -p pimentod -p pimento_cli
    cargo build --quiet --example target
    BIN=target/debug
fi
BIN=$(realpath "$BIN")

work=$(mktemp -d)
# An octet of its own for each run, so that runs side by side don't meet.
net=127.$((11 + $$ % 240))
entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)
declare -A pids=()
step="start"

say() { printf 'e2e: %s\n' "$*"; }

fail() {
    say "FAILED at step '$step': $*" >&2
    local log
    for log in "$work"/logs/*.err; do
        [[ -s $log ]] || continue
        printf -- '--- the end of %s\n' "${log##*/}" >&2
        tail -n 5 "$log" >&2
    done
    exit 1
}

cleanup() {
    local name
    for name in "${!pids[@]}"; do
        kill -9 "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [[ -n ${KEEP:-} ]]; then say "kept $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM
trap 'fail "line $LINENO: $BASH_COMMAND"' ERR

# The loopback address of a VM, by the last digits of its name.
address() {
    case $1 in
        control-*) echo "$net.0.${1#control-}" ;;
        entry-*) echo "$net.${1:6:1}.${1:7:1}" ;;
    esac
}
callers() { echo "$(address "$1"):7100"; }
operators() { echo "http://$(address "$1"):7300"; }

spawn() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    (cd "$work" && exec "$@") >>"$work/logs/$name.out" 2>>"$work/logs/$name.err" &
    pids[$name]=$!
}
start_vm() { spawn "$1" "$BIN/pimentod" run --settings "$work/settings/$1.yaml"; }

stop() { # SIGNAL NAME; waits for the end
    kill "-$1" "${pids[$2]}"
    wait "${pids[$2]}" 2>/dev/null || true
    unset "pids[$2]"
}

# Repeats a command until it succeeds, SECONDS at most.
within() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= end)); then fail "not in time: $*"; fi
        sleep 0.1
    done
}

get() { curl --silent --show-error --fail --max-time 3 "$@"; }
status() { get -H "Authorization: Bearer $(<"$work/secrets/operators")" "$(operators "$1")/v1/status"; }
lookup() { get "http://$(callers "$1")/v1/lookup?service=$2"; }
names() { lookup "$1" "$2" | jq -e --arg vm "$(callers "$3")" '.entries | index($vm) != null'; }
names_not() { lookup "$1" "$2" | jq -e --arg vm "$(callers "$3")" '.entries | index($vm) == null'; }
at_version() { status "$1" | jq -e --argjson version "$2" '.version == $version'; }
counter() { get "http://$1/counters" | jq -e ".$2"; }
joined() { local IFS=,; echo "$*"; }

load() { # NAME ARGUMENTS...; leaves the report in NAME.json
    local name=$1
    shift
    "$BIN/pimento" --output json load --callers "$live" --service shifts --once signups \
        --targets "$(joined "${targets[@]}")" "$@" \
        >"$work/logs/$name.json" 2>"$work/logs/$name.err"
}
judge() { # NAME CODE; shows the counts of a load run and fails if it broke a promise
    local report=$work/logs/$1.json
    jq -r --arg name "$1" '"e2e: load \($name): \(.sent) sent, \(.answered) answered, \(.failed) failed with a verdict, \(.unanswered) without answer, \(.resent) resent, \(.lost + .truncated) lost or cut, \(.duplicates) repeated runs, \([.targets[].overruns] | add) overruns, \(.verdicts.missing) verdicts missing"' "$report" ||
        fail "no report of load run $1"
    if (($2 != 0)); then
        jq -c '.broken, .failures' "$report" >&2
        fail "load run $1 ended with $2"
    fi
    jq -e '.answered > 0 and .answered * 10 > .sent * 9' "$report" >/dev/null ||
        { jq -c '.failures' "$report" >&2; fail "fewer than 9 in 10 requests of $1 were answered"; }
}

step="settings"
mkdir -p "$work"/{settings,secrets,data,logs}
for file in examples/settings/*.yaml; do
    sed "s/127\.10\./$net./g" "$file" >"$work/settings/${file##*/}"
    "$BIN/pimentod" check --settings "$work/settings/${file##*/}" >/dev/null
done
echo "e2e-operator-token" >"$work/secrets/operators"
echo "e2e-link-key-of-32-bytes-or-more" >"$work/secrets/links"
export PIMENTO_TOKEN_FILE=$work/secrets/operators
PIMENTO_SERVER=$(joined $(for vm in "${controls[@]}" "${entries[@]}"; do operators "$vm"; done))
export PIMENTO_SERVER

step="start"
for vm in "${controls[@]}" "${entries[@]}"; do
    mkdir -p "$work/data/$vm"
    start_vm "$vm"
done
for vm in "${controls[@]}" "${entries[@]}"; do
    within 10 get "$(operators "$vm")/healthz"
done
targets=()
for domain in 1 2; do
    for i in 1 2 3 4; do
        service=shifts
        if ((i > 2)); then service=signups; fi
        target=$net.1$domain.$i:9000
        targets+=("$target")
        spawn "target-$domain$i" "$BIN/examples/target" --target "t$domain$i" \
            --service "$service" --address "$target" --slots 4 --time-ms 10 --shape exponential \
            --entry "$net.$domain.1:7200" --entry "$net.$domain.2:7200" --entry "$net.$domain.3:7200"
    done
done
live=$(joined $(for vm in "${entries[@]}"; do callers "$vm"; done))

step="note"
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait
for vm in "${entries[@]}"; do
    within 5 at_version "$vm" 1
done
say "note 1 is in force on ${#entries[@]} entry VMs"

step="leases"
leases() {
    local vm total=0
    for vm in "${entries[@]}"; do
        total=$((total + $(status "$vm" | jq '.targets | length')))
    done
    ((total >= ${#targets[@]}))
}
within 15 leases
answers() { get "http://$(callers "$1")/s/shifts/r1?nonce=abc" | grep -qx abc; }
for vm in "${entries[@]}"; do
    within 10 answers "$vm"
done

step="non-holder"
bystander=
for vm in "${entries[@]}"; do
    if status "$vm" | jq -e '[.targets[].service] | index("shifts") == null' >/dev/null; then
        bystander=$vm
    fi
done
[[ -n $bystander ]] || fail "each of 6 entry VMs holds one of 4 targets"
answers "$bystander"
say "$bystander holds no target of shifts and answered a request to it"

step="drained target"
code=0
load steady --rate 150 --seconds 2 || code=$?
judge steady "$code"
drained=${targets[0]}
"$BIN/pimento" target drain t11 >/dev/null
sleep 3
before=$(counter "$drained" runs)
code=0
load drained --rate 150 --seconds 2 || code=$?
judge drained "$code"
after=$(counter "$drained" runs)
((before > 0)) || fail "target t11 ran nothing before it was drained"
((after == before)) || fail "drained target t11 ran $((after - before)) requests"
say "target t11 ran $before requests before its drain and none after"

step="kill -9"
load killed --rate 150 --seconds 6 --lost 100000 &
loading=$!
sleep 2
stop 9 entry-12
stop 9 control-1
"$BIN/pimento" note apply "$root/examples/notes/2.yaml" >/dev/null ||
    fail "no note was accepted with one control VM down"
code=0
wait "$loading" || code=$?
judge killed "$code"
start_vm control-1
start_vm entry-12
within 15 at_version entry-12 2
say "entry-12 and control-1 were killed and came back; note 2 was accepted meanwhile"

step="planned stop"
within 15 names entry-22 shifts entry-21
load stopped --rate 150 --seconds 8 &
loading=$!
sleep 2
begun=$(date +%s%3N)
kill -TERM "${pids[entry-21]}"
for vm in entry-11 entry-12 entry-13 entry-22 entry-23; do
    for service in shifts signups; do
        within 2 names_not "$vm" "$service" entry-21
    done
done
unnamed=$(($(date +%s%3N) - begun))
# The look-ups' time to live, the longest request, and some slack.
gone() { ! kill -0 "${pids[entry-21]}" 2>/dev/null; }
within 7 gone
exited=$(($(date +%s%3N) - begun))
wait "${pids[entry-21]}" || fail "entry-21 exited with $?"
unset "pids[entry-21]"
code=0
wait "$loading" || code=$?
judge stopped "$code"
say "entry-21 stopped: unnamed by look-ups after $unnamed ms, exited after $exited ms"

step="end"
for target in "${targets[@]}"; do
    ((($(counter "$target" overruns)) == 0)) || fail "overruns at $target"
    ((($(counter "$target" duplicates)) == 0)) || fail "repeated runs at $target"
done
say "passed in $SECONDS s"
