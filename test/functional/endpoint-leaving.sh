# Guards against new requests at an endpoint that is draining or that no longer
# announces itself. Running requests still end.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'announce_ms: 1200'
start_agent_engine --token-ms 20 --boot first
start_fake_entry
wait_agent_accepts

echo "-- the endpoint announces that it is draining"
request_grant entry 1
send_command entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":40}'
wait_until agent_value_is .running 1
request_grant entry 2
kill -USR1 "$(cat engine.pid)"
wait_until agent_value_is .leaving true
send_command entry want 3 0 5000
wait_output entry "refuse 3"
send_command entry dispatch 2 5000 1
wait_output entry "refuse 2"
wait_output entry "end 1"

echo "-- later announcements of the same boot do not end the draining; a new boot does"
sleep 1
agent_value_is .leaving true && echo "still leaving"
stop engine KILL
start_agent_engine --boot second
wait_agent_accepts

echo "-- the endpoint stops announcing itself"
request_grant entry 4
kill -STOP "$(cat engine.pid)"
wait_until agent_value_is .leaving true
send_command entry want 5 0 5000
wait_output entry "refuse 5"
send_command entry dispatch 4 5000 1
wait_output entry "refuse 4"
kill -CONT "$(cat engine.pid)"
wait_agent_accepts
request_grant entry 6
peer_output entry
echo "-- requests that ran"
cat engine.record
