# Guards against a request that gives up after a few refused wants: the gateway
# must send wants to all engines, the farthest last.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
NEAR_ENGINES=15
start_platform
keepers_connected() { [ "$(grep -c 'Slot keeper connected' gateway1.log)" -eq "$1" ]; }
engines_silent() { [ "$(cat keeper*.log | grep -c 'Engine does not answer')" -eq "$1" ]; }
for i in $(seq $NEAR_ENGINES); do
    start_engine_keeper "$i"
    start_server "near-$i" "127.0.0.$i" engines --slots 1
done
start_engine_keeper 20
start_server far 127.0.0.20 engines --slots 1 --events 3 --zone elsewhere
wait_until keepers_connected $((NEAR_ENGINES + 1))
for i in $(seq $NEAR_ENGINES); do
    stop "near-$i" KILL
done
wait_until engines_silent $NEAR_ENGINES

echo "-- the keepers of $NEAR_ENGINES near engines refuse, one far engine is free"
gateway_status 1 POST /stream/a waits -H 'Model: m' -H 'Token-Usage: 10,3' \
    -H 'Deadline-Ms: 2000' -d x
grep '"id":"waits"' gateway1.log | jq -r 'select(.event == "Request ended.") | .endpoint'
