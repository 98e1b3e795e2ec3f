# An agent that has forgotten whether a request ran says so; it does not call
# it refused.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent 'keep_ms: 50'
own_engine
own_entry
works
granted entry 1
tell entry dispatch 1 5000 0
sees entry "end 1"
until_true agent_value .answers 0
for id in $(seq 1001 9300); do
    echo "dispatch $id 5000 0"
done >&"$FD_entry"
until_true grep -qE '^(refuse|unknown) 9300' entry.out
echo "refused while nothing is forgotten: $(grep -c '^refuse 1[0-9][0-9][0-9] ' entry.out)"
tell entry dispatch 1 5000 0
until_true grep -qE '^(refuse|unknown) 1( |$)' entry.out
grep -E '^(grant|refuse|unknown|end) 1( |$)' entry.out
echo "-- what ran"
cat engine.record
