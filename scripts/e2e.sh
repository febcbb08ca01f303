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
source scripts/lib.sh

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

judge() { # NAME; shows the counts of a load run and fails if it broke a promise
    local report=$work/logs/$1.json code
    code=$(<"$work/logs/$1.code")
    jq -r --arg name "$1" '"e2e: load \($name): \(.sent) sent, \(.answered) answered, \(.failed) failed with a verdict, \(.unanswered) without answer, \(.resent) resent, \(.lost + .truncated) lost or cut, \(.duplicates) repeated runs, \([.targets[].overruns] | add) overruns, \(.verdicts.missing) verdicts missing"' "$report" ||
        fail "no report of load run $1"
    if ((code != 0)); then
        jq -c '.broken, .failures' "$report" >&2
        fail "load run $1 ended with $code"
    fi
    jq -e '.answered > 0 and .answered * 10 > .sent * 9' "$report" >/dev/null ||
        { jq -c '.failures' "$report" >&2; fail "fewer than 9 in 10 requests of $1 were answered"; }
}

step="settings"
make_settings
for file in "$work"/settings/*.yaml; do
    # Short limits, so that slow input is told so during the run.
    echo "limits: { head: 1000, body: 1000 }" >>"$file"
    "$BIN/pimentod" check --settings "$file" >/dev/null
done

step="start"
start_vms "${controls[@]}" "${entries[@]}"
start_targets

step="note"
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait --within 15
for vm in "${entries[@]}"; do
    within 5 at_version "$vm" 1
done
say "note 1 is in force on ${#entries[@]} entry VMs"

step="leases"
within 15 lease_count "${#targets[@]}" "${entries[@]}"
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

step="input limits"
at=$(callers entry-11)
key=$(new_key)
# Expects a status and the verdict that nothing ran.
refused() { # STATUS CURL-ARGUMENTS...
    local status=$1 head
    shift
    head=$(curl --silent --max-time 5 -H 'Expect:' --output /dev/null --dump-header - "$@") || true
    if [[ $head != "HTTP/1.1 $status "* ]] || ! grep -qi '^pimento-verdict: not-run' <<<"$head"; then
        fail "expected $status and not-run for ${*: -1}, got ${head:-nothing}"
    fi
}
# Sends raw bytes, keeps the connection open, and expects a status.
raw() { # STATUS BYTES
    local reply
    exec 9<>"/dev/tcp/${at/://}"
    # One write, by a process that may find the connection closed.
    printf '%b' "$2" >"$work/bytes.$BASHPID"
    cat "$work/bytes.$BASHPID" >&9 || true
    reply=$(timeout 8 head -n 1 <&9) || true
    exec 9>&-
    [[ $reply == "HTTP/1.1 $1 "* ]] || fail "expected $1 for ${2:0:60}, got ${reply:-nothing}"
}
raw 408 'GET /s/shifts/r1 HTTP/1.1\r\nhost: a' &
slow_head=$!
raw 408 "POST /s/signups/r1 HTTP/1.1\r\nhost: a\r\nidempotency-key: $key\r\ncontent-length: 9\r\n\r\nab" &
slow_body=$!
head -c 1100000 /dev/zero >"$work/large"
refused 413 --data-binary "@$work/large" "http://$at/s/shifts/large"
refused 413 --data-binary "@$work/large" -H "idempotency-key: $key" "http://$at/s/signups/large"
refused 400 --data x "http://$at/s/signups/no-key"
refused 400 --data x -H 'idempotency-key: 7' "http://$at/s/signups/bad-key"
refused 400 -H 'pimento-timeout-ms: soon' "http://$at/s/shifts/bad-timeout"
refused 400 -H 'pimento-class: royal' "http://$at/s/shifts/bad-class"
refused 403 -H 'pimento-tenant: nobody' "http://$at/s/shifts/bad-tenant"
refused 404 "http://$at/s/nothing/no-service"
raw 400 'GET /s/shifts/r1 HTTP/1.1\r\nbad header\r\n\r\n'
raw 400 'POST /s/shifts/r1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'
wait "$slow_head" || fail "slow head"
wait "$slow_body" || fail "slow body"
free() { status "$1" | jq -e 'all(.targets[]; .used == 0)'; }
for vm in "${entries[@]}"; do within 3 free "$vm"; done
within 5 answers entry-11
say "oversized, malformed and slow input was refused and holds no slot"

step="drained target"
load steady --rate 150 --seconds 2
judge steady
drained=${targets[0]}
"$BIN/pimento" target drain t11 >/dev/null
sleep 3
before=$(counter "$drained" runs)
load drained --rate 150 --seconds 2
judge drained
after=$(counter "$drained" runs)
((before > 0)) || fail "target t11 ran nothing before it was drained"
((after == before)) || fail "drained target t11 ran $((after - before)) requests"
say "target t11 ran $before requests before its drain and none after"

# The entry VM of a domain that holds the most leases.
busiest() { # DOMAIN
    local vm i held most=-1 found
    for i in 1 2 3; do
        vm=entry-$1$i
        held=$(status "$vm" | jq '.targets | length')
        if ((held > most)); then most=$held found=$vm; fi
    done
    echo "$found"
}

step="kill -9"
killed=$(busiest 1)
load killed --rate 150 --seconds 6 --lost 100000 &
loading=$!
sleep 2
stop 9 "$killed"
stop 9 control-1
"$BIN/pimento" note apply "$root/examples/notes/2.yaml" >/dev/null ||
    fail "no note was accepted with one control VM down"
wait "$loading"
judge killed
start_vm control-1
start_vm "$killed"
within 15 at_version "$killed" 2
within 15 lease_count "${#targets[@]}" "${entries[@]}"
say "$killed and control-1 were killed and came back; note 2 was accepted meanwhile"

step="planned stop"
stopped=$(busiest 2)
for vm in entry-21 entry-22 entry-23; do
    within 15 names "$vm" shifts "$stopped"
done
load stopped --rate 150 --seconds 8 &
loading=$!
sleep 2
begun=$(date +%s%3N)
kill -TERM "${pids[$stopped]}"
for vm in "${entries[@]}"; do
    if [[ $vm == "$stopped" ]]; then continue; fi
    for service in shifts signups; do
        within 2 names_not "$vm" "$service" "$stopped"
    done
done
unnamed=$(($(date +%s%3N) - begun))
# The look-ups' time to live, the longest request, and some slack.
gone() { ! kill -0 "${pids[$stopped]}" 2>/dev/null; }
within 7 gone
exited=$(($(date +%s%3N) - begun))
wait "${pids[$stopped]}" || fail "$stopped exited with $?"
unset "pids[$stopped]"
wait "$loading"
judge stopped
jq -e '.unreachable == 0 and .failed == 0' "$work/logs/stopped.json" >/dev/null ||
    fail "callers noticed the planned stop: $(jq -c '[.unreachable, .failures]' "$work/logs/stopped.json")"
say "$stopped stopped: unnamed by look-ups after $unnamed ms, exited after $exited ms"

step="end"
for target in "${targets[@]}"; do
    ((($(counter "$target" overruns)) == 0)) || fail "overruns at $target"
    ((($(counter "$target" duplicates)) == 0)) || fail "repeated runs at $target"
done
say "passed in $SECONDS s"
