# Guards against a configuration with an empty list of accounts that opens all
# routes: after the last account is removed no key is accepted, and none is
# passed on to a server. Public routes go on.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_server app-a 127.0.0.31 app
wait_until gateway_serves 1

status_is() { [ "$(KEY=$1 gateway_status 1 GET "$2" "probe-$RANDOM")" = "$3" ]; }
# requests TAG: prints the statuses of requests with a key that was taken away,
# one that was never there, and none, and of one to a public route.
requests() {
    echo "taken away: $(KEY=key-1 gateway_status 1 POST /once/x "once-$1-a" -d x)" \
        "$(KEY=key-1 gateway_status 1 GET /look/x "look-$1-a")"
    echo "unknown: $(KEY=key-9 gateway_status 1 POST /once/x "once-$1-b" -d x)"
    echo "none: $(KEY='' gateway_status 1 POST /once/x "once-$1-c" -d x)"
    echo "public: $(KEY=key-1 gateway_status 1 GET /open/x "open-$1")"
}

echo "-- the last account is removed"
print_configuration 4 '.tenants = []' | replace_configuration 1
wait_until status_is key-1 /look/x 401
: >app-a.record
requests removed

echo "-- the gateway starts again"
stop gateway1
start_gateway 1
wait_until gateway_ready 1
wait_until status_is '' /open/x 200
requests again
echo "-- ran"
grep -o '^ran [^ ]* [^ ]* .*key=[a-z]*' app-a.record | grep -v probe- | sed 's/after=- //'

echo "-- another account is added"
print_configuration 5 '.tenants = [{name: "clerks", apiKeys: ["key-2"], priority: 1}]' | replace_configuration 1
wait_until status_is key-2 /look/x 200
echo "taken away: $(KEY=key-1 gateway_status 1 POST /once/x once-last -d x)"
