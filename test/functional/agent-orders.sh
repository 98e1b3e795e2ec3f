# Guards against orders that run twice or out of sequence at an engine that
# ignores the fencing number: the agent runs an order once, and only with a
# number above the fencing floor. Cases: concurrent operators, resends, a
# restarted agent.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent
start_agent_engine --order-ms 300
start_fake_control
wait_output control "up agent"
wait_agent_accepts

echo "-- no order passes before the fencing floor is known"
send_command control order a agent 5 load small
wait_output control "result a"
send_command control floor agent 0 99
send_command control order b agent 5 load small
wait_output control "result b"
send_command control floor agent 1 4

echo "-- two operators use the same number; a resend gets the first result"
send_command control order c agent 5 load small
send_command control order d agent 5 load other
send_command control order c agent 5 load small
wait_output control "result c"
wait_output control "result d"
send_command control order c agent 5 load small

echo "-- newer numbers overtake a waiting order"
send_command control order e agent 6 load one
send_command control order f agent 7 load two
send_command control order g agent 8 load three
wait_output control "result g"
wait_output control "result f"
send_command control order h agent 7 load two
wait_output control "result h"
send_command control order i agent 9 paint wall
wait_output control "result i"

echo "-- drain and undrain"
send_command control order j agent 10 drain
wait_output control "result j"
wait_until agent_value_is .leaving true && echo drained
send_command control order k agent 11 undrain
wait_output control "result k"
wait_agent_accepts && echo undrained

echo "-- a restarted agent has no fencing floor"
stop agent KILL
start_agent
wait_until eval '[ $(grep -c "^up" control.out) = 2 ]'
send_command control order l agent 9 unload two
wait_output control "result l"
send_command control floor agent 1 11
send_command control order m agent 9 unload two
wait_output control "result m"
peer_output control
echo "-- orders that the engine ran"
cat engine.record

echo "-- an engine that checks fencing numbers"
stop engine KILL
rm engine.record
start_agent_engine --checks-fencing
wait_agent_accepts
send_command control order n agent 12 load four
wait_output control "result n"
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$(port 5)/v1/orders" -d '{"kind":"load","argument":"old","fence":12}'
cat engine.record
