# Guards against running a request after its grant has expired. The agent is
# frozen until the grant has expired (300 ms), while the dispatch waits in its
# socket; it must refuse the dispatch when it resumes.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'grant_ms: 300, announce_ms: 2900'
start_agent_engine
start_fake_entry
wait_agent_accepts
request_grant entry 1
kill -STOP "$(cat agent.pid)"
send_command entry dispatch 1 20000 0
sleep 0.5
kill -CONT "$(cat agent.pid)"
wait_output entry "refuse 1"
peer_output entry
echo "-- requests that ran"
cat engine.record 2>/dev/null
echo "-- the slot is free again"
wait_until grep -q '^up agent' entry.out
wait_agent_idle && echo free
