# Guards against a core that never leads again when a control host has been replaced,
# and ends at the moment at which another one loses its disk.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
version=3
replica_of() { curl -s --max-time 1 "http://127.0.0.$1:$API_PORT/debug/state" | jq -c .fleet.replica; }
leads() { replica_of "$1" | jq -e .leads; }
votes() { replica_of "$1" | jq -e .votes; }
no_vote() { replica_of "$1" | jq -e '.votes | not'; }
# member_gone N ID_OF: true when control host N knows no host with the address of ID_OF.
member_gone() { ! replica_of "$1" | grep -q "127.0.0.$2:"; }
# moved OLD NEW: true when NEW has taken over the vote of OLD.
moved() { votes "$2" && no_vote "$1"; }
reads() { [ "$(read_configuration "$1" | jq .version)" = $version ]; }
accepts() { replace_accepted "$1" next.conf; }

# replace_host OLD NEW LOST END: replaces control host OLD by NEW, ends it with the
# signal END, and takes the disk of control host LOST at the same moment. Control
# host N is in zone west-ZONES[N].
ZONES=([1]=1 [2]=2 [3]=3)
replace_host() {
    local old=$1 new=$2 lost=$3
    ZONES[new]=${ZONES[old]}
    start_control_host "$new" "{\"bootstrap\": false, \"zone\": \"west-${ZONES[old]}\"}"
    wait_until moved "$old" "$new" && echo "the successor votes, its predecessor does not"
    leads "$old" >/dev/null && echo "the predecessor leads on"
    stop "control$old" "$4" || true
    stop "control$lost" KILL || true
    rm -rf "control$lost.data"
    sleep 0.5
    start_control_host "$lost" "{\"bootstrap\": false, \"zone\": \"west-${ZONES[lost]}\"}"
    wait_until reads "$new" && echo "the configuration is read"
    version=$((version + 1))
    print_configuration $version >next.conf
    wait_until accepts "$new" && echo "the next one is accepted"
    wait_until votes "$lost" && echo "the host that lost its disk votes again"
    wait_until member_gone "$new" "$old" && echo "the predecessor is no member"
}

for n in 1 2 3; do leads $n >/dev/null && leader=$n; done
echo "-- the leader is replaced and killed"
replace_host "$leader" 4 $((leader % 3 + 1)) KILL
for n in 1 2 3 4; do [ $n != "$leader" ] && ! leads $n >/dev/null && follower=$n; done
for n in 1 2 3 4; do leads $n >/dev/null && leader=$n; done
echo "-- a follower is replaced and stops as planned, and the leader loses its disk"
replace_host "$follower" 5 "$leader" TERM
