# Answers that are cut, do not state their end, or fall silent are never
# called complete, and their slots are freed.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent 'idle_ms: 400'
own_entry
id=0

# one WHAT ENGINE_OPTIONS...: two answers, streamed and not.
one() {
    echo "-- $1" >>entry.out
    shift
    own_engine --token-ms 5 "$@"
    works
    for body in '{"max_tokens":20,"stream":true}' '{"max_tokens":20}'; do
        id=$((id + 1))
        granted entry $id
        tell entry dispatch $id 20000 1 /v1/chat/completions "$body"
        sees entry "end $id "
    done
    idle
    stop engine KILL
}

one whole
one cut --cut-after 150
one "no stated end" --unframed
one silent --silent-after 3
lines entry
echo "-- counters"
for outcome in complete broken cut silent; do
    echo "$outcome $(counter "agent_runs_total{outcome=\"$outcome\"}")"
done
