# An answer goes on over a new link: in its middle, after its end, and with
# nothing lost or doubled. Another incarnation of the entry gets nothing.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent 'resume_ms: 1500, keep_ms: 20000'
own_engine --token-ms 10
own_entry
works

echo "-- in the middle"
granted entry 1
tell entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":60,"stream":true}'
sees entry "piece 1"
tell entry leave
sleep 0.2
tell entry join
until_true eval '[ $(grep -c "^up" entry.out) = 2 ]'
tell entry resume 1 1
sees entry "end 1"

echo "-- after the end, then acknowledged"
granted entry 2
tell entry dispatch 2 20000 1 /v1/chat/completions '{"max_tokens":40}'
until_true agent_value '.running' 1
tell entry leave
until_true agent_value '.running' 0
tell entry join
until_true eval '[ $(grep -c "^up" entry.out) = 3 ]'
tell entry resume 2 0
sees entry "end 2"
tell entry ack 1
tell entry ack 2
until_true agent_value '.unacknowledged_bytes' 0

echo "-- another incarnation, and a request that is not known"
own_entry other --incarnation 2
tell other resume 2 0
sees other "unknown 2"
tell entry resume 9 0
sees entry "unknown 9"

echo "-- the entry stays away: idempotent work ends, other work runs on"
granted entry 3
tell entry dispatch 3 20000 1 /v1/chat/completions '{"max_tokens":3000}'
granted entry 4
tell entry dispatch 4 20000 0 /v1/chat/completions '{"max_tokens":200}'
until_true agent_value '.running' 2
tell entry leave
until_true agent_value '.running' 0
tell entry join
until_true eval '[ $(grep -c "^up" entry.out) = 4 ]'
tell entry resume 3 0
tell entry resume 4 0
sees entry "end 4"
lines entry
lines other
sed 's/cancelled after.*/cancelled/' engine.record
