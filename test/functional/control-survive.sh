# Accepted changes survive kills of every control host, of the leader, and a
# leader that was frozen while another took over.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3

rules_text() { echo "model m$1 # asked by both offices"; }

# change N: one change whose base is the version before it.
change() {
    rules_text "$1" >change.rules
    operator rules apply change.rules --base "$BASE" --json >change.out || return 1
    BASE=$(jq .version change.out)
}

# in_force: text of the rules that a confirmed leader gives.
print_rules() { operator rules show; }
rules_show() { print_rules | grep -q "model m$1 "; }

echo "-- hundreds of changes, each based on the previous version"
BASE=0
for i in $(seq 300); do
    change "$i" || echo "change $i failed"
done
print_rules

echo "-- all control hosts are killed and restarted"
for i in 1 2 3; do stop "control-$i" KILL; done
for i in 1 2 3; do start_daemon "control-$i"; done
wait_until has_leader
print_rules
operator rules history --json | jq '.changes | length'
[ "$(operator rules show --json | jq .version)" = "$BASE" ] && echo "same version"

echo "-- the leader is killed: the change is kept, the next one is accepted"
change 301
old=$(leader_id)
stop "control-$old" KILL
wait_until rules_show 301 && echo kept
change 302 && print_rules
start_daemon "control-$old"
wait_until operator status

echo "-- a frozen leader does not answer a read with old rules when it resumes"
old=$(leader_id)
kill -STOP "$(cat "control-$old.pid")"
new_leader_elected() { [ -n "$(other_leader_id)" ]; }
other_leader_id() {
    all_admin_ports=("${ADMIN_PORTS[@]}")
    local ports=("${ADMIN_PORTS[@]}")
    unset 'ports[old-1]'
    ADMIN_PORTS=("${ports[@]}")
    leader_id
    ADMIN_PORTS=("${all_admin_ports[@]}")
}
wait_until new_leader_elected && echo "another leads"
others=()
for i in 1 2 3; do [ "$i" = "$old" ] || others+=("${ADMIN_PORTS[i - 1]}"); done
all=("${ADMIN_PORTS[@]}")
ADMIN_PORTS=("${others[@]}")
change 303 && print_rules
ADMIN_PORTS=("${all[@]}")
# Asked while it is frozen, answered when it wakes: it must not say m302.
# This does not show that reads are confirmed by a majority: the woken host
# mostly notices its lost lead before it reads the question.
curl -s -m 20 -H 'Authorization: Bearer operator-key' \
    "http://127.0.0.1:${ADMIN_PORTS[old - 1]}/v1/rules" >frozen.out &
read_pid=$!
sleep 0.3
kill -CONT "$(cat "control-$old.pid")"
wait $read_pid
grep -q 'model m302 ' frozen.out && echo "an old answer"
[ -s frozen.out ] && echo "answered without old rules"
print_rules
