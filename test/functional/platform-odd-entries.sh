# Guards against an odd announcement of another writer that ends processes, stops
# them from following the list of servers, or takes a sound server out of use: very
# deep nesting, numbers and texts that are too large, ports out of range, addresses
# that belong to others.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_engine_keeper 32
start_server app-a 127.0.0.31 app
start_server engine-a 127.0.0.32 engines
wait_until gateway_serves 1
wait_until gateway_streams 1

A=127.0.0.31:$SERVER_PORT
NOW_MS=$(date +%s%3N)
n=0
# announce TEXT_OR_@FILE: sends an announcement with an id of its own to each
# control host; prints the status of the first.
announce() {
    local host status
    n=$((n + 1))
    for host in 1 2 3; do
        status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 -X POST --data-binary "$1" \
            "http://127.0.0.$host:$API_PORT/api/instances/${ID:-odd-$n}/heartbeat")
        [ $host != 1 ] || echo "$status"
    done
}
# record JQ_FILTER: prints an announcement of the sound server's address by another
# one that started later, which JQ_FILTER has changed.
record() {
    jq -cn --arg a "$A" --argjson born "$((NOW_MS + 1000))" '{service: "app", address: $a, zone: "west-1",
        version: "v1", slots: 4, state: "ready", coldRemainingMs: 0, sequence: 1, born: $born}' | jq -c "$1"
}
# with FIELD TEXT: the same with a field of this text.
with() { record "del(.$1)" | sed "s/}\$/,\"$1\":$2}/"; }
deep() { head -c "$1" /dev/zero | tr '\0' '['; }
long() { head -c "$1" /dev/zero | tr '\0' 'x'; }

echo "-- nesting"
deep 200000 >deep && announce @deep
{ printf '{"models":' && deep 100000 && head -c 100000 /dev/zero | tr '\0' ']' && printf '}'; } >deep && announce @deep
with models "$(deep 1500)$(deep 1500 | tr '[' ']')" | sed 's/"app"/"elsewhere"/' >deep && announce @deep
echo "-- numbers"
for text in 1e400 1e300 9e15 9007199254740991 123456789012345678901234567890 -1 '"9"' 1.5; do
    announce "$(with born "$text")"
done
for text in 1e400 -1 123456789012345678901234567890 '[1]'; do
    announce "$(with sequence "$text")"
    announce "$(with slots "$text")"
    announce "$(with coldRemainingMs "$text")"
done
echo "-- addresses"
for text in 127.0.0.31:0 127.0.0.31:65536 127.0.0.31:99999999999 127.0.0.31:-1 127.0.0.31: 127.0.0.31 localhost:80 300.0.0.1:80; do
    announce "$(with address "\"$text\"")"
done
echo "-- texts"
long 3000000 >text
for field in service zone; do
    { record "del(.$field)" | tr -d '\n' | head -c -1; printf ',"%s":"' $field; cat text; printf '"}'; } >huge
    announce @huge
done
ID=$(long 3000) announce "$(record .)"
announce "$(with service '"a\u0000b"')"
printf '\377\376{}' >bytes && announce @bytes
announce '{"service":"app"'
announce ''
echo "-- deregistrations of a sound server"
deregister() {
    curl -s -o /dev/null -w '%{http_code}\n' --max-time 5 -X POST --data-binary "$1" \
        "http://127.0.0.1:$API_PORT/api/instances/app-a/deregister"
}
deregister '{"born":9e15}'
deregister '{"born":'
deregister '[]'
deregister @bytes
echo "-- a service that is not in the configuration"
announce "$(record '.service = "elsewhere"')"
ID=app-a announce "$(record '.service = "elsewhere"')"
sleep 0.5

echo "-- the others hold"
for name in control1 control2 control3 gateway1 keeper32; do
    kill -0 "$(pid $name)" 2>/dev/null || echo "$name ended"
done
gateway_status 1 GET /look/a sound
gateway_streams 1 && echo streams
echo "links closed: $(grep -h -c 'Control host lost' gateway1.log)"
start_server app-b 127.0.0.33 app
follows() { grep -q '"Endpoint changed.".*"id":"app-b"' gateway1.log; }
wait_until follows && echo follows
rss_mb() { awk '/VmRSS/ { print int($2 / 1024) }' "/proc/$(pid "$1")/status"; }
for name in control1 gateway1; do
    [ "$(rss_mb $name)" -lt 60 ] || echo "$name holds $(rss_mb $name) MB"
done
