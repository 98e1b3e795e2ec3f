# The agent names the blocks of a prompt to the engine, learns which blocks
# the engine holds from answers and cache events, and forgets them at a gap.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ENGINE_OPTIONS="--cache-blocks 6 --cache-ms 50 --cache-gap 4 --boot one" start_path
AGENT=$(port 4)

# ask TEXT: a draft whose prompt repeats TEXT over four blocks.
ask() {
    local prompt
    prompt=$(printf "$1%.0s" $(seq 512))
    call POST /v1/chat/completions -o reply -d "{\"model\":\"draft-large\",\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}" >/dev/null
    jq -c .usage body 2>/dev/null | head -n 1
}
blocks() { state "$AGENT" '.["agent:agent-engine"].endpoint.cached_blocks'; }
count() { curl -s "http://127.0.0.1:$AGENT/metrics" | awk -v name="laurellift_$1" '$1 == name { print $2 }'; }
blocks_are() { [ "$(blocks)" = "$1" ]; }

echo "-- learned from a run, then found in the cache"
ask road
until_true blocks_are 4
ask road
count agent_cached_tokens_total

echo "-- the engine's limit shows in its events"
ask port
until_true blocks_are 6

echo "-- a lost event: all that was known is forgotten, then learned again"
lose_one() { ask souq; ask quay; [ "$(count agent_cache_gaps_total)" -ge 1 ]; }
until_true lose_one
echo "known again: $([ "$(blocks)" -ge 1 ] && echo yes)"
echo "-- what the engine saw"
grep ^blocks engine.record | head -n 3
