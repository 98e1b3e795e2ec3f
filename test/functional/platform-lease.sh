# Guards against requests with a revoked key: a gateway that cannot reach
# control for longer than the revocation bound runs no request that needs a
# key.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_server app-a 127.0.0.2 app
wait_until gateway_serves 1

echo "-- the control hosts are down for longer than the revocation bound"
stop control1 KILL
stop control2 KILL
stop control3 KILL
sleep 2.2
: >app-a.record
gateway_request 1 GET /look/a id-1 | jq -r .error.outcome
gateway_status 1 GET /look/a id-2
gateway_status 1 GET /open/a id-3
cut -d' ' -f2 app-a.record
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$READINESS_PORT/api/readyz"

echo "-- the control hosts are restarted; requests with a key run again"
start_control_host 1 '{"bootstrap": false}'
start_control_host 2 '{"bootstrap": false}'
start_control_host 3 '{"bootstrap": false}'
wait_until gateway_ready 1
gateway_status 1 GET /look/a id-4
