# Operators' orders through three control hosts to an engine that ignores
# fencing numbers: a resend runs once, racing orders get numbers of their
# own, and numbers go on rising under a new leader.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control 3
agent_settings agent-engine "$(port 3)" "$(port 4)" "$(port 5)" >agent-engine.yaml
engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record
daemon agent-engine
listed() { operator endpoint list | grep -q 'agent-engine .*127'; }
until_true listed
until_true agent_works "$(port 4)"

# ordered ARGS...: gives the order until an agent has answered it.
ordered() { operator endpoint order agent-engine "$@" >order.out 2>&1; }

echo "-- an order, and its resend with the same command id"
id=00112233445566778899aabbccddeeff
until_true ordered load small --command-id $id
ordered load small --command-id $id
echo "exit $?"
cat engine.record

echo "-- two operators at once: each gets a number, the engine never goes back"
operator endpoint order agent-engine load one >one.out 2>&1 &
one=$!
operator endpoint order agent-engine load two >two.out 2>&1 &
wait $one $!
# numbers: the fencing numbers that the engine was given, in its order.
numbers() { awk '/^order/ {print $NF}' engine.record; }
numbers | sort -n | diff - <(numbers) && echo "numbers rise"
numbers | tail -n 1

echo "-- the leader is killed: the next number is higher"
old=$(leader)
stop "control-$old" KILL
until_true has_leader
until_true ordered unload small
numbers | sort -n | diff - <(numbers) && echo "numbers rise"
daemon "control-$old"

echo "-- the agent restarts: it learns the floor, then passes a new order"
stop agent-engine KILL
daemon agent-engine
until_true agent_works "$(port 4)"
until_true ordered load five
tail -n 1 engine.record | cut -d' ' -f1-3
numbers | sort -n | diff - <(numbers) && echo "numbers rise"

echo "-- drain and take work again, by the operator"
drained() { operator endpoint list | grep -q 'takes no work'; }
operator endpoint drain agent-engine
until_true drained && echo drained
operator endpoint drain agent-engine --undo
undrained() { ! drained; }
until_true undrained && echo "works again"
