# An endpoint that leaves or falls silent gets no new work from that moment;
# what runs there ends.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent 'announce_ms: 1200'
own_engine --token-ms 20 --boot first
own_entry
works

echo "-- it says that it leaves"
granted entry 1
tell entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":40}'
until_true agent_value .running 1
granted entry 2
kill -USR1 "$(cat engine.pid)"
until_true agent_value .leaving true
tell entry want 3 0 5000
sees entry "refuse 3"
tell entry dispatch 2 5000 1
sees entry "refuse 2"
sees entry "end 1"

echo "-- its late announcements do not undo that; a new boot does"
sleep 1
agent_value .leaving true && echo "still leaving"
stop engine KILL
own_engine --boot second
works

echo "-- it falls silent"
granted entry 4
kill -STOP "$(cat engine.pid)"
until_true agent_value .leaving true
tell entry want 5 0 5000
sees entry "refuse 5"
tell entry dispatch 4 5000 1
sees entry "refuse 4"
kill -CONT "$(cat engine.pid)"
works
granted entry 6
lines entry
echo "-- what ran"
cat engine.record
