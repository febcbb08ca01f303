#!/usr/bin/env bash
# Runs the control VMs of the users' platform as processes on loopback, and makes
# the disks of four of them full in turn, five seconds each. A limit on the size of
# files stands in for a full disk. Changes must be accepted meanwhile and read back
# afterwards. Needs curl, jq and prlimit.
#   BIN   the platform's program (target/release/pimento-platform)
#   KEEP  if not empty, keeps the folder with settings, data and logs
#   DOMAINS  the names of six failure domains, each a region of its own
#   TROUBLE=0 leaves out the full disks
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$(realpath "${BIN:-target/release/pimento-platform}")
work=$(mktemp -d)
net=127.$((11 + $$ % 240)).77
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [[ -n ${KEEP:-} ]]; then echo "kept $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
fail() { echo "full_disks: FAILED: $*" >&2; grep -h '"event":70' "$work"/*.log >&2; exit 1; }

read -ra domains <<<"${DOMAINS:-sapporo-a asahikawa-a kushiro-a sapporo-b asahikawa-b kushiro-b}"
settings() { # NUMBER
    local seeds="\"$net.10:8649\",\"$net.11:8649\",\"$net.12:8649\""
    jq -n --arg ip "$net.1$1" --arg name "core-$1" --arg domain "${domains[$1]}" \
        --arg data "$work/data-$1" --argjson seeds "[$seeds]" '{
        self: {nodeName: $name, role: "control", machineClass: "core", serves: ["control", "directory"],
            ip: $ip, zone: $domain, region: $domain, faultCounted: true, bootstrap: true,
            dataDir: $data, limits: {cpuShare: 0.3, cpuCores: 1, memoryMb: 256, maxFds: 4096,
            linkMbps: 1000, diskMb: 256}},
        network: {listen: {control: ($ip + ":8649"), directory: ($ip + ":8648")},
            innerPorts: [7620, 7635], seedAddrs: $seeds,
            zones: ($ARGS.positional | map({key: ., value: .}) | from_entries)},
        platform: {discovery: "registry", entry: "directory", heartbeat: "1500ms", configMode: "parts"},
        terms: {activeContracts: ["base", "config"],
            faultTolerance: {machines: 2, zones: 1, regions: 1}, bounds: {grace: "6s"}}}' --args "${domains[@]}"
}

version=0
body() { # the next change of the limits
    printf '{"upsert":{"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeout":"3000ms","idleTimeout":"15000ms","version":"r%d"}},"remove":{"routes":[]}}' \
        $((1000000 + version)) "$version"
}
change() { # sends the next change to one VM after the other until it is accepted
    version=$((version + 1))
    local attempt status
    for attempt in $(seq 0 40); do
        status=$(curl -s -m 1 -o /dev/null -w '%{http_code}' -X PATCH -H 'Content-Type: application/json' \
            -d "$(body)" "http://$net.1$(((version + attempt) % 6)):8649/api/config") || true
        if [[ $status == 200 ]]; then return; fi
        sleep 0.2
    done
    fail "change r$version was not accepted, the last status was $status"
}
read_back() { # reads the items from one VM
    curl -s -m 2 "http://$net.1$1:8649/api/config" | jq -r '.limits.version // "nothing"' 2>/dev/null
}

# Otherwise a write beyond the limit ends the process.
trap '' XFSZ
for i in 0 1 2 3 4 5; do
    settings "$i" >"$work/$i.json"
    PIMENTOLANDING_CONFIG=$work/$i.json "$BIN" control > >(cat >"$work/$i.log") 2>&1 &
    pids+=($!)
done
sleep 3
change
sleep 2
for i in 0 1 2 3; do
    if [[ ${TROUBLE:-1} != 0 ]]; then prlimit --pid "${pids[$i]}" --fsize=1:unlimited; fi
    change
    sleep 2
    change
    sleep 3
    prlimit --pid "${pids[$i]}" --fsize=unlimited:unlimited
    echo "full_disks: the disk of core-$i was full, r$version is accepted"
    sleep 4.5
done
change
sleep 3
for i in 0 1 2 3 4 5; do
    found=$(read_back "$i")
    [[ $found == "r$version" ]] || fail "core-$i returned $found in place of r$version"
done
echo "full_disks: all control VMs return r$version"
