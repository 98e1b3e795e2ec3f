# Guards against a good version that is not completed by the deadline, gets more
# than its share before that, or costs a request; and against old versions that
# get requests after the end.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
OLD="app-41 app-42"
NEW="new-51 new-52"
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done
loads=()
for n in 1 2; do
    look_load $n 16 60 &
    loads+=($!)
done
sleep 1
place_order 2 app v2 12
for i in 51 52; do start_version new-$i 127.0.0.$i app v2; done
wait_until rollout_is 3 app completed
ended=$(date +%s%3N)
for name in $OLD; do stop $name KILL; done
echo "completed $((DEADLINE_AT_MS - ended)) ms before the deadline" >&2
[ $ended -le $DEADLINE_AT_MS ] && echo "completed in time" || echo "completed late"
for n in 1 2 3; do read_rollout $n app; done
wait "${loads[@]}"
for n in 1 2; do wait_until gateway_serves $n; done
echo "last request at an old version $((ended - $(last_arrival $OLD))) ms before the end was seen" >&2
[ "$(arrivals "$ended" 9999999999999 $OLD)" = 0 ] && echo "old versions: no request after the end"
accepted_at=$(grep -h '"Roll-out changed."' control?.log | jq -r 'select(.state == "accepted") | .left_ms' | head -n 1)
accepted_at=$((DEADLINE_AT_MS - accepted_at))
new=$(arrivals "$ORDERED_AT_MS" "$accepted_at" $NEW)
all=$((new + $(arrivals "$ORDERED_AT_MS" "$accepted_at" $OLD)))
echo "before the verdict: $new of $all" >&2
[ "$new" -le $((all * SHARE_PERCENT / 100 + SLACK)) ] && echo "before the verdict: within the bound"
echo "failed requests: $(grep -vc '^200$' load.status)"
