# Guards against lost or repeated events of a stream when the connection
# between entry and agent stops forwarding in one or both directions, or is
# closed. New connections work at once, so the link must be replaced and the
# answer resumed.
export ENGINE_OPTIONS="--token-ms 25"
. "$(dirname "${BASH_SOURCE[0]}")/relay.inc"
start_relayed_cluster

TOKENS=120
# run_draft COMMAND: starts a draft and sends COMMAND to the relay once the
# answer has begun.
run_draft() {
    rm -f draft.out
    curl -sN -o draft.out -w '%{http_code} %{exitcode}\n' -H 'Authorization: Bearer sahil-key' \
        -d "{\"model\":\"draft-large\",\"stream\":true,\"max_tokens\":$TOKENS,\"messages\":[]}" \
        "http://127.0.0.1:$(port 0)/v1/chat/completions" >draft.status &
    local curl_pid=$!
    wait_until grep -q word3 draft.out
    agent_relay_command "$1"
    wait $curl_pid
    cat draft.status
    echo "words $(grep -o 'word[0-9]*' draft.out | sort -u | wc -l) of $TOKENS, lines $(grep -c word draft.out), done $(grep -c DONE draft.out)"
}
echo "-- stalled in both directions"; run_draft 'freeze?way=both'
echo "-- stalled from agent to entry"; run_draft 'freeze?way=down'
echo "-- stalled from entry to agent"; run_draft 'freeze?way=up'
echo "-- closed"; run_draft close
echo "-- requests that ran"
grep -c '^ran' engine.record
