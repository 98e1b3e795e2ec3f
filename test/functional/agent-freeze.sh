# An agent that was frozen past the life of a grant refuses the dispatch that
# waited for it, and the request does not run.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent 'grant_ms: 300, announce_ms: 2900'
own_engine
own_entry
works
granted entry 1
kill -STOP "$(cat agent.pid)"
tell entry dispatch 1 20000 0
sleep 0.5
kill -CONT "$(cat agent.pid)"
sees entry "refuse 1"
lines entry
echo "-- what ran"
cat engine.record 2>/dev/null
echo "-- the slot is free again"
until_true grep -q '^up agent' entry.out
idle && echo free
