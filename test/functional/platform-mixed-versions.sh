# Guards against streams with events of two software versions of one service.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=6
start_platform
start_gateway 2
start_gateway 3
for i in 31 32 33 34 35 36 37 38; do
    [ $i -gt 34 ] || start_engine_keeper $i
    start_server engine-$i 127.0.0.$i engines --software v$((i % 2 + 1)) \
        --events $EVENTS --fault cut --fault-every 2
done
for n in 1 2 3; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done
sleep 1

play_streams same-gateway 32 $EVENTS 1
play_streams other-gateway 48 $EVENTS 1 2 3
