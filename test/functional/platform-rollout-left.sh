# Guards against requests that are lost, and a roll-out that is completed, when the
# servers of the new version leave midway: one is drained, one killed.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done
for n in 1 2; do
    look_load $n 14 60 &
    loads+=($!)
done
sleep 0.5
place_order 1 app v2 10
for i in 51 52; do start_version new-$i 127.0.0.$i app v2; done
sleep 3
reached=$(arrivals 0 9999999999999 new-51 new-52)
[ "$reached" -gt 0 ] && echo "the new version served"
kill -USR1 "$(pid new-51)"
kill -USR1 "$(pid new-52)"
sleep 1
stop new-51 KILL
stop new-52 KILL
wait_until rollout_is 1 app reverted
took=$(($(date +%s%3N) - DEADLINE_AT_MS))
echo "reverted $took ms after the deadline" >&2
[ $took -le 500 ] && echo "reverted in time" || echo "reverted late"
wait "${loads[@]}"
for n in 1 2 3; do read_rollout $n app; done
echo "failed requests: $(grep -vc '^200$' load.status)"
