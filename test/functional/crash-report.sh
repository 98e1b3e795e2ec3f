# Guards against lost crash reports: the agent resends the same command until
# control has recorded it. Quarantined requests are refused, others still run.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent
start_agent_engine --cut-after 50
start_fake_entry
start_fake_control
wait_output control "up agent"
wait_agent_accepts

echo "-- a cut answer is not a crash while the endpoint is running"
request_grant entry 4
send_command entry dispatch 4 20000 1
wait_output entry "end 4"
wait_until agent_value_is .suspects 1
wait_until agent_value_is .suspects 0
grep command control.out
stop engine KILL

echo "-- a crash"
start_agent_engine --crash-on poison --token-ms 20
wait_agent_accepts
request_grant entry 1
send_command entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":100}'
request_grant entry 2
send_command control answer -9
send_command entry dispatch 2 20000 1 /v1/chat/completions '{"prompt":"poison"}'
wait_output entry "end 1"
wait_output entry "end 2"
wait_output control "command 7"
wait_until eval '[ $(grep -c "^command 7" control.out) -ge 3 ]'
send_command control answer 0
wait_until agent_value_is .unrecorded_reports 0
sort -u control.out

echo "-- a quarantined request"
start_agent_engine --crash-on poison
wait_agent_accepts
send_command control quarantine 8 2 2 1
wait_until agent_value_is .quarantine_version 8
send_command entry want 2 0 5000
request_grant entry 3
send_command entry dispatch 3 5000 1
wait_output entry "end 3"
send_command entry want 2 0 5000
wait_output entry "refuse 2"
peer_output entry | sort
