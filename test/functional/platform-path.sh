# Checks requests of the three kinds through laurellift-platform, and guards
# against requests without a route or a valid key, faulty or older
# configurations, and revoked keys.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_keeper 1
start_server engine-a 127.0.0.1 engines
start_server app-a 127.0.0.2 app
wait_until gateway_serves 1
wait_until gateway_streams 1
: >app-a.record
: >engine-a.record

echo "-- a stream, a non-idempotent and an idempotent request"
gateway_request 1 POST /stream/a id-1 -H 'Model: m' -H 'Token-Usage: 100,20' -d prompt
gateway_request 1 POST /once/b id-2 -d body
gateway_request 1 GET /look/c id-3
grep -h ran engine-a.record app-a.record

echo "-- no route, no key, an unknown key, another account's key"
gateway_status 1 GET /none/ id-4
KEY='' gateway_status 1 GET /look/c id-5
KEY=key-9 gateway_status 1 GET /look/c id-6
KEY=key-3 gateway_status 1 GET /look/c id-7
KEY='' gateway_status 1 GET /open/c id-8
grep -c ran app-a.record
grep 'id-7\|id-8' app-a.record

echo "-- two control hosts return the configuration as it was sent"
read_configuration 1 | cmp - first.conf && echo same
read_configuration 3 | cmp - first.conf && echo same

echo "-- faulty configurations are refused; older and equal versions change nothing"
print_configuration 9 'del(.services)' | replace_configuration 1
print_configuration 9 '.routeTable[0].service = "none"' | replace_configuration 2
print_configuration 9 '.routeTable[0].timeoutMs = 0' | replace_configuration 3
print_configuration 9 '.tenants[1].apiKeys = ["key-1"]' | replace_configuration 1
print_configuration 9 | head -c 200 | replace_configuration 1
print_configuration 3 '.routeTable = []' | replace_configuration 2
print_configuration 2 | replace_configuration 3
read_configuration 2 | cmp - first.conf && echo same

echo "-- a revoked key is refused, the other key of the account is accepted"
print_configuration 12 '.tenants[0].apiKeys = ["key-2"]' >second.conf
replace_configuration 2 <second.conf
key_refused() { [ "$(gateway_status 1 GET /look/c "id-$RANDOM")" = 401 ]; }
wait_until key_refused
KEY=key-2 gateway_status 1 GET /look/c id-20
