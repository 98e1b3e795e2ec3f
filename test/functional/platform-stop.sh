# Guards against requests lost in a planned stop of a gateway: requests that
# were read are answered, new connections are accepted for some time, and
# readiness fails at once so that the balancer stops sending. SIGHUP changes
# nothing.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_keeper 1
start_server engine-a 127.0.0.1 engines --slots 1 --events 20 --gap-ms 80
start_server app-a 127.0.0.2 app
wait_until gateway_serves 1
wait_until gateway_streams 1

echo "-- SIGHUP with good and with faulty settings"
kill -HUP "$(cat gateway1.pid)"
sleep 0.2
echo '{' >gateway1.json
kill -HUP "$(cat gateway1.pid)"
sleep 0.2
gateway_status 1 GET /look/a id-1
grep -c 'Settings read again\|Changed settings are refused' gateway1.log

echo "-- SIGTERM while a stream runs"
gateway_request 1 POST /stream/a id-2 -H 'Model: m' -H 'Token-Usage: 10,100' \
    -d prompt >stream.out &
stream=$!
sleep 0.3
# The keeper prefetches the second request for the slot; the third one waits.
gateway_request 1 POST /stream/a id-ahead -H 'Model: m' -H 'Token-Usage: 10,100' \
    -d prompt >prefetched.out &
prefetched=$!
sleep 0.2
gateway_request 1 POST /stream/a id-waits -H 'Model: m' -H 'Token-Usage: 10,400' -d x \
    -w '%{http_code}\n' >waits.out &
waiting=$!
sleep 0.2
kill -TERM "$(cat gateway1.pid)"
sleep 0.2
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$READINESS_PORT/api/readyz"
gateway_status 1 GET /look/a id-3
gateway_request 1 GET /look/a id-4 -D - -o /dev/null | tr -d '\r' | grep -i '^connection'
echo "-- a request that waits for a slot and cannot end before the stop is refused at once"
wait $waiting
jq -r '.error.code? // empty' waits.out 2>/dev/null
tail -n 1 waits.out | grep -o '503$'
echo "-- the running streams are complete"
wait $stream $prefetched
grep -c '^id:' stream.out
grep -c '^id:' prefetched.out
wait "$(cat gateway1.pid)"
echo "exit $?"

echo "-- a draining server gets no new request"
start_gateway 1
wait_until gateway_serves 1
start_server app-b 127.0.0.4 app
sleep 1
kill -USR1 "$(cat app-b.pid)"
sleep 0.5
: >app-b.record
for i in 1 2 3 4 5 6; do gateway_status 1 GET /look/a "id-5$i"; done | sort | uniq -c | sed 's/^ *//'
wc -l <app-b.record
