# Guards against requests sent to the wrong engine: another instance listens at
# the address of an engine before it is registered. The first request detects
# this, and the keeper then refuses wants of all gateways for the replaced
# engine.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
start_keeper 1
start_server engine-a 127.0.0.1 engines --slots 1 --events 3
wait_until gateway_streams 1
wait_until gateway_streams 2
gateways_connected() { [ "$(grep -c 'Gateway connected' keeper1.log)" -ge 2 ]; }
wait_until gateways_connected
stop engine-a KILL
start_server engine-b 127.0.0.1 engines --slots 1 --events 3 --control 127.0.0.9:1
server_listens() { curl -s -o /dev/null "http://127.0.0.1:$SERVER_PORT/healthz"; }
wait_until server_listens

echo "-- requests for the replaced engine"
for n in 1 2 1 2; do
    gateway_status "$n" POST /stream/a "id-$RANDOM" -H 'Model: m' -H 'Deadline-Ms: 600' -d x
    sleep 0.4
done
echo "-- dispatches to the new instance, detections and refusals by the keeper"
cat gateway?.log | grep -c '"why":"another instance"'
grep -c 'Engine was replaced' keeper1.log
grep 'Slot refused' keeper1.log | grep -c leaving

echo "-- the engine is restarted with its id"
stop engine-b KILL
start_server engine-a 127.0.0.1 engines --slots 1 --events 3
wait_until gateway_streams 1
wait_until gateway_streams 2
gateway_status 1 POST /stream/a id-back -H 'Model: m' -d x
