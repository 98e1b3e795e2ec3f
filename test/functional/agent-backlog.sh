# Guards against unbounded memory in the agent when an entry does not
# acknowledge an answer: the agent stores about 4 MiB of one answer at most,
# and the request waits. After acknowledgements the whole answer arrives.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent
start_agent_engine --token-ms 0 --prefill-ms 0
start_fake_entry entry --quiet
wait_agent_accepts
request_grant entry 1 60000
send_command entry dispatch 1 60000 1 /v1/chat/completions '{"max_tokens":60000,"stream":true}'
unacknowledged_bytes() { state_value "$AGENT_HTTP_PORT" '.["agent:agent"].unacknowledged_bytes'; }
wait_until eval '[ "$(unacknowledged_bytes)" -ge 4194304 ]'
sleep 0.5
[ "$(unacknowledged_bytes)" -lt 4500000 ] && echo "bounded"
agent_value_is .running 1 && echo "waits"
for _ in $(seq 200); do
    send_command entry ack 1
    grep -q '^end 1' entry.out && break
    sleep 0.05
done
peer_output entry
