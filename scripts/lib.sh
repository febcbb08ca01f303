# Functions for scripts that run the VMs of examples/settings as plain
# processes on loopback. Source it from the root of the repository; it makes a
# folder with settings, secrets, data and logs, and ends all that it started.
#
#   BIN   the folder of the built programs
#   KEEP  any text keeps the folder
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
# An octet of its own for each run, so that runs side by side don't meet.
net=127.$((11 + $$ % 240))
declare -A pids=()
step="start"

say() { printf '%s: %s\n' "$name" "$*"; }

fail() {
    # Subshells fail on their way out too; the first one tells.
    mkdir "$work/failed" 2>/dev/null || exit 1
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
start_vm() { # NAME; with its data, if it ran before
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
# What a VM says of itself.
status() { # VM
    get -H "Authorization: Bearer $(<"$work/secrets/operators")" "$(operators "$1")/v1/status"
}
at_version() { status "$1" | jq -e --argjson version "$2" '.version == $version'; }
lookup() { get "http://$(callers "$1")/v1/lookup?service=$2"; }
names() { lookup "$1" "$2" | jq -e --arg vm "$(callers "$3")" '.entries | index($vm) != null'; }
names_not() { lookup "$1" "$2" | jq -e --arg vm "$(callers "$3")" '.entries | index($vm) == null'; }
counter() { get "http://$1/counters" | jq -e ".$2"; }
answers() { get "http://$(callers "$1")/s/shifts/r1?nonce=abc" | grep -qx abc; }
# A UUIDv7 of now.
new_key() {
    local time
    time=$(printf '%012x' "$(date +%s%3N)")
    printf '%s-%s-7%03x-8%03x-%04x%04x%04x\n' "${time:0:8}" "${time:8:4}" \
        $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}
joined() { local IFS=,; echo "$*"; }

# Makes the settings of all VMs in examples/ for this run's addresses.
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

# Starts VMs and waits until they answer operators, and names them to pimento.
start_vms() {
    local vm
    PIMENTO_SERVER=$(joined $(for vm in "$@"; do operators "$vm"; done))
    export PIMENTO_SERVER
    for vm in "$@"; do start_vm "$vm"; done
    for vm in "$@"; do within 10 get "$(operators "$vm")/healthz"; done
}

# How many target leases some VMs hold and may use.
leases() {
    local vm total=0
    for vm in "$@"; do
        total=$((total + $(status "$vm" | jq '[.targets[] | select(.open)] | length')))
    done
    echo "$total"
}
lease_count() { # LEAST VM...
    local least=$1
    shift
    (($(leases "$@") >= least))
}

# Starts two targets of each service in both failure domains; sets their
# addresses as `targets`, and the callers' listeners of the entry VMs as `live`.
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
    live=$(joined $(for vm in "${entries[@]}"; do callers "$vm"; done))
}

load() { # NAME ARGUMENTS...; leaves the report in NAME.json and the exit code in NAME.code
    local name=$1 code=0
    shift
    "$BIN/pimento" --output json load --callers "$live" --service shifts --once signups \
        --block 10.0.0.1,10.0.0.2,10.0.0.3,10.0.0.4,10.0.0.5,10.0.0.6,10.0.0.7,10.0.0.8 \
        --targets "$(joined "${targets[@]}")" "$@" \
        >"$work/logs/$name.json" 2>"$work/logs/$name.err" || code=$?
    echo "$code" >"$work/logs/$name.code"
}
