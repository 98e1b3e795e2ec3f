# The whole path on the platform's stand-in: configuration, the three kinds
# of requests, keys, and what must be refused.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
keeper 1
server engine-a 127.0.0.1 engines
server app-a 127.0.0.2 app
until_true served 1
until_true streamed 1
: >app-a.record
: >engine-a.record

echo "-- a stream, a request that runs once, one that may run again"
ask 1 POST /stream/a id-1 -H 'Model: m' -H 'Token-Usage: 100,20' -d prompt
ask 1 POST /once/b id-2 -d body
ask 1 GET /look/c id-3
grep -h ran engine-a.record app-a.record

echo "-- no route, no key, an unknown key, another account's key"
status 1 GET /none/ id-4
KEY='' status 1 GET /look/c id-5
KEY=key-9 status 1 GET /look/c id-6
KEY=key-3 status 1 GET /look/c id-7
KEY='' status 1 GET /open/c id-8
grep -c ran app-a.record
grep 'id-7\|id-8' app-a.record

echo "-- what is read back is what was sent, at any host"
read_config 1 | cmp - first.conf && echo same
read_config 3 | cmp - first.conf && echo same

echo "-- faulty configurations are refused, older and equal ones change nothing"
configuration 9 'del(.services)' | replace 1
configuration 9 '.routeTable[0].service = "none"' | replace 2
configuration 9 '.routeTable[0].timeoutMs = 0' | replace 3
configuration 9 '.tenants[1].apiKeys = ["key-1"]' | replace 1
configuration 9 | head -c 200 | replace 1
configuration 3 '.routeTable = []' | replace 2
configuration 2 | replace 3
read_config 2 | cmp - first.conf && echo same

echo "-- a key that was taken away is refused within its bound"
configuration 12 '.tenants[0].apiKeys = ["key-2"]' >second.conf
replace 2 <second.conf
refused() { [ "$(status 1 GET /look/c "id-$RANDOM")" = 401 ]; }
until_true refused
KEY=key-2 status 1 GET /look/c id-20
