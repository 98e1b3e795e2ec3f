# Guards against a gateway that sends requests to a bad version after it was frozen
# through the verdict, when it goes on with what it knew.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done
for n in 1 2; do
    look_load $n 16 80 &
    loads+=($!)
done
sleep 0.5
place_order 1 app v2 12
start_version new 127.0.0.51 app v2 --error-every 3 --error-after-ms 2000
sent_by_2() { grep -q '"Side of.*"side":"new"' gateway2.log; }
wait_until sent_by_2
sleep 1.5
kill -STOP "$(pid gateway2)"
echo "frozen $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
# These requests wait in the frozen gateway's sockets. Their route needs no key, so
# that the gateway does not refuse them for want of a lease.
for i in $(seq 30); do
    KEY='' gateway_status 2 GET /open/x "thawed-$i" --max-time 8 >>thawed.status &
    thawed+=($!)
done
wait_until rollout_is 2 app reverted
echo "reverted $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
sleep 1
kill -CONT "$(pid gateway2)"
thawed_at=$(date +%s%3N)
wait "${thawed[@]}"
echo "after the freeze: $(arrivals "$thawed_at" 9999999999999 new) requests at the bad version"
echo "answered: $(grep -c '^200$' thawed.status)"
wait "${loads[@]}"
print_exposure "app-41 app-42" new
echo "answers: $(sort load.status | uniq -c | tr '\n' ' ')" >&2
