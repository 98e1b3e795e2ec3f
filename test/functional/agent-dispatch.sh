# What an agent says of a dispatch: refused, not run, cancelled, or unknown.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent
own_engine --token-ms 20
own_entry
works

echo "-- without a grant: refused each time"
tell entry dispatch 1 5000 1
sees entry "refuse 1"
tell entry dispatch 1 5000 1
until_true eval '[ $(grep -c "^refuse 1" entry.out) = 2 ]'

echo "-- a repeated dispatch of a request that ran is never refused"
granted entry 2
tell entry dispatch 2 5000 1
tell entry dispatch 2 5000 1
sees entry "end 2"
tell entry dispatch 2 5000 1
tell entry want 2 0 5000
sees entry "refuse 2"

echo "-- a want and a dispatch of a request that runs change nothing"
granted entry 8
tell entry dispatch 8 5000 0 /v1/chat/completions '{"max_tokens":31}'
until_true agent_value .running 1
tell entry want 8 0 5000
tell entry dispatch 8 5000 0 /v1/chat/completions '{"max_tokens":31}'
sees entry "end 8"

echo "-- a path that cannot stand in a request line"
granted entry 3
tell entry dispatch 3 5000 1 path
sees entry "refuse 3"

echo "-- deadline"
granted entry 4
tell entry dispatch 4 300 1 /v1/chat/completions '{"max_tokens":500}'
sees entry "end 4"

echo "-- cancelled by the entry"
granted entry 5
tell entry dispatch 5 9000 0 /v1/chat/completions '{"max_tokens":501,"stream":true}'
sees entry "piece 5"
tell entry cancel 5
sees entry "end 5"

echo "-- an error of the endpoint is an answer"
granted entry 6
tell entry dispatch 6 5000 1 /nothing/here
sees entry "end 6"

echo "-- no endpoint behind the announcement"
stop engine KILL
announce
granted entry 7
tell entry dispatch 7 5000 0
sees entry "end 7"

lines entry
echo "-- what ran"
until_true grep -q 'cancelled.*' engine.record
idle
sed 's/cancelled after.*/cancelled/' engine.record
