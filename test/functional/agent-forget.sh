# Guards against an agent that reports "refused" for a request whose ended id
# it no longer stores: the request may have run, so the reply must be
# "unknown". The agent stores 8192 ended ids, so 8300 further dispatches
# evict that of the request.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'keep_ms: 50'
start_agent_engine
start_fake_entry
wait_agent_accepts
request_grant entry 1
send_command entry dispatch 1 5000 0
wait_output entry "end 1"
wait_until agent_value_is .answers 0
for id in $(seq 1001 9300); do
    echo "dispatch $id 5000 0"
done >&"$FD_entry"
wait_until grep -qE '^(refuse|unknown) 9300' entry.out
echo "refused while the ended id is stored: $(grep -c '^refuse 1[0-9][0-9][0-9] ' entry.out)"
send_command entry dispatch 1 5000 0
wait_until grep -qE '^(refuse|unknown) 1( |$)' entry.out
grep -E '^(grant|refuse|unknown|end) 1( |$)' entry.out
echo "-- requests that ran"
cat engine.record
