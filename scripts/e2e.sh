#!/usr/bin/env bash
# End-to-end test: 3 control and 6 entry VMs in two failure domains and 8
# stand-in targets, as processes on loopback, with the settings of examples/.
# See docs/ops/load.md.
#
# It checks counts only, not latencies. Needs curl and jq. Variables:
#   BIN   folder of the built programs (target/debug; built if not given)
#   KEEP  if not empty, keeps the folder with settings, data and logs
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

check_report() { # NAME; prints the counts of a load run, fails if it violated a guarantee
    local report=$work/logs/$1.json code
    code=$(<"$work/logs/$1.code")
    jq -r --arg name "$1" '"e2e: load \($name): \(.sent) sent, \(.answered) answered, \(.failed) failed with a verdict, \(.unanswered) without response, \(.resent) resent, \(.lost + .truncated) lost or truncated, \(.duplicates) duplicate runs, \([.targets[].overruns] | add) overruns, \(.verdicts.missing) verdicts missing"' "$report" ||
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
    # Short timeouts, so that slow requests time out during the test.
    echo "limits: { head: 1000, body: 1000 }" >>"$file"
    "$BIN/pimentod" check --settings "$file" >/dev/null
done

step="start"
start_vms "${controls[@]}" "${entries[@]}"
start_targets

step="note"
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait --within 15
for vm in "${entries[@]}"; do
    within 5 has_version "$vm" 1
done
info "note 1 is in force on ${#entries[@]} entry VMs"

step="leases"
within 15 has_leases "${#targets[@]}" "${entries[@]}"
for vm in "${entries[@]}"; do
    within 10 serves_requests "$vm"
done

step="non-holder"
non_holder=
for vm in "${entries[@]}"; do
    if status "$vm" | jq -e '[.targets[].service] | index("shifts") == null' >/dev/null; then
        non_holder=$vm
    fi
done
[[ -n $non_holder ]] || fail "each of 6 entry VMs holds one of 4 targets"
serves_requests "$non_holder"
info "$non_holder holds no lease for shifts and answered a request to that service"

step="input limits"
entry_address=$(caller_listener entry-11)
key=$(new_idempotency_key)
# Expects a status and the verdict not-run.
expect_refused() { # STATUS CURL-ARGUMENTS...
    local status=$1 head
    shift
    head=$(curl --silent --max-time 5 -H 'Expect:' --output /dev/null --dump-header - "$@") || true
    if [[ $head != "HTTP/1.1 $status "* ]] || ! grep -qi '^pimento-verdict: not-run' <<<"$head"; then
        fail "expected $status and not-run for ${*: -1}, got ${head:-nothing}"
    fi
}
# Sends raw bytes, keeps the connection open, and expects a status.
expect_raw_status() { # STATUS BYTES
    local reply
    exec 9<>"/dev/tcp/${entry_address/://}"
    # A separate process writes all bytes at once, since the connection may be
    # closed already.
    printf '%b' "$2" >"$work/bytes.$BASHPID"
    cat "$work/bytes.$BASHPID" >&9 || true
    reply=$(timeout 8 head -n 1 <&9) || true
    exec 9>&-
    [[ $reply == "HTTP/1.1 $1 "* ]] || fail "expected $1 for ${2:0:60}, got ${reply:-nothing}"
}
expect_raw_status 408 'GET /s/shifts/r1 HTTP/1.1\r\nhost: a' &
slow_head=$!
expect_raw_status 408 "POST /s/signups/r1 HTTP/1.1\r\nhost: a\r\nidempotency-key: $key\r\ncontent-length: 9\r\n\r\nab" &
slow_body=$!
head -c 1100000 /dev/zero >"$work/large"
expect_refused 413 --data-binary "@$work/large" "http://$entry_address/s/shifts/large"
expect_refused 413 --data-binary "@$work/large" -H "idempotency-key: $key" "http://$entry_address/s/signups/large"
expect_refused 400 --data x "http://$entry_address/s/signups/no-key"
expect_refused 400 --data x -H 'idempotency-key: 7' "http://$entry_address/s/signups/bad-key"
expect_refused 400 -H 'pimento-timeout-ms: soon' "http://$entry_address/s/shifts/bad-timeout"
expect_refused 400 -H 'pimento-class: royal' "http://$entry_address/s/shifts/bad-class"
expect_refused 403 -H 'pimento-tenant: nobody' "http://$entry_address/s/shifts/bad-tenant"
expect_refused 404 "http://$entry_address/s/nothing/no-service"
expect_raw_status 400 'GET /s/shifts/r1 HTTP/1.1\r\nbad header\r\n\r\n'
expect_raw_status 400 'POST /s/shifts/r1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'
wait "$slow_head" || fail "slow head"
wait "$slow_body" || fail "slow body"
slots_are_free() { status "$1" | jq -e 'all(.targets[]; .used == 0)'; }
for vm in "${entries[@]}"; do within 3 slots_are_free "$vm"; done
within 5 serves_requests entry-11
info "oversized, malformed and slow requests were refused and hold no slot"

step="drained target"
run_load steady --rate 150 --seconds 2
check_report steady
drained=${targets[0]}
"$BIN/pimento" target drain t11 >/dev/null
sleep 3
before=$(target_counter "$drained" runs)
run_load drained --rate 150 --seconds 2
check_report drained
after=$(target_counter "$drained" runs)
((before > 0)) || fail "target t11 ran nothing before it was drained"
((after == before)) || fail "drained target t11 ran $((after - before)) requests"
info "target t11 ran $before requests before its drain and none after"

# The entry VM of a domain with the most leases.
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
run_load killed --rate 150 --seconds 6 --lost 100000 &
load_pid=$!
sleep 2
stop_process 9 "$killed"
stop_process 9 control-1
"$BIN/pimento" note apply "$root/examples/notes/2.yaml" >/dev/null ||
    fail "no note was accepted with one control VM down"
wait "$load_pid"
check_report killed
start_vm control-1
start_vm "$killed"
within 15 has_version "$killed" 2
within 15 has_leases "${#targets[@]}" "${entries[@]}"
info "$killed and control-1 were killed and came back; note 2 was accepted meanwhile"

step="graceful shutdown"
stopped=$(busiest 2)
for vm in entry-21 entry-22 entry-23; do
    within 15 lookup_includes "$vm" shifts "$stopped"
done
run_load stopped --rate 150 --seconds 8 &
load_pid=$!
sleep 2
start_ms=$(date +%s%3N)
kill -TERM "${pids[$stopped]}"
for vm in "${entries[@]}"; do
    if [[ $vm == "$stopped" ]]; then continue; fi
    for service in shifts signups; do
        within 2 lookup_excludes "$vm" "$service" "$stopped"
    done
done
removed_ms=$(($(date +%s%3N) - start_ms))
# The lookup TTL, plus the longest request, plus some slack.
has_exited() { ! kill -0 "${pids[$stopped]}" 2>/dev/null; }
within 7 has_exited
exited_ms=$(($(date +%s%3N) - start_ms))
wait "${pids[$stopped]}" || fail "$stopped exited with $?"
unset "pids[$stopped]"
wait "$load_pid"
check_report stopped
jq -e '.unreachable == 0 and .failed == 0' "$work/logs/stopped.json" >/dev/null ||
    fail "callers noticed the graceful shutdown: $(jq -c '[.unreachable, .failures]' "$work/logs/stopped.json")"
info "$stopped stopped: removed from lookups after $removed_ms ms, exited after $exited_ms ms"

step="end"
for target in "${targets[@]}"; do
    ((($(target_counter "$target" overruns)) == 0)) || fail "overruns at $target"
    ((($(target_counter "$target" duplicates)) == 0)) || fail "duplicate runs at $target"
done
info "passed in $SECONDS s"
