# Guards against wrong admission at a full entry: the concurrency limit of an
# account holds, lower tiers are shed first, and a planned stop refuses new
# requests while the running one ends.
export ENGINE_OPTIONS="--slots 1 --token-ms 40"
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
# Redefines two helpers of lib.sh: the rules get an account with one concurrent
# request, and the entry accepts two requests.
eval "base_$(declare -f default_rules)"
eval "base_$(declare -f entry_settings)"
default_rules() {
    base_default_rules
    echo "account small key=$("$LL_BUILD/src/cli/laurellift" hash-key small-key) tier=1 concurrent=1  # asked by both offices"
}
entry_settings() { base_entry_settings "$@" | sed 's/entry: {/& max_requests: 2,/'; }
start_minimal_cluster

# start_draft NAME KEY TOKENS: starts a draft and writes its status to
# NAME.status.
start_draft() {
    curl -s -D "$1.headers" -o "$1.out" -w '%{http_code}\n' -H "Authorization: Bearer $2" \
        -d "{\"model\":\"draft-large\",\"stream\":true,\"max_tokens\":$3,\"messages\":[]}" \
        "http://127.0.0.1:$(port 0)/v1/chat/completions" >"$1.status" &
    DRAFT_PID=$!
}
request_count_is() { [ "$(state_value "$(port 0)" .entry.requests)" = "$1" ]; }
print_result() { cat "$1.status"; jq -r '.error | "\(.code) \(.outcome)"' "$1.out"; grep -ci '^retry-after' "$1.headers"; }

echo "-- an account with one concurrent request"
start_draft first small-key 60; first=$DRAFT_PID
wait_until grep -q word1 first.out
start_draft second small-key 1; wait $DRAFT_PID
print_result second
echo "-- the state dump names what a request waits for"
start_draft low milk-key 1; low=$DRAFT_PID
wait_until request_count_is 2
state_value "$(port 0)" '.entry.request_list[] | select(.state == "wanting") | "tier \(.tier) waits for \(.waits_for): \(.agents | join(" "))"'
echo "-- the entry is full: the lower tier is shed, the higher one waits"
start_draft high sahil-key 1; high=$DRAFT_PID
wait $low; print_result low
wait $first; cat first.status; grep -c word first.out
wait $high; cat high.status

echo "-- planned stop"
start_draft last sahil-key 60; last=$DRAFT_PID
wait_until grep -q word1 last.out
kill -TERM "$(cat entry.pid)"
entry_not_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(port 0)/readyz")" = 503 ]; }
wait_until entry_not_ready && echo "not ready"
entry_request GET /orders/1 | sed 's/"message": "[^"]*", //'
wait $last; cat last.status; grep -c word last.out
wait "$(cat entry.pid)"; echo "exit $?"
