#!/usr/bin/env bash
# Measures the cost of idle links at an entry: bytes per second in both
# directions, processor time and memory, for several numbers of agents.
# Usage: measure-links.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
readonly SECONDS_MEASURED=5 PER_PROCESS=16

# agents_settings P N: prints the settings of process P, which has N agents.
agents_settings() {
    common_settings "agents-$1"
    echo 'agents:'
    local i first
    for i in $(seq "$2"); do
        first=$((LL_PORT_BASE + 100 + $1 * 100 + i * 3))
        echo "  - { name: agent-$1-$i, listen: \"127.0.0.1:$first\", http: \"127.0.0.1:$((first + 1))\", endpoint: \"127.0.0.1:$((first + 2))\" }"
    done
}

ticks() { awk '{print $14 + $15}' "/proc/$(pid entry)/stat"; }
link_bytes() { state_value "$(port 0)" '[.entry.agents[] | .bytes_in + .bytes_out] | add'; }

# measure N: prints the result for N agents.
measure() {
    local work
    work=$(mktemp -d)
    (
        export LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=${LL_MEASURE_PORTS:-29000}
        . test/functional/lib.sh
        start_control_hosts 1
        default_rules >rules
        operator rules apply rules --base 0 >/dev/null
        for p in $(seq $((($1 + PER_PROCESS - 1) / PER_PROCESS))); do
            left=$(($1 - (p - 1) * PER_PROCESS))
            agents_settings "$p" $((left < PER_PROCESS ? left : PER_PROCESS)) >"agents-$p.yaml"
            start_daemon "agents-$p"
        done
        entry_settings entry "$(port 0)" >entry.yaml
        start_daemon entry
        wait_until agents_connected "$(port 0)" "$1"
        sleep 2
        ticks_before=$(ticks)
        bytes_before=$(link_bytes)
        sleep $SECONDS_MEASURED
        bytes=$(($(link_bytes) - bytes_before))
        used=$(($(ticks) - ticks_before))
        rss=$(awk '/VmRSS/ {print $2}' "/proc/$(pid entry)/status")
        echo "agents=$1 link_bytes_s=$((bytes / SECONDS_MEASURED)) bytes_s_a_link=$((bytes / SECONDS_MEASURED / $1)) core_percent=$(awk -v t=$used -v s=$SECONDS_MEASURED 'BEGIN {printf "%.2f", t / s}') rss_kb=$rss"
    )
    rm -rf "$work"
}

for count in 1 4 16 64; do
    measure "$count"
done
