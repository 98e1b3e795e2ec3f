# Guards against a control host that votes after its log was lost: it must
# rejoin with a new disk id, as a learner. A second host is lost after the
# repair, and one whose log is damaged in the middle must not start.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3

# change_rules N: replaces the rules, based on the version of the previous
# change.
change_rules() {
    echo "model m$1 # asked by both offices" >change.rules
    operator rules apply change.rules --base "$BASE" --json >change.out || return 1
    BASE=$(jq .version change.out)
}

# replica_field ID FIELD: prints a field of the replica state of control host
# ID.
replica_field() { state_value "${ADMIN_PORTS[$1 - 1]}" ".control.replica.$2"; }
is_voter() { [ "$(replica_field "$1" votes)" = true ]; }
has_caught_up() { [ "$(replica_field "$1" applied)" = "$(replica_field "$(leader_id)" applied)" ]; }

echo "-- a disk is lost: the host rejoins with another disk id"
BASE=0
change_rules 1 && operator rules show
lost=$(leader_id)
before=$(replica_field "$lost" disk)
stop "control-$lost" KILL
rm -r "control-$lost.data"
wait_until has_leader
change_rules 2 && echo "accepted without it"
start_daemon "control-$lost"
wait_until curl -fs "http://127.0.0.1:${ADMIN_PORTS[lost - 1]}/debug/state"
is_voter "$lost" || echo "does not vote"
[ "$(replica_field "$lost" disk)" != "$before" ] && echo "another disk"
wait_until is_voter "$lost" && echo "admitted through the log"
wait_until has_caught_up "$lost" && echo "has caught up"

echo "-- a second host is lost right after the repair"
second=$(leader_id)
stop "control-$second" KILL
wait_until has_leader
operator rules show
change_rules 3 && operator rules show

echo "-- a host whose log is damaged in the middle does not start"
log=$(ls "control-$second.data"/log-* | head -n 1)
printf 'X' | dd of="$log" bs=1 seek=200 conv=notrunc status=none
"$LL_BUILD/src/daemon/laurelliftd" "control-$second.yaml" 2>damaged.log
echo "exit status $?"
grep -oE 'File log-.* is damaged at offset [0-9]+: [a-z ]+' damaged.log | sed -E 's/[0-9a-f]+ is damaged at offset [0-9]+/N is damaged at offset N/'
operator rules show
