# Guards against orders that run twice, or with a lower fencing number than an
# earlier one, at an engine that ignores these numbers. Cases: a resend,
# concurrent operators, a new leader, a restarted agent.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3
agent_settings agent-engine "$(port 3)" "$(port 4)" "$(port 5)" >agent-engine.yaml
start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record
start_daemon agent-engine
agent_listed() { operator endpoint list | grep -q 'agent-engine .*127'; }
wait_until agent_listed
wait_until agent_accepts_requests "$(port 4)"

# send_order ARGS...: sends an order; true when the agent has run it.
send_order() { operator endpoint order agent-engine "$@" >order.out 2>&1; }

echo "-- an order, and its resend with the same command id"
id=00112233445566778899aabbccddeeff
wait_until send_order load small --command-id $id
send_order load small --command-id $id
echo "exit $?"
cat engine.record

echo "-- two concurrent operators: each gets a number, and the numbers rise at the engine"
operator endpoint order agent-engine load one >one.out 2>&1 &
one=$!
operator endpoint order agent-engine load two >two.out 2>&1 &
wait $one $!
# fencing_numbers: prints the fencing numbers in the order in which the engine
# received them.
fencing_numbers() { awk '/^order/ {print $NF}' engine.record; }
fencing_numbers | sort -n | diff - <(fencing_numbers) && echo "numbers rise"
fencing_numbers | tail -n 1

echo "-- the leader is killed: the next number is higher"
old=$(leader_id)
stop "control-$old" KILL
wait_until has_leader
wait_until send_order unload small
fencing_numbers | sort -n | diff - <(fencing_numbers) && echo "numbers rise"
start_daemon "control-$old"

echo "-- the agent restarts: it learns the fencing floor, then passes a new order"
stop agent-engine KILL
start_daemon agent-engine
wait_until agent_accepts_requests "$(port 4)"
wait_until send_order load five
tail -n 1 engine.record | cut -d' ' -f1-3
fencing_numbers | sort -n | diff - <(fencing_numbers) && echo "numbers rise"

echo "-- an operator drains and undrains the endpoint"
endpoint_drained() { operator endpoint list | grep -q 'takes no work'; }
operator endpoint drain agent-engine
wait_until endpoint_drained && echo drained
operator endpoint drain agent-engine --undo
endpoint_undrained() { ! endpoint_drained; }
wait_until endpoint_undrained && echo "works again"
