# Guards against refusing streams that can finish in time: the caller's
# estimate of the output length (Length-Hint), not the maximum, is compared
# with the deadline.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_keeper 1
start_server engine-a 127.0.0.1 engines --slots 1 --events 20 --gap-ms 5
endpoint_listed() { grep -q '"Endpoint changed.".*"id":"engine-a"' gateway1.log; }
wait_until endpoint_listed
wait_until grep -q "Gateway connected" keeper1.log
wait_until gateway_streams 1

echo "-- no estimate: the longest output would end after the deadline"
gateway_status 1 POST /stream/a longest -H 'Token-Usage: 10,2000' \
    -H 'Deadline-Ms: 900' -d x
echo "-- with an estimate the stream ends in time"
gateway_status 1 POST /stream/a expected -H 'Token-Usage: 10,2000' \
    -H 'Length-Hint: 20' -H 'Deadline-Ms: 900' -d x
echo "-- an estimate above the longest output is limited to it"
gateway_status 1 POST /stream/a beyond -H 'Token-Usage: 10,20' \
    -H 'Length-Hint: 2000' -H 'Deadline-Ms: 900' -d x
