# Guards against a request that crashes one engine after another: it is
# quarantined after its second crash. A request that ran beside it at the first
# crash is a suspect too; it then runs alone and is cleared.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ENGINE_OPTIONS="--crash-on poison --token-ms 20 --boot one" start_minimal_cluster
AGENT_HTTP_PORT=$(port 4)

# send_draft TEXT TOKENS: sends a draft; prints the status and the error code.
send_draft() {
    curl -s -o "body.$1" -w '%{http_code} ' -X POST \
        -H 'Authorization: Bearer sahil-key' "http://127.0.0.1:$(port 0)/v1/chat/completions" \
        -d "{\"model\":\"draft-large\",\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"
    jq -r '.error.code // "answered"' "body.$1"
}
agent_value() { state_value "$AGENT_HTTP_PORT" ".[\"agent:agent-engine\"] | $1"; }
agent_value_is() { [ "$(agent_value "$1")" = "$2" ]; }
# restart_engine BOOT: starts the engine with a new boot id.
restart_engine() {
    start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$AGENT_HTTP_PORT" --record engine.record --crash-on poison --token-ms 20 --boot "$1"
    wait_until agent_value_is .endpoint.boot "$1"
    wait_until agent_value_is .leaving false
}
# suspect_count QUARANTINED: prints the number of suspect fingerprints (false)
# or of quarantined ones (true).
suspect_count() { agent_value "[.suspected[] | select(.quarantined == $1)] | length"; }
suspect_count_is() { [ "$(suspect_count "$1")" = "$2" ]; }

echo "-- the first crash, while an innocent request runs"
send_draft innocent 100 >innocent.out &
wait_until agent_value_is .running 1
send_draft poison 10
wait $!
cat innocent.out
wait_until suspect_count_is false 2
restart_engine two

echo "-- the innocent request is sent again"
send_draft innocent 100
wait_until suspect_count_is false 1

echo "-- the second crash"
send_draft poison 10
wait_until suspect_count_is true 1
restart_engine three

echo "-- the quarantined request and another one"
send_draft poison 10
send_draft other 3
echo "-- requests that ran"
sed 's/.*"content":"\([a-z]*\)".*/\1/' engine.record
