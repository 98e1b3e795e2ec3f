# Guards against an acknowledged order that is lost when all processes are killed,
# and against a bad version that gets more than its share because the gateways and
# the leader start again without knowing what was sent.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done

# kill_all: kills all gateways and control hosts at once and starts them again.
kill_all() {
    local names=(control1 control2 control3 gateway1 gateway2) name n
    for name in "${names[@]}"; do kill -KILL "$(pid "$name")"; done
    for name in "${names[@]}"; do wait "$(pid "$name")"; done 2>/dev/null
    for n in 1 2 3; do start_control_host $n '{"bootstrap": false}'; done
    for n in 1 2; do start_gateway $n; done
    for n in 1 2; do wait_until gateway_serves $n; done
}
loads=()
load() {
    local n
    for n in 1 2; do
        look_load $n "$1" 80 &
        loads+=($!)
    done
}
echo "-- killed with the acknowledgement"
place_order 1 app v2 14
kill_all
read_rollout 2 app
load 12
start_version new 127.0.0.51 app v2 --error-every 3 --error-after-ms 2500
reached() { [ "$(arrivals 0 9999999999999 new)" -ge 5 ]; }
wait_until reached
echo "-- killed on trial"
echo "$(arrivals 0 9999999999999 new) requests before" >&2
kill_all
read_rollout 3 app
load 8
wait_until rollout_is 2 app reverted
echo "reverted $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
echo "-- killed after the verdict"
kill_all
for n in 1 2 3; do read_rollout $n app; done
load 2
wait "${loads[@]}"
print_exposure "app-41 app-42" new
