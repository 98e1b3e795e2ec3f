# An engine is replaced at its address before its successor is announced: one
# request finds out, and its keeper refuses the rest for all gateways.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
gateway 2
keeper 1
server engine-a 127.0.0.1 engines --slots 1 --events 3
until_true streamed 1
until_true streamed 2
known() { [ "$(grep -c 'Gateway connected' keeper1.log)" -ge 2 ]; }
until_true known
stop engine-a KILL
server engine-b 127.0.0.1 engines --slots 1 --events 3 --control 127.0.0.9:1
listens() { curl -s -o /dev/null "http://127.0.0.1:$SERVER/healthz"; }
until_true listens

echo "-- requests for the engine that was replaced"
for n in 1 2 1 2; do
    status "$n" POST /stream/a "id-$RANDOM" -H 'Model: m' -H 'Deadline-Ms: 600' -d x
    sleep 0.4
done
echo "-- sent to its successor, and refused by the keeper"
cat gateway?.log | grep -c '"why":"another instance"'
grep -c 'Engine was replaced' keeper1.log
grep 'Slot refused' keeper1.log | grep -c leaving

echo "-- the engine comes back under its id"
stop engine-b KILL
server engine-a 127.0.0.1 engines --slots 1 --events 3
until_true streamed 1
until_true streamed 2
status 1 POST /stream/a id-back -H 'Model: m' -d x
