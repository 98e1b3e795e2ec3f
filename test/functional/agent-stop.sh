# A planned stop: no new work, what runs ends and is acknowledged, the links
# say goodbye, and the process ends by itself.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent
own_engine --token-ms 20
own_entry
own_control
sees control "up agent"
works
granted entry 1
tell entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":150,"stream":true}'
sees entry "piece 1"
kill -TERM "$(cat agent.pid)"
until_true agent_value .leaving true
tell entry want 2 0 5000
sees entry "refuse 2"
sees entry "end 1"
tell entry ack 1
wait "$(cat agent.pid)"
echo "exit $?"
sees control goodbye
lines entry
lines control
