#!/usr/bin/env bash
# Tests process faults that scripts/e2e.sh doesn't cover: frozen processes, a
# lost disk, an unreachable control group, and a restart of all VMs, with the
# settings of examples/. It checks counts only. Needs curl and jq.
#   BIN   folder of the built programs (target/debug; built if not given)
#   KEEP  if not empty, keeps the folder with settings, data and logs
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

check_report() { # NAME PERCENT; no violated guarantee, and at least PERCENT answered
    local report=$work/logs/$1.json
    jq -e . "$report" >/dev/null || { cat "$work/logs/$1.err" >&2; fail "no report of $1"; }
    jq -r --arg name "$1" '"faults: load \($name): \(.sent) sent, \(.answered) answered, \(.failed) failed with a verdict, \(.duplicates) duplicate runs, \([.targets[].overruns] | add) overruns, \(.verdicts.missing) verdicts missing"' "$report"
    jq -e '.duplicates == 0 and ([.targets[].overruns] | add) == 0 and .verdicts.missing == 0' \
        "$report" >/dev/null || fail "a guarantee was violated in $1"
    jq -e --argjson percent "$2" '.answered * 100 >= .sent * $percent' "$report" >/dev/null ||
        { jq -c '.failures' "$report" >&2; fail "fewer than $2% answered in $1"; }
}
freeze() { kill -STOP "${pids[$1]}"; }
resume() { kill -CONT "${pids[$1]}"; }
leader() { status entry-11 | jq -r '[.control[] | select(.role == "leader") | .vm][0]'; }
has_leader() { [[ $(leader) == control-* ]]; }
new_leader() { has_leader && [[ $(leader) != "$1" ]]; }
busiest() { # the entry VM of the first domain with the most leases
    local vm
    for vm in entry-11 entry-12 entry-13; do echo "$(usable_leases "$vm") $vm"; done | sort -rn | head -1 | cut -d' ' -f2
}

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
start_targets
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait 2>/dev/null >/dev/null
within 15 has_leases "${#targets[@]}" "${entries[@]}"

# A frozen lease holder resumes after other VMs have taken over its leases:
# requests that it had granted permits to before must not reach a target in
# addition to the new holder's requests.
step="frozen entry VM"
frozen=$(busiest)
run_load frozen --rate 100 --seconds 14 --lost 100000 --unanswered 100000 &
load_pid=$!
sleep 3
freeze "$frozen"
sleep 6
resume "$frozen"
wait "$load_pid"
check_report frozen 70
info "$frozen was frozen for 6 s under load and came back"

step="frozen leader"
within 10 has_leader
old_leader=$(leader)
freeze "$old_leader"
within 15 new_leader "$old_leader"
"$BIN/pimento" note apply "$root/examples/notes/2.yaml" >/dev/null 2>&1 || fail "no note was accepted without $old_leader"
resume "$old_leader"
for vm in "${entries[@]}"; do within 15 has_version "$vm" 2; done
within 15 has_version "$old_leader" 2
info "$old_leader was frozen as leader; the next leader accepted note 2, and $old_leader caught up"

step="concurrent notes"
for i in 1 2 3 4 5 6; do
    printf 'number: 3\nadded:\n  services:\n  - name: race-%s\n    repeatable: true\n' "$i" >"$work/race-$i.yaml"
    "$BIN/pimento" note apply "$work/race-$i.yaml" >/dev/null 2>&1 && echo "$i" >>"$work/won" &
    racers[i]=$!
done
for i in 1 2 3 4 5 6; do wait "${racers[i]}" || true; done
won=$(wc -l <"$work/won")
((won == 1)) || fail "$won of six notes with the same number were accepted"
"$BIN/pimento" note apply "$work/race-$(<"$work/won").yaml" >/dev/null 2>&1 || fail "the resend was refused"
info "one of six notes with the same number was accepted, and resending it succeeded"

step="lost disk"
stop_process 9 control-3
rm -rf "$work/data/control-3"
start_vm control-3
within 10 http_get "$(operator_url control-3)/healthz"
"$BIN/pimento" control remove control-3 >/dev/null 2>&1 || fail "control-3 could not be removed"
"$BIN/pimento" control add control-3 "$(vm_address control-3):7400" >/dev/null 2>&1 || fail "control-3 could not be added"
voters() { status entry-11 | jq -e '[.control[] | select(.role == "leader") | .members[].vm] | length == 3'; }
within 20 voters
stop_process 9 control-2
within 15 has_leader
printf 'number: 4\nadded:\n  services:\n  - name: after-repair\n    repeatable: true\n' >"$work/4.yaml"
"$BIN/pimento" note apply "$work/4.yaml" >/dev/null 2>&1 || fail "no note was accepted after the second loss"
info "control-3 lost its disk and was replaced; then control-2 was lost, and note 4 was accepted"

step="unreachable control group"
for vm in "${entries[@]}"; do within 15 has_version "$vm" 4; done
stop_process 9 control-1
stop_process 9 control-3
stop_process 9 entry-12
start_vm entry-12
within 20 has_version entry-12 4
within 15 serves_requests entry-12
http_code=$(curl -s -o /dev/null -w '%{http_code}' -H "Idempotency-Key: $(new_idempotency_key)" -D "$work/head" --max-time 8 \
    --data x "http://$(caller_listener entry-12)/s/signups/r1")
grep -qi '^pimento-verdict: not-run' "$work/head" || fail "a claim without a quorum got $http_code without not-run"
info "without any control VM, entry-12 restarted, got note 4 from its peers and serves requests; claims are refused with not-run"

step="restart of all VMs"
for vm in "${entries[@]}"; do stop_process 9 "$vm"; done
for vm in "${controls[@]}" "${entries[@]}"; do start_vm "$vm"; done
for vm in "${controls[@]}" "${entries[@]}"; do within 15 http_get "$(operator_url "$vm")/healthz"; done
for vm in "${entries[@]}"; do within 25 has_version "$vm" 4; done
within 25 has_leases "${#targets[@]}" "${entries[@]}"
run_load restarted --rate 100 --seconds 3
check_report restarted 99
info "passed in $SECONDS s"
