#!/usr/bin/env bash
# Measures how many server-sent events of one word each an entry and an agent
# forward per second of processor time.
# Usage: measure-streams.sh BUILD [TOKEN_MS]
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
token_ms=${2:-1}
readonly STREAMS=60 TOKENS=3000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

ticks() { awk '{print $14 + $15}' "/proc/$(pid "$1")/stat"; }

(
    export LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=${LL_MEASURE_PORTS:-29000}
    . test/functional/lib.sh
    ENGINE_OPTIONS="--slots $STREAMS --token-ms $token_ms" start_minimal_cluster
    sleep 1
    entry=$(ticks entry)
    agent=$(ticks agent-engine)
    started=$(date +%s%N)
    callers=()
    for i in $(seq $STREAMS); do
        curl -sN -o "stream-$i" -H "Authorization: Bearer sahil-key" \
            -d "{\"model\":\"draft-large\",\"stream\":true,\"max_tokens\":$TOKENS,\"messages\":[{\"role\":\"user\",\"content\":\"stream $i\"}]}" \
            "http://127.0.0.1:$(port 0)/v1/chat/completions" &
        callers+=($!)
    done
    wait "${callers[@]}"
    took_ms=$((($(date +%s%N) - started) / 1000000))
    entry=$(($(ticks entry) - entry))
    agent=$(($(ticks agent-engine) - agent))
    pieces=$(cat stream-* | grep -c '"delta"')
    echo "token_ms=$token_ms streams=$STREAMS pieces=$pieces took_ms=$took_ms pieces_s=$((pieces * 1000 / took_ms))"
    echo "pieces for a second of one core: entry $((pieces * 100 / (entry > 0 ? entry : 1))), agent $((pieces * 100 / (agent > 0 ? agent : 1)))"
)
