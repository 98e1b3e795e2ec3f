# Guards against an engine that gets more requests than the rate limit that it
# names, or far fewer.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
LIMIT=2
SECONDS_PLAYED=10
ENGINE_OPTIONS="--rate-limit $LIMIT --token-ms 1" start_minimal_cluster

# send_prompt N: sends a draft that differs from all others.
send_prompt() {
    curl -s -o /dev/null -w '%{http_code}\n' -X POST -H 'Authorization: Bearer sahil-key' \
        -H 'X-Laurellift-Deadline-Ms: 3000' "http://127.0.0.1:$(port 0)/v1/chat/completions" \
        -d "{\"model\":\"draft-large\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"prompt $1\"}]}" >>answers
}
ran() { grep -c '"content":"prompt' engine.record; }

send_prompt first
before=$(ran)
loops=()
for ((i = 0; i < SECONDS_PLAYED * 10; i++)); do
    send_prompt $i &
    loops+=($!)
    sleep 0.1
done
wait "${loops[@]}"
after=$(ran)
echo "ran $((after - before)) in $SECONDS_PLAYED s; answers: $(sort answers | uniq -c | tr '\n' ' ')" >&2
most=$((LIMIT * (SECONDS_PLAYED + 3) * 3 / 2 + 5))
[ $((after - before)) -le $most ] && echo "within the limit" || echo "over the limit"
[ $((after - before)) -ge $((LIMIT * SECONDS_PLAYED / 2)) ] && echo "used" || echo "idle"
echo "other answers than 200 and refusals: $(grep -vcE '^(200|429|503)' answers)"
