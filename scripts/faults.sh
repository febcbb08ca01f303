#!/usr/bin/env bash
# Faults of whole processes beside those of scripts/e2e.sh: freezes, a lost
# disk, a control group out of reach, and a restart of everything, with the
# settings of examples/. Bounds are on counts only. Needs curl and jq.
#   BIN   the folder of the built programs (target/debug; built if not given)
#   KEEP  any text keeps the folder with settings, data and logs
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

entries=(entry-11 entry-12 entry-13 entry-21 entry-22 entry-23)
controls=(control-1 control-2 control-3)

judge() { # NAME LEAST; no promise broken, and this share in percent answered
    local report=$work/logs/$1.json
    jq -e . "$report" >/dev/null || { cat "$work/logs/$1.err" >&2; fail "no report of $1"; }
    jq -r --arg name "$1" '"faults: load \($name): \(.sent) sent, \(.answered) answered, \(.failed) failed with a verdict, \(.duplicates) repeated runs, \([.targets[].overruns] | add) overruns, \(.verdicts.missing) verdicts missing"' "$report"
    jq -e '.duplicates == 0 and ([.targets[].overruns] | add) == 0 and .verdicts.missing == 0' \
        "$report" >/dev/null || fail "a promise was broken in $1"
    jq -e --argjson least "$2" '.answered * 100 >= .sent * $least' "$report" >/dev/null ||
        { jq -c '.failures' "$report" >&2; fail "fewer than $2% answered in $1"; }
}
freeze() { kill -STOP "${pids[$1]}"; }
thaw() { kill -CONT "${pids[$1]}"; }
leader() { status entry-11 | jq -r '[.control[] | select(.role == "leader") | .vm][0]'; }
has_leader() { [[ $(leader) == control-* ]]; }
new_leader() { has_leader && [[ $(leader) != "$1" ]]; }
busiest() { # the entry VM of the first domain that holds most leases
    local vm
    for vm in entry-11 entry-12 entry-13; do echo "$(leases "$vm") $vm"; done | sort -rn | head -1 | cut -d' ' -f2
}

step="start"
make_settings
start_vms "${controls[@]}" "${entries[@]}"
start_targets
"$BIN/pimento" note apply "$root/examples/notes/1.yaml" --wait 2>/dev/null >/dev/null
within 15 lease_count "${#targets[@]}" "${entries[@]}"

# A frozen holder wakes up after its targets have gone to others: what it had
# granted before may not reach a target beside the new holder's requests.
step="frozen entry VM"
frozen=$(busiest)
load frozen --rate 100 --seconds 14 --lost 100000 --unanswered 100000 &
loading=$!
sleep 3
freeze "$frozen"
sleep 6
thaw "$frozen"
wait "$loading"
judge frozen 70
say "$frozen was frozen for 6 s under load and came back"

step="frozen leader"
within 10 has_leader
old=$(leader)
freeze "$old"
within 15 new_leader "$old"
"$BIN/pimento" note apply "$root/examples/notes/2.yaml" >/dev/null 2>&1 || fail "no note without $old"
thaw "$old"
for vm in "${entries[@]}"; do within 15 at_version "$vm" 2; done
within 15 at_version "$old" 2
say "$old was cut off as leader; the next one accepted note 2, and $old has it"

step="operators' race"
for i in 1 2 3 4 5 6; do
    printf 'number: 3\nadded:\n  services:\n  - name: race-%s\n    repeatable: true\n' "$i" >"$work/race-$i.yaml"
    "$BIN/pimento" note apply "$work/race-$i.yaml" >/dev/null 2>&1 && echo "$i" >>"$work/won" &
    racers[i]=$!
done
for i in 1 2 3 4 5 6; do wait "${racers[i]}" || true; done
won=$(wc -l <"$work/won")
((won == 1)) || fail "$won of six notes with one number were accepted"
"$BIN/pimento" note apply "$work/race-$(<"$work/won").yaml" >/dev/null 2>&1 || fail "the resend was refused"
say "one of six notes with the same number was accepted, and its resend got the same answer"

step="lost disk"
stop 9 control-3
rm -rf "$work/data/control-3"
start_vm control-3
within 10 get "$(operators control-3)/healthz"
"$BIN/pimento" control remove control-3 >/dev/null 2>&1 || fail "control-3 could not be removed"
"$BIN/pimento" control add control-3 "$(address control-3):7400" >/dev/null 2>&1 || fail "control-3 could not be added"
voters() { status entry-11 | jq -e '[.control[] | select(.role == "leader") | .members[].vm] | length == 3'; }
within 20 voters
stop 9 control-2
within 15 has_leader
printf 'number: 4\nadded:\n  services:\n  - name: after-repair\n    repeatable: true\n' >"$work/4.yaml"
"$BIN/pimento" note apply "$work/4.yaml" >/dev/null 2>&1 || fail "no note after the second loss"
say "control-3 lost its disk and was replaced; then control-2 was lost, and note 4 was accepted"

step="cut off from control"
for vm in "${entries[@]}"; do within 15 at_version "$vm" 4; done
stop 9 control-1
stop 9 control-3
stop 9 entry-12
start_vm entry-12
within 20 at_version entry-12 4
within 15 answers entry-12
body=$(curl -s -o /dev/null -w '%{http_code}' -H "Idempotency-Key: $(new_key)" -D "$work/head" --max-time 8 \
    --data x "http://$(callers entry-12)/s/signups/r1")
grep -qi '^pimento-verdict: not-run' "$work/head" || fail "a claim without a quorum got $body without not-run"
say "without any control VM, entry-12 restarted, took note 4 from its peers and serves; claims are refused as not run"

step="restart of everything"
for vm in "${entries[@]}"; do stop 9 "$vm"; done
for vm in "${controls[@]}" "${entries[@]}"; do start_vm "$vm"; done
for vm in "${controls[@]}" "${entries[@]}"; do within 15 get "$(operators "$vm")/healthz"; done
for vm in "${entries[@]}"; do within 25 at_version "$vm" 4; done
within 25 lease_count "${#targets[@]}" "${entries[@]}"
load restarted --rate 100 --seconds 3
judge restarted 99
say "passed in $SECONDS s"
