# The caller's own estimate of the output, not the longest one, decides
# whether its stream can end in time.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
keeper 1
server engine-a 127.0.0.1 engines --slots 1 --events 20 --gap-ms 5
known() { grep -q '"Endpoint changed.".*"id":"engine-a"' gateway1.log; }
until_true known
until_true grep -q "Gateway connected" keeper1.log
until_true streamed 1

echo "-- no estimate: the longest output would outlast the deadline"
status 1 POST /stream/a longest -H 'Token-Usage: 10,2000' \
    -H 'Deadline-Ms: 900' -d x
echo "-- an estimate: the stream ends in time"
status 1 POST /stream/a expected -H 'Token-Usage: 10,2000' \
    -H 'Length-Hint: 20' -H 'Deadline-Ms: 900' -d x
echo "-- an estimate beyond the longest output counts as that"
status 1 POST /stream/a beyond -H 'Token-Usage: 10,20' \
    -H 'Length-Hint: 2000' -H 'Deadline-Ms: 900' -d x
