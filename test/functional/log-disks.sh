# Disks of control hosts: one is lost and comes back empty, a second host is
# lost right after the repair, one log is damaged in the middle.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control 3

change() {
    echo "model m$1 # asked by both offices" >change.rules
    operator rules apply change.rules --base "$BASE" --json >change.out || return 1
    BASE=$(jq .version change.out)
}

# member ID FIELD: what the replica of host ID says of itself.
member() { state "${ADMIN_PORTS[$1 - 1]}" ".control.replica.$2"; }
votes() { [ "$(member "$1" votes)" = true ]; }
caught_up() { [ "$(member "$1" applied)" = "$(member "$(leader)" applied)" ]; }

echo "-- one disk is lost: the host returns under another identity"
BASE=0
change 1 && operator rules show
lost=$(leader)
before=$(member "$lost" disk)
stop "control-$lost" KILL
rm -r "control-$lost.data"
until_true has_leader
change 2 && echo "accepted without it"
daemon "control-$lost"
until_true curl -fs "http://127.0.0.1:${ADMIN_PORTS[lost - 1]}/debug/state"
votes "$lost" || echo "does not vote"
[ "$(member "$lost" disk)" != "$before" ] && echo "another disk"
until_true votes "$lost" && echo "admitted through the log"
until_true caught_up "$lost" && echo "has caught up"

echo "-- a second host is lost right after the repair"
second=$(leader)
stop "control-$second" KILL
until_true has_leader
operator rules show
change 3 && operator rules show

echo "-- its log is damaged in the middle: it does not start"
log=$(ls "control-$second.data"/log-* | head -n 1)
printf 'X' | dd of="$log" bs=1 seek=200 conv=notrunc status=none
"$LL_BUILD/src/daemon/laurelliftd" "control-$second.yaml" 2>damaged.log
echo "exit status $?"
grep -oE 'File log-.* is damaged at offset [0-9]+: [a-z ]+' damaged.log | sed -E 's/[0-9a-f]+ is damaged at offset [0-9]+/N is damaged at offset N/'
operator rules show
