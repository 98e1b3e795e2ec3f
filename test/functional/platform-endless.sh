# Guards against endless output of a server that takes memory or time without
# bound, or that other callers have to wait for.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
FAULTS=(endless-head endless-fields endless-interim endless-body endless-chunk endless-refusal)
CALLERS=12
MEMORY_MAX_KB=100000
# No process of this run may take more, should a bound fail.
ulimit -v 1500000
start_platform

# peak_kb NAME: prints the most memory that the process has had.
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$(pid "$1")/status"; }
# no_connections: true when nothing is connected to the servers.
no_connections() { [ -z "$(ss -Htn state established "( sport = :$SERVER_PORT )" dst "127.0.0.1")" ]; }
# known ID: true when the gateway knows the endpoint.
known() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }
# print_bounded NAME: prints whether the process stays within MEMORY_MAX_KB.
print_bounded() {
    echo "$1: $(peak_kb "$1") KB" >&2
    [ "$(peak_kb "$1")" -le $MEMORY_MAX_KB ] && echo "memory of $1: bounded" || echo "memory of $1: too much"
}

start_engine_keeper 48
for fault in "${FAULTS[@]}"; do
    echo "-- $fault"
    rm -f ./*.answers
    start_server "app-$fault" 127.0.0.49 app --fault "$fault"
    start_server "engine-$fault" 127.0.0.48 engines --fault "$fault"
    wait_until known "app-$fault"
    wait_until known "engine-$fault"
    sleep 0.5
    loops=()
    for ((i = 0; i < CALLERS; i++)); do
        gateway_status 1 POST /once/x "once-$fault-$i" --max-time 6 -d "$fault-$i" >>once.answers &
        loops+=($!)
        gateway_status 1 POST /stream/x "stream-$fault-$i" --max-time 6 -H 'Model: m' \
            -H 'Token-Usage: 10,20' -d "$fault-$i" >>stream.answers &
        loops+=($!)
    done
    wait "${loops[@]}"
    echo "$fault: $(cat ./*.answers | sort | uniq -c | tr '\n' ' ')" >&2
    echo "served: $(cat ./*.answers | grep -c 200), without an answer: $(cat ./*.answers | grep -c 000)"
    wait_until no_connections
    stop "app-$fault" KILL
    stop "engine-$fault" KILL
done
print_bounded gateway1
print_bounded keeper48
echo "-- others"
start_server app-sound 127.0.0.49 app
wait_until gateway_serves 1
echo served
