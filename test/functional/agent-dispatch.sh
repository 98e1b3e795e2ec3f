# Checks the agent's replies to dispatches. The entry needs to distinguish
# requests that were refused and did not run from those that ran, were
# cancelled or failed: a wrong reply makes a request run twice or get lost.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent
start_agent_engine --token-ms 20
start_fake_entry
wait_agent_accepts

echo "-- dispatch without a grant: always refused"
send_command entry dispatch 1 5000 1
wait_output entry "refuse 1"
send_command entry dispatch 1 5000 1
wait_until eval '[ $(grep -c "^refuse 1" entry.out) = 2 ]'

echo "-- a repeated dispatch of a request that ran is never refused"
request_grant entry 2
send_command entry dispatch 2 5000 1
send_command entry dispatch 2 5000 1
wait_output entry "end 2"
send_command entry dispatch 2 5000 1
send_command entry want 2 0 5000
wait_output entry "refuse 2"

echo "-- a want and a dispatch of a running request are ignored"
request_grant entry 8
send_command entry dispatch 8 5000 0 /v1/chat/completions '{"max_tokens":31}'
wait_until agent_value_is .running 1
send_command entry want 8 0 5000
send_command entry dispatch 8 5000 0 /v1/chat/completions '{"max_tokens":31}'
wait_output entry "end 8"

echo "-- a path that is not valid in a request line"
request_grant entry 3
send_command entry dispatch 3 5000 1 path
wait_output entry "refuse 3"

echo "-- the deadline passes while the request runs"
request_grant entry 4
send_command entry dispatch 4 300 1 /v1/chat/completions '{"max_tokens":500}'
wait_output entry "end 4"

echo "-- cancelled by the entry"
request_grant entry 5
send_command entry dispatch 5 9000 0 /v1/chat/completions '{"max_tokens":501,"stream":true}'
wait_output entry "piece 5"
send_command entry cancel 5
wait_output entry "end 5"

echo "-- an HTTP error of the endpoint is passed on as the answer"
request_grant entry 6
send_command entry dispatch 6 5000 1 /nothing/here
wait_output entry "end 6"

echo "-- the announced endpoint is not running"
stop engine KILL
announce_engine
request_grant entry 7
send_command entry dispatch 7 5000 0
wait_output entry "end 7"

peer_output entry
echo "-- requests that ran"
wait_until grep -q 'cancelled.*' engine.record
wait_agent_idle
sed 's/cancelled after.*/cancelled/' engine.record
