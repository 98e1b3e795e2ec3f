# Guards against a server that writes an earlier refusal once more on a kept
# connection: it must not count for the request that runs there, neither for
# another request nor for the next attempt of the same one. Such a request ran
# twice, or was refused as not run.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
print_configuration 4 '.routeTable[1].maxAttempts = 3 | .routeTable[2].maxAttempts = 3' | replace_configuration 1
version_applied() { grep -q "\"Applied a new configuration.\".*\"version\":$1" gateway1.log; }
wait_until version_applied 4
endpoint_listed() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }

# play NAME SHEDS [OPTIONS...]: one server that refuses the first SHEDS requests and
# repeats each refusal; prints the statuses of three requests and what ran.
play() {
    local name=$1 sheds=$2
    shift 2
    start_server "$name" 127.0.0.31 app --fault shed-again --fault-count "$sheds" --delay-ms 150 "$@"
    wait_until endpoint_listed "$name"
    gateway_status 1 POST /once/x "$name-1" -d x
    gateway_status 1 POST /once/x "$name-2" -d x
    gateway_status 1 GET /look/x "$name-3"
    sleep 0.3
    grep '^ran ' "$name.record" | cut -d' ' -f2 | sort | uniq -c | sed 's/^ *//'
    stop "$name" KILL
    curl -s -X POST -d '{}' "http://127.0.0.1:$API_PORT/api/instances/$name/deregister" >/dev/null
}
echo "-- refused once"
play app-a 1
echo "-- refused twice"
play app-b 2

# Every other stream is refused by each of two engines, which repeat the refusal.
echo "-- streams"
for i in 32 33; do
    start_engine_keeper $i
    start_server engine-$i 127.0.0.$i engines --fault shed-again --fault-count 40 --fault-every 2 \
        --events 3 --gap-ms 60
done
engines_connected() { [ "$(grep -c 'Slot keeper connected' gateway1.log)" -ge 2 ]; }
wait_until engines_connected
print_configuration 5 '.routeTable[0] += {maxAttempts: 4, resumable: false}' | replace_configuration 1
wait_until version_applied 5
running=()
for i in $(seq 40); do
    id=stream-$i
    gateway_request 1 POST /stream/x $id --max-time 5 -d x -H 'Model: m' -H 'Token-Usage: 10,20' \
        -o $id.body -w "$id %{http_code}\n" >>statuses &
    running+=($!)
    [ $((i % 4)) -ne 0 ] || sleep 0.3
done
wait "${running[@]}"
sleep 1
grep -h '^ran stream-' engine-*.record | cut -d' ' -f2 | sort >runs
echo "ran at all: $([ "$(wc -l <runs)" -ge 20 ] && echo yes)"
echo "ran twice: $(uniq -d runs | wc -l)"
echo "refused and ran: $(awk '$2 == 503 || $2 == 429 { print $1 }' statuses | sort | comm -12 - <(uniq runs) | wc -l)"
