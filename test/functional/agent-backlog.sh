# An entry that acknowledges nothing holds at most 4 MiB of one answer in the
# agent; once it acknowledges, the whole answer comes.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent
own_engine --token-ms 0 --prefill-ms 0
own_entry entry --quiet
works
granted entry 1 60000
tell entry dispatch 1 60000 1 /v1/chat/completions '{"max_tokens":60000,"stream":true}'
held() { state "$AGENT_HTTP" '.["agent:agent"].unacknowledged_bytes'; }
until_true eval '[ "$(held)" -ge 4194304 ]'
sleep 0.5
[ "$(held)" -lt 4500000 ] && echo "bounded"
agent_value .running 1 && echo "waits"
for _ in $(seq 200); do
    tell entry ack 1
    grep -q '^end 1' entry.out && break
    sleep 0.05
done
lines entry
