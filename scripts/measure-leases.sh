#!/usr/bin/env bash
# Measures how long an entry has no rule lease after a kill of the control
# leader, for both values of lease_mode.
# Usage: measure-leases.sh BUILD_FOLDER [LEASE_MS]
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
lease_ms=${2:-1000}
kills=5

# measure MODE PORT_BASE: prints the result for one lease_mode.
measure() {
    local work gaps=0 samples=0
    work=$(mktemp -d)
    (
        export LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=$2
        . test/functional/lib.sh
        start_control_hosts 3
        default_rules >rules
        operator rules apply rules --base 0 >/dev/null
        entry_settings entry "$(port 0)" | sed "/^entry:/s/ }\$/, lease_ms: $lease_ms, lease_mode: $1 }/" >entry.yaml
        start_daemon entry
        wait_ready "$(port 0)"
        for _ in $(seq $kills); do
            old=$(leader_id)
            stop "control-$old" KILL
            end=$(($(date +%s%N) + 3000000000))
            while [ "$(date +%s%N)" -lt $end ]; do
                curl -fs -o ready "http://127.0.0.1:$(port 0)/readyz" || gaps=$((gaps + 1))
                samples=$((samples + 1))
            done
            start_daemon "control-$old"
            wait_until has_leader
            wait_ready "$(port 0)"
            sleep 1
        done
        echo "$1: lease_ms=$lease_ms kills=$kills without a lease: $((gaps * 3000 / samples)) ms a kill ($gaps of $samples samples)"
    )
    rm -rf "$work"
}

measure leader "${LL_MEASURE_PORTS:-29000}"
measure majority "${LL_MEASURE_PORTS:-29000}"
