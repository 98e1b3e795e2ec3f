# Guards against lost or duplicated pieces when the link between entry and
# agent is replaced during an answer or after its end. Another incarnation of
# the entry must not receive the answer.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'resume_ms: 1500, keep_ms: 20000'
start_agent_engine --token-ms 10
start_fake_entry
wait_agent_accepts

echo "-- reconnect during the answer"
request_grant entry 1
send_command entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":60,"stream":true}'
wait_output entry "piece 1"
send_command entry leave
sleep 0.2
send_command entry join
wait_until eval '[ $(grep -c "^up" entry.out) = 2 ]'
send_command entry resume 1 1
wait_output entry "end 1"

echo "-- reconnect after the end of the answer, then acknowledge it"
request_grant entry 2
send_command entry dispatch 2 20000 1 /v1/chat/completions '{"max_tokens":40}'
wait_until agent_value_is '.running' 1
send_command entry leave
wait_until agent_value_is '.running' 0
send_command entry join
wait_until eval '[ $(grep -c "^up" entry.out) = 3 ]'
send_command entry resume 2 0
wait_output entry "end 2"
send_command entry ack 1
send_command entry ack 2
wait_until agent_value_is '.unacknowledged_bytes' 0

echo "-- another incarnation of the entry; an unknown request"
start_fake_entry other --incarnation 2
send_command other resume 2 0
wait_output other "unknown 2"
send_command entry resume 9 0
wait_output entry "unknown 9"

echo "-- the entry does not reconnect in time: only the idempotent request is cancelled"
request_grant entry 3
send_command entry dispatch 3 20000 1 /v1/chat/completions '{"max_tokens":3000}'
request_grant entry 4
send_command entry dispatch 4 20000 0 /v1/chat/completions '{"max_tokens":200}'
wait_until agent_value_is '.running' 2
send_command entry leave
wait_until agent_value_is '.running' 0
send_command entry join
wait_until eval '[ $(grep -c "^up" entry.out) = 4 ]'
send_command entry resume 3 0
send_command entry resume 4 0
wait_output entry "end 4"
peer_output entry
peer_output other
sed 's/cancelled after.*/cancelled/' engine.record
