# Guards against servers that get more requests than the limit that they name, or
# far fewer, from all gateways together.
. "$(dirname "${BASH_SOURCE[0]}")/limit.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 31 32; do
    start_engine_keeper $i
    start_limited engine-$i 127.0.0.$i engines 1 --events 6
done
for i in 41 42; do
    start_limited app-$i 127.0.0.$i app 1
done
wait_until gateway_ready 2
for n in 1 2; do
    wait_until gateway_serves $n
    wait_until gateway_streams $n
done
loops=()
for n in 1 2; do
    look_loop $n 18 0.1 &
    loops+=($!)
    stream_loop $n 18 0.1 &
    loops+=($!)
done
sleep 0.5
from=$(($(date +%s%3N) + LIMIT_CONTACT_MS))
sleep 9
# A keeper that starts again knows no limit.
stop keeper31 KILL
start_engine_keeper 31
sleep 8
until=$(date +%s%3N)
wait "${loops[@]}"
for name in engine-31 engine-32 app-41 app-42; do
    print_limit_result $name 1 "$from" "$until"
done
