# Guards against requests lost in a planned stop of an agent: it refuses new
# requests, finishes the running one, waits for its acknowledgement, sends
# goodbye on its links and exits.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent
start_agent_engine --token-ms 20
start_fake_entry
start_fake_control
wait_output control "up agent"
wait_agent_accepts
request_grant entry 1
send_command entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":150,"stream":true}'
wait_output entry "piece 1"
kill -TERM "$(cat agent.pid)"
wait_until agent_value_is .leaving true
send_command entry want 2 0 5000
wait_output entry "refuse 2"
wait_output entry "end 1"
send_command entry ack 1
wait "$(cat agent.pid)"
echo "exit $?"
wait_output control goodbye
peer_output entry
peer_output control
