# Guards against the loss of accepted rules when a control host loses its disk,
# rejoins as a learner, and a second host is lost right after its promotion.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3

rules_text() { echo "model m$1 # asked by both offices"; }
# change_rules N: replaces the rules, based on the version of the previous
# change.
change_rules() {
    rules_text "$1" >change.rules
    operator rules apply change.rules --base "$BASE" --json >change.out || return 1
    BASE=$(jq .version change.out)
}
rules_contain() { operator rules show | grep -q "model m$1 "; }
is_voter() {
    operator status --json | jq -e ".[] | select(.replica == $1) | .votes" | grep -q true
}

BASE=0
for i in $(seq 20); do
    change_rules "$i" || echo "change $i failed"
done
wait_until is_voter 2

echo "-- host 1 loses its disk, rejoins as a learner and is promoted"
stop control-1 KILL
rm -rf control-1.data
wait_until rules_contain 20 && echo "still shown"
start_daemon control-1
wait_until is_voter 1 && echo "votes again"

echo "-- host 2 is lost right after the promotion"
stop control-2 KILL
rm -rf control-2.data
wait_until rules_contain 20 && echo "still shown"
wait_until change_rules 21 && operator rules show

echo "-- host 2 rejoins with an empty disk, then host 3 is lost"
start_daemon control-2
wait_until is_voter 2 && echo "votes again"
stop control-3 KILL
rm -rf control-3.data
wait_until rules_contain 21 && echo "still shown"
wait_until change_rules 22 && operator rules show
