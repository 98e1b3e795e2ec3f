# Guards against streams with events of two versions when engines start again under
# their ids with another version that they announce late.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=6
start_platform
start_gateway 2
# start_versioned N SOFTWARE [OPTIONS...]: starts the engine at 127.0.0.N.
start_versioned() {
    local n=$1 software=$2
    shift 2
    start_server "engine-$n" "127.0.0.$n" engines --software "$software" --events $EVENTS \
        --fault cut --fault-every 2 --gap-ms 30 "$@"
}
for i in 31 32 33 34 35 36; do
    start_engine_keeper $i
    start_versioned $i v$((i % 2 + 1))
done
for n in 1 2; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done
sleep 0.5
play_streams restarts 120 $EVENTS 1 2 >played &
player=$!
for round in 1 2 3 4 5; do
    for i in 31 32; do
        sleep 0.6
        stop engine-$i KILL
        start_versioned $i v$(((i + round) % 2 + 1)) --silent-ms 1000
    done
done
wait $player
cat played
