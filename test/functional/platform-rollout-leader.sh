# Guards against a verdict that is lost, or contradicted, when the leader is killed
# as soon as it proposes the verdict; and against a good version that is not
# completed because the leader changed on the way.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done

# begin_play VERSION OPTIONS...: rolls a version out under load.
begin_play() {
    local version=$1 n
    shift
    loads=()
    : >load.status
    for n in 1 2; do
        look_load $n 16 80 &
        loads+=($!)
    done
    sleep 0.5
    place_order 1 app "$version" 12
    start_version "new-$version" 127.0.0.51 app "$version" "$@"
}
# restart_leader NAME: starts a killed control host again.
restart_leader() { start_control_host "${1#control}" '{"bootstrap": false}'; }

echo "-- the leader is killed with the verdict"
begin_play v2 --error-every 3
leader=$(leader_name)
await_line 'Change of a roll-out is proposed' "$leader.log"
kill -KILL "$(pid "$leader")"
echo "killed $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
for n in 1 2 3; do
    [ "control$n" != "$leader" ] || continue
    wait_until rollout_is $n app reverted
    read_rollout $n app
done
echo "reverted $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
wait "${loads[@]}"
print_exposure "app-41 app-42" new-v2
echo "failed requests: $(grep -vc '^200$' load.status)"
stop new-v2 KILL
restart_leader "$leader"
wait_until rollout_is "${leader#control}" app reverted

echo "-- the leader is killed on the way of a good version"
begin_play v3
sleep 3
leader=$(leader_name)
stop "$leader" KILL
for n in 1 2 3; do
    [ "control$n" != "$leader" ] || continue
    wait_until rollout_is $n app completed
    [ "$(date +%s%3N)" -le $DEADLINE_AT_MS ] && echo "completed in time" || echo "completed late"
done
echo "completed $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
wait "${loads[@]}"
echo "failed requests: $(grep -vc '^200$' load.status)"
