# Functions for scripts that run the VMs of examples/settings as processes on
# loopback. Source it from the root of the repository. It creates a temporary
# folder with settings, secrets, data and logs, and kills its processes at exit.
#
#   BIN   folder of the built programs
#   KEEP  if not empty, keeps the folder
set -Eeuo pipefail

if [[ -z ${BIN:-} ]]; then
    PROFILE=${PROFILE:-dev}
    cargo build --quiet --profile "$PROFILE" -p pimentod -p pimento_cli
    cargo build --quiet --profile "$PROFILE" --example target
    if [[ $PROFILE == dev ]]; then BIN=target/debug; else BIN=target/$PROFILE; fi
fi
BIN=$(realpath "$BIN")

root=$PWD
name=$(basename "$0" .sh)
for tool in curl jq; do
    command -v "$tool" >/dev/null || { echo "$name: needs $tool" >&2; exit 2; }
done

work=$(mktemp -d)
# The second octet depends on the process id, so that parallel runs use
# different addresses.
net=127.$((11 + $$ % 240))
declare -A pids=()
step="start"

info() { printf '%s: %s\n' "$name" "$*"; }

fail() {
    # Subshells run the ERR trap too; only the first failure is reported.
    mkdir "$work/failed" 2>/dev/null || exit 1
    info "FAILED at step '$step': $*" >&2
    local log
    for log in "$work"/logs/*.err; do
        [[ -s $log ]] || continue
        printf -- '--- last lines of %s\n' "${log##*/}" >&2
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
    if [[ -n ${KEEP:-} ]]; then info "kept $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM
trap 'fail "line $LINENO: $BASH_COMMAND"' ERR

# The loopback address of a VM, from the last digits of its name.
vm_address() {
    case $1 in
        control-*) echo "$net.0.${1#control-}" ;;
        entry-*) echo "$net.${1:6:1}.${1:7:1}" ;;
    esac
}
caller_listener() { echo "$(vm_address "$1"):7100"; }
operator_url() { echo "http://$(vm_address "$1"):7300"; }

spawn() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    (cd "$work" && exec "$@") >>"$work/logs/$name.out" 2>>"$work/logs/$name.err" &
    pids[$name]=$!
}
start_vm() { # NAME; uses its existing data, if any
    mkdir -p "$work/data/$1"
    spawn "$1" "$BIN/pimentod" run --settings "$work/settings/$1.yaml"
}
start_target() { # NAME SERVICE ADDRESS ARGUMENTS...; announces to its domain's entry VMs
    local name=$1 service=$2 address=$3 i domain=${1:1:1}
    local entries=()
    for i in 1 2 3; do entries+=(--entry "$net.$domain.$i:7200"); done
    shift 3
    spawn "target-$name" "$BIN/examples/target" --target "$name" --service "$service" \
        --address "$address" "${entries[@]}" "$@"
}
stop_process() { # SIGNAL NAME; waits until the process has ended
    kill "-$1" "${pids[$2]}"
    wait "${pids[$2]}" 2>/dev/null || true
    unset "pids[$2]"
}

# Repeats a command until it succeeds; fails after SECONDS.
within() { # SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= deadline)); then fail "timed out: $*"; fi
        sleep 0.1
    done
}

http_get() { curl --silent --show-error --fail --max-time 3 "$@"; }
# The status document of a VM.
status() { # VM
    http_get -H "Authorization: Bearer $(<"$work/secrets/operators")" "$(operator_url "$1")/v1/status"
}
has_version() { status "$1" | jq -e --argjson version "$2" '.version == $version'; }
lookup() { http_get "http://$(caller_listener "$1")/v1/lookup?service=$2"; }
lookup_includes() { lookup "$1" "$2" | jq -e --arg vm "$(caller_listener "$3")" '.entries | index($vm) != null'; }
lookup_excludes() { lookup "$1" "$2" | jq -e --arg vm "$(caller_listener "$3")" '.entries | index($vm) == null'; }
target_counter() { http_get "http://$1/counters" | jq -e ".$2"; }
serves_requests() { http_get "http://$(caller_listener "$1")/s/shifts/r1?nonce=abc" | grep -qx abc; }
# A UUIDv7 with the current time.
new_idempotency_key() {
    local time
    time=$(printf '%012x' "$(date +%s%3N)")
    printf '%s-%s-7%03x-8%03x-%04x%04x%04x\n' "${time:0:8}" "${time:8:4}" \
        $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}
join_by_comma() { local IFS=,; echo "$*"; }

# Writes the settings of all VMs in examples/ with this run's addresses.
make_settings() {
    local file
    mkdir -p "$work"/{settings,secrets,data,logs}
    for file in examples/settings/*.yaml; do
        sed "s/127\.10\./$net./g" "$file" >"$work/settings/${file##*/}"
    done
    echo "operators-token-of-$name" >"$work/secrets/operators"
    echo "link-key-of-$name-with-32-bytes-or-more" >"$work/secrets/links"
    export PIMENTO_TOKEN_FILE=$work/secrets/operators
}

# Starts VMs, waits until their operator listeners respond, and sets
# PIMENTO_SERVER to these.
start_vms() {
    local vm
    PIMENTO_SERVER=$(join_by_comma $(for vm in "$@"; do operator_url "$vm"; done))
    export PIMENTO_SERVER
    for vm in "$@"; do start_vm "$vm"; done
    for vm in "$@"; do within 10 http_get "$(operator_url "$vm")/healthz"; done
}

# The number of leases that are open for requests, over the given VMs.
usable_leases() {
    local vm total=0
    for vm in "$@"; do
        total=$((total + $(status "$vm" | jq '[.targets[] | select(.open)] | length')))
    done
    echo "$total"
}
has_leases() { # MIN VM...
    local min=$1
    shift
    (($(usable_leases "$@") >= min))
}

# Starts two targets of each service in each failure domain. Sets `targets` to
# their addresses, and `caller_listeners` to those of the entry VMs.
start_targets() {
    local domain i service target
    targets=()
    for domain in 1 2; do
        for i in 1 2 3 4; do
            service=shifts
            if ((i > 2)); then service=signups; fi
            target=$net.1$domain.$i:9000
            targets+=("$target")
            start_target "t$domain$i" "$service" "$target" --slots 4 --time-ms 10 --shape exponential
        done
    done
    caller_listeners=$(join_by_comma $(for vm in "${entries[@]}"; do caller_listener "$vm"; done))
}

run_load() { # NAME ARGUMENTS...; writes the report to NAME.json and the exit code to NAME.code
    local name=$1 code=0
    shift
    "$BIN/pimento" --output json load --callers "$caller_listeners" --service shifts --once signups \
        --block 10.0.0.1,10.0.0.2,10.0.0.3,10.0.0.4,10.0.0.5,10.0.0.6,10.0.0.7,10.0.0.8 \
        --targets "$(join_by_comma "${targets[@]}")" "$@" \
        >"$work/logs/$name.json" 2>"$work/logs/$name.err" || code=$?
    echo "$code" >"$work/logs/$name.code"
}
