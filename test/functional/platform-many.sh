# A request whose wants are refused goes on asking engines, the farthest last,
# until it has asked them all.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
NEAR=15
start_platform
known() { [ "$(grep -c 'Slot keeper connected' gateway1.log)" -eq "$1" ]; }
silent() { [ "$(cat keeper*.log | grep -c 'Engine does not answer')" -eq "$1" ]; }
for i in $(seq $NEAR); do
    engine_keeper "$i"
    server "near-$i" "127.0.0.$i" engines --slots 1
done
engine_keeper 20
server far 127.0.0.20 engines --slots 1 --events 3 --zone elsewhere
until_true known $((NEAR + 1))
for i in $(seq $NEAR); do
    stop "near-$i" KILL
done
until_true silent $NEAR

echo "-- the keepers of $NEAR near engines refuse, one beyond them is free"
status 1 POST /stream/a waits -H 'Model: m' -H 'Token-Usage: 10,3' \
    -H 'Deadline-Ms: 2000' -d x
grep '"id":"waits"' gateway1.log | jq -r 'select(.event == "Request ended.") | .endpoint'
