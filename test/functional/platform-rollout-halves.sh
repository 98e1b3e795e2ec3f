# Guards against requests to a version on trial while the control hosts are
# partitioned into halves, neither of which can decide, and against a good version
# that is not completed after they are one again. The halves are made by freezing
# two of four hosts: those without the leader, then those with it.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
SEED_NODES='["127.0.0.1:'$API_PORT'","127.0.0.2:'$API_PORT'","127.0.0.3:'$API_PORT'","127.0.0.4:'$API_PORT'"]'
CONTROL_ADDRESSES=$CONTROL_ADDRESSES,127.0.0.4:$API_PORT
start_control_host 4 '{"zone": "west-1"}'
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done

# The permits of the last confirmed reply are valid for 1 s; a request may be on
# its way for 300 ms more.
PERMIT_MS=1300

# play TAG VERSION HOST WITH_LEADER: rolls a version out; freezes half of the control
# hosts for 3 s.
play() {
    local tag=$1 version=$2 loads=() frozen=() n leader at healed
    echo "-- $tag"
    : >load.status
    for n in 1 2; do
        look_load $n 15 80 &
        loads+=($!)
    done
    sleep 0.5
    place_order 1 app "$version" 12
    start_version "new-$version" "127.0.0.$3" app "$version"
    sleep 2
    leader=$(leader_name)
    [ "$4" = no ] || frozen=("$leader")
    for n in 1 2 3 4; do
        [ ${#frozen[@]} -eq 2 ] || [ "control$n" = "$leader" ] || frozen+=("control$n")
    done
    for n in "${frozen[@]}"; do kill -STOP "$(pid "$n")"; done
    at=$(date +%s%3N)
    sleep 3
    healed=$(date +%s%3N)
    for n in "${frozen[@]}"; do kill -CONT "$(pid "$n")"; done
    echo "before: $(arrivals 0 "$at" "new-$version"), in the first $PERMIT_MS ms: $(arrivals "$at" $((at + PERMIT_MS)) "new-$version")" >&2
    [ "$(arrivals 0 "$at" "new-$version")" -gt 0 ] && echo "the new version was on trial"
    echo "in halves: $(arrivals $((at + PERMIT_MS)) "$healed" "new-$version") requests at the new version"
    wait_until rollout_is 2 app completed
    [ "$(date +%s%3N)" -le $DEADLINE_AT_MS ] && echo "completed in time" || echo "completed late"
    echo "completed $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
    wait "${loads[@]}"
    echo "answers: $(sort load.status | uniq -c | tr '\n' ' ')" >&2
}
play "the leader is cut off from two hosts" v2 51 no
# The servers of the version that serves now are the old ones of the next order.
play "the leader is in the other half" v3 52 yes
