#!/usr/bin/env bash
# Measures how long three control hosts need, after all of them were killed, until
# the newest configuration (platform) or rules (laurelliftd) can be read, and the
# processor time that each of them takes for it. A host with a share of a core needs
# at least that processor time divided by the share.
# Usage: measure-restarts.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

ticks() { awk '{print $14 + $15}' "/proc/$(pid "$1")/stat"; }

# report PRODUCT CHANGES SIZE STARTED_NS HOSTS...: prints one line of the table.
report() {
    local ms=$((($(date +%s%N) - $4) / 1000000)) host cpu=0 most=0
    for host in "${@:5}"; do
        cpu=$(($(ticks "$host") * 10))
        [ "$cpu" -le "$most" ] || most=$cpu
    done
    echo "| $1 | $2 | $3 | $ms | $most |"
}

# measure_platform CHANGES ROUTES
measure_platform() (
    export LL_BUILD=$build LL_WORK=$work/platform-$1-$2 LL_PORT_BASE=${LL_MEASURE_PORTS:-29000}
    mkdir -p "$LL_WORK"
    . test/functional/platform.inc
    start_platform
    print_configuration 4 ".routeTable += [range($2) | {name: \"r-\(.)\", host: \"h.example\", pathPrefix: \"/r\(.)/\",
        kind: \"idempotent\", timeoutMs: 1500, priority: 2, service: \"app\", maxAttempts: 2}]" >large.conf
    for version in $(seq 5 $(($1 + 4))); do
        sed "s/\"version\":4,/\"version\":$version,/" large.conf >next.conf
        wait_until replace_accepted 1 next.conf
    done
    for i in 1 2 3; do stop control$i KILL; done
    started=$(date +%s%N)
    for i in 1 2 3; do start_control_host $i '{"bootstrap": false}'; done
    newest() { [ "$(read_configuration 1 | jq .version)" = $(($1 + 4)) ]; }
    wait_until newest "$1"
    report platform "$1" "$2 routes" "$started" control1 control2 control3
)

# measure_daemon CHANGES LINES
measure_daemon() (
    export LL_BUILD=$build LL_WORK=$work/daemon-$1-$2 LL_PORT_BASE=${LL_MEASURE_PORTS:-29000}
    mkdir -p "$LL_WORK"
    . test/functional/lib.sh
    start_control_hosts 3
    key=$("$LL_BUILD/src/cli/laurellift" hash-key some-key)
    base=0
    for change in $(seq "$1"); do
        { echo "model m$change # asked by both offices"
          seq "$2" | sed "s/.*/account a& key=$key tier=1 # asked by office &/" | awk -v key="$key" '{ k = sprintf("%06x", NR); sub(key, k substr(key, 7)); print }'; } >change.rules
        operator rules apply change.rules --base "$base" --json >change.out || { cat change.out; exit 1; }
        base=$(jq .version change.out)
    done
    for i in 1 2 3; do stop "control-$i" KILL; done
    started=$(date +%s%N)
    for i in 1 2 3; do start_daemon "control-$i"; done
    newest() { operator rules show --timeout 1 | grep "model m$1 " >shown; }
    wait_until newest "$1"
    report laurelliftd "$1" "$2 lines" "$started" control-1 control-2 control-3
)

echo "| product | changes | size | ms until read | processor ms of the busiest host |"
echo "|---|---|---|---|---|"
for changes in ${LL_CHANGES:-20 100 300}; do
    for size in 100 2000; do
        measure_platform "$changes" "$size"
        measure_daemon "$changes" "$size"
    done
done
