# Accepted changes survive kills of every control host, of the leader, and a
# leader that was frozen while another took over.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control 3

rules() { echo "model m$1 # asked by both offices"; }

# change N: one change whose base is the version before it.
change() {
    rules "$1" >change.rules
    operator rules apply change.rules --base "$BASE" --json >change.out || return 1
    BASE=$(jq .version change.out)
}

# in_force: text of the rules that a confirmed leader gives.
in_force() { operator rules show; }
shows() { in_force | grep -q "model m$1 "; }

echo "-- hundreds of changes, each based on the one before"
BASE=0
for i in $(seq 300); do
    change "$i" || echo "change $i failed"
done
in_force

echo "-- every control host is killed and started again"
for i in 1 2 3; do stop "control-$i" KILL; done
for i in 1 2 3; do daemon "control-$i"; done
until_true has_leader
in_force
operator rules history --json | jq '.changes | length'
[ "$(operator rules show --json | jq .version)" = "$BASE" ] && echo "same version"

echo "-- the leader is killed: the change is kept, the next one is accepted"
change 301
old=$(leader)
stop "control-$old" KILL
until_true shows 301 && echo kept
change 302 && in_force
daemon "control-$old"
until_true operator status

echo "-- a leader that is frozen answers no read after it wakes"
old=$(leader)
kill -STOP "$(cat "control-$old.pid")"
moved() { [ -n "$(leader_of_others)" ]; }
leader_of_others() {
    ADMIN_PORTS_ALL=("${ADMIN_PORTS[@]}")
    local ports=("${ADMIN_PORTS[@]}")
    unset 'ports[old-1]'
    ADMIN_PORTS=("${ports[@]}")
    leader
    ADMIN_PORTS=("${ADMIN_PORTS_ALL[@]}")
}
until_true moved && echo "another leads"
others=()
for i in 1 2 3; do [ "$i" = "$old" ] || others+=("${ADMIN_PORTS[i - 1]}"); done
all=("${ADMIN_PORTS[@]}")
ADMIN_PORTS=("${others[@]}")
change 303 && in_force
ADMIN_PORTS=("${all[@]}")
# Asked while it is frozen, answered when it wakes: it must not say m302.
# This does not show that reads are confirmed by a majority: the woken host
# mostly notices its lost lead before it reads the question.
curl -s -m 20 -H 'Authorization: Bearer operator-key' \
    "http://127.0.0.1:${ADMIN_PORTS[old - 1]}/v1/rules" >frozen.out &
asked=$!
sleep 0.3
kill -CONT "$(cat "control-$old.pid")"
wait $asked
grep -q 'model m302 ' frozen.out && echo "an old answer"
[ -s frozen.out ] && echo "answered without old rules"
in_force
