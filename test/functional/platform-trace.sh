# Checks that an operator finds the cause of a failed request from its id with
# the commands of docs/OPERATIONS.md. Causes: refused in overload, outcome
# unknown, timed out.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
trace() { "$LL_BUILD/src/cli/laurellift" trace "$1" ./*.log; }
# print_fields KEYS: prints the event sentence of each line and the keys that
# the pattern KEYS matches.
print_fields() { grep -oE "(: [A-Z][^=]*\.|\b($1)=[^ ]*)" | sed 's/^: //'; }
endpoint_listed() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }
gateway_metric() { curl -s "http://127.0.0.1:$READINESS_PORT/metrics" | grep "^laurellift_$1"; }

echo "-- refused in overload: the only slot is in use and the deadline is short"
start_keeper 1
start_server engine-a 127.0.0.1 engines --slots 1 --events 400 --gap-ms 20
wait_until endpoint_listed engine-a
sleep 0.5
gateway_request 1 POST /stream/a long -H 'Model: m' -H 'Token-Usage: 10,200' -d x >long.out &
wait_until grep -q data long.out
gateway_status 1 POST /stream/a refused -H 'Model: m' -H 'Token-Usage: 10,2000' \
    -H 'Deadline-Ms: 900' -d x
trace refused | print_fields 'outcome|status|reason|queued|busy|attempts'
stop engine-a KILL

echo "-- outcome unknown: the server closed the connection while it ran the request"
start_server app-a 127.0.0.2 app --fault cut --fault-count 1
wait_until endpoint_listed app-a
gateway_status 1 POST /once/a unknown -d x
trace unknown | print_fields 'outcome|status|endpoint|why|attempts'
stop app-a KILL
curl -s -X POST -d '{}' "http://127.0.0.1:$API_PORT/api/instances/app-a/deregister" >/dev/null

echo "-- timed out: the server accepted the request and did not answer"
start_server app-b 127.0.0.2 app --fault mute
wait_until endpoint_listed app-b
gateway_status 1 GET /look/a late
trace late | print_fields 'outcome|status|endpoint|attempts'

echo "-- the metrics count the three failures"
gateway_metric gateway_failed_total | sed 's/ [0-9]*$//' | sort
gateway_metric 'gateway_request_seconds_count{kind="once",served="no"}' | wc -l

echo "-- a request whose id has digits only"
gateway_status 1 GET /nowhere 4436629169351234
trace 4436629169351234 | print_fields 'id|outcome|status|attempts'

echo "-- a request id that is in no log"
trace nobody
echo "exit $?"
