# Guards against a wrong view of the engine's prefix cache: the agent sends the
# block ids of a prompt, learns the cached blocks from answers and cache
# events, and drops all of them when an event is missing.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ENGINE_OPTIONS="--cache-blocks 6 --cache-ms 50 --cache-gap 4 --boot one" start_minimal_cluster
AGENT_HTTP_PORT=$(port 4)

# send_prompt TEXT: sends a draft whose prompt repeats TEXT over four blocks.
send_prompt() {
    local prompt
    prompt=$(printf "$1%.0s" $(seq 512))
    entry_request POST /v1/chat/completions -o reply -d "{\"model\":\"draft-large\",\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}" >/dev/null
    jq -c .usage body 2>/dev/null | head -n 1
}
cached_blocks() { state_value "$AGENT_HTTP_PORT" '.["agent:agent-engine"].endpoint.cached_blocks'; }
agent_metric() { curl -s "http://127.0.0.1:$AGENT_HTTP_PORT/metrics" | awk -v name="laurellift_$1" '$1 == name { print $2 }'; }
cached_blocks_are() { [ "$(cached_blocks)" = "$1" ]; }

echo "-- cached blocks are learned from an answer and found again"
send_prompt road
wait_until cached_blocks_are 4
send_prompt road
agent_metric agent_cached_tokens_total

echo "-- evictions at the engine's limit are reported by its events"
send_prompt port
wait_until cached_blocks_are 6

echo "-- after a lost event all blocks are dropped and learned again"
gap_detected() { send_prompt souq; send_prompt quay; [ "$(agent_metric agent_cache_gaps_total)" -ge 1 ]; }
wait_until gap_detected
echo "learned again: $([ "$(cached_blocks)" -ge 1 ] && echo yes)"
echo "-- blocks that the engine received"
grep ^blocks engine.record | head -n 3
