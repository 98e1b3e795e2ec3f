# Guards against requests that share only a message of their prompt going on to
# crash an engine, and against refusals of those that share other messages.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ENGINE_OPTIONS="--crash-on poison --boot boot-0" start_minimal_cluster
AGENT_HTTP_PORT=$(port 4)
CRASHES=10
CRASHES_MAX=5
# Time in which the engine announces that it survived the sound requests.
SURVIVAL_S=0.8

# send_prompt ID MESSAGE...: sends a draft with these messages and one of its
# own; prints the error code, or "answered".
send_prompt() {
    local id=$1
    shift
    printf '%s\n' "$@" "prompt $id" | jq -Rn '{model: "draft-large", max_tokens: 3,
        messages: [inputs | {role: "user", content: .}]}' |
        curl -s -o "body.$id" -X POST -H 'Authorization: Bearer sahil-key' -d @- \
            "http://127.0.0.1:$(port 0)/v1/chat/completions"
    jq -r '.error.code // "answered"' "body.$id"
}
agent_value() { state_value "$AGENT_HTTP_PORT" ".[\"agent:agent-engine\"] | $1"; }
agent_value_is() { [ "$(agent_value "$1")" = "$2" ]; }
engine_gone() { ! kill -0 "$(pid engine)"; }

crashes=0
for ((i = 1; i <= CRASHES; i++)); do
    send_prompt "sound-$i" shared >>sound.out
    send_prompt "sound-$i-other" shared other >>sound.out
    sleep $SURVIVAL_S
    result=$(send_prompt "deadly-$i" shared poison other)
    [ "$result" != quarantined ] || break
    wait_until engine_gone
    crashes=$((crashes + 1))
    wait_until agent_value_is .unrecorded_reports 0
    start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$AGENT_HTTP_PORT" \
        --record engine.record --crash-on poison --boot "boot-$i"
    wait_until agent_value_is .endpoint.boot "boot-$i"
    wait_until agent_value_is .leaving false
done
echo "engine crashed $crashes times" >&2
[ "$crashes" -le $CRASHES_MAX ] && echo "crashes: bounded" || echo "crashes: too many"
echo "a new request with the message: $(send_prompt deadly-last poison)"
echo "with the other messages: $(send_prompt sound-last shared other)"
echo "sound requests: $(sort sound.out | uniq -c | sed 's/^ *[0-9]* //')"
