# Guards against slow readers of answers that come in small pieces, for each of
# which a gateway keeps a block of memory, so that its machine's is exceeded.
. "$(dirname "${BASH_SOURCE[0]}")/crowd.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
# Time in which a stream's events come.
CROWD_S=5
EVENTS=670
start_crowd_gateway '.services[0].engine.slots = 200 | .services[0].maxConnections = 200 |
    .routeTable[0].timeoutMs = 15000' '{"invariants": ["base", "engine", "stream", "pressure"]}'
start_engine_keeper 48
start_server app-a 127.0.0.49 app --slots 50
wait_until gateway_serves 1
ordinary() { gateway_serves 1; }

# answers_posts: true when the engine's requests are granted.
answers_posts() {
    gateway_request 1 POST /stream/x "warm-$RANDOM" --max-time 0.5 -H 'Model: m' -d x -o /dev/null
    grep -q "^ran warm" "$1.record"
}
# streams NAME CLIENTS ENGINE_OPTIONS...: deaf clients of an engine's streams, for
# each of which the gateway has a connection to the engine.
streams() {
    local name=$1 clients=$2
    start_server "$name" 127.0.0.48 engines --slots 200 "${@:3}"
    wait_until answers_posts "$name"
    BESIDE=$clients play_crowd "$name" gateway1 "127.0.0.1:$FRONTEND_PORT" ordinary "$clients" --manner request --deaf \
        --window 2048 --path /stream/x --field 'Host: h.example' --field 'Attempt-Id: crowd' \
        --field 'Deadline-Ms: 15000' --field 'Model: m' --field 'Token-Usage: 10,20' \
        --field 'Content-Length: 0' --field 'Authorization: Bearer key-1'
    [ "$(grep -c "^ran crowd" "$name.record")" -ge "$clients" ] && echo "all streams have begun"
    kill -USR1 "$(pid "$name")" # drains
    sleep 0.5
    stop "$name" KILL || true
}
for bytes in 1 5 50 300 1000; do
    streams "events-of-$bytes" 90 --events $EVENTS --event-bytes $bytes --gap-ms 5
done
# Every second stream is one event whose bytes come one by one.
streams event-byte-by-byte 180 --fault endless-event --fault-every 2
