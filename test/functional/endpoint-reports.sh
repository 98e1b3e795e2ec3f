# Guards against malformed, late, repeated or missing reports of an endpoint:
# they are refused or ignored and leave the agent's state valid.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'announce_ms: 2900'
# The agent takes work only once it knows that the endpoint is not withdrawn.
start_fake_control
wait_output control "up agent"
send_command control floor agent 1 0
wait_until agent_value_is .fence_known true

# send_report PATH BODY: sends a report; prints the status and the error
# message.
send_report() {
    curl -s -o reply -w '%{http_code} ' "http://127.0.0.1:$AGENT_HTTP_PORT/v1/$1" -d "$2"
    jq -r '.error.message // "ok"' reply 2>/dev/null || echo
}
cached_blocks() { state_value "$AGENT_HTTP_PORT" '.["agent:agent"].endpoint.cached_blocks'; }

echo "-- announcements"
send_report announce 'not json'
send_report announce '[]'
send_report announce '{"kind":"engine"}'
send_report announce '{"kind":"toaster","slots":1}'
send_report announce '{"kind":"engine","slots":-1}'
send_report announce '{"kind":"engine","slots":1e30}'
send_report announce '{"kind":"engine","slots":"4"}'
send_report announce '{"kind":"engine","slots":4,"models":[7]}'
send_report announce '{"kind":"engine","slots":4,"leaving":"no"}'
send_report announce '{"kind":"service","slots":4}'
head -c 200000 /dev/zero | tr '\0' '[' >nested
send_report announce @nested
send_report announce '{"kind":"engine","slots":1e400}'
send_report announce '{"kind":"engine","slots":123456789012345678901234567890}'
send_report announce "{\"kind\":\"service\",\"slots\":4,\"service\":\"$(printf 'x%.0s' $(seq 5000))\"}"
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$AGENT_HTTP_PORT/v1/announce"
agent_value_is .leaving true && echo "takes no work"
send_report announce '{"kind":"engine","slots":4,"models":["draft-large"],"boot":"a","extra":{}}'
agent_value_is .leaving false && echo "takes work"

echo "-- load"
send_report load '{"sequence":2,"running":1,"queued":0,"kv_free":0.5}'
send_report load '{"sequence":2,"running":1,"queued":0}'
send_report load '{"sequence":1,"running":1,"queued":0}'
send_report load '{"sequence":3,"running":-1,"queued":0}'
send_report load '{"sequence":3,"running":1,"queued":1e400}'
send_report load '{"sequence":3,"running":1,"queued":0,"kv_free":NaN}'
send_report load '{"sequence":3,"running":1,"queued":0,"kv_free":7}'
for sequence in 4 5 6 7 8 9; do
    send_report load "{\"sequence\":$sequence,\"running\":0,\"queued\":1000000}" >/dev/null
done
echo "slots at least half: $(state_value "$AGENT_HTTP_PORT" '.["agent:agent"].slots')"

echo "-- cache"
send_report cache '{"sequence":1,"stored":["0000000000000001","ff"]}'
send_report cache '{"sequence":1,"stored":["3"]}'
send_report cache '{"sequence":2,"stored":["xyz"]}'
send_report cache '{"sequence":2,"stored":[12]}'
send_report cache '{"sequence":2,"stored":{"a":"b"}}'
jq -nc '{sequence:2, stored:[range(20000)|tostring]}' >many
send_report cache @many
jq -nc '{sequence:2, stored:[range(1000000)|tostring]}' >million
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$AGENT_HTTP_PORT/v1/cache" -d @million
echo "blocks $(cached_blocks)"
send_report cache '{"sequence":2,"stored":["2"],"evicted":["ff"]}'
echo "blocks $(cached_blocks)"
send_report cache '{"sequence":9,"stored":["5"]}'
echo "blocks after a gap $(cached_blocks)"
send_report announce '{"kind":"engine","slots":4,"models":["draft-large"],"boot":"b"}'
echo "blocks after a restart $(cached_blocks)"
