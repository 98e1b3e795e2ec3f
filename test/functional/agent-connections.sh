# Guards against an answer that an endpoint writes late on a kept connection, and
# that would be taken for the answer to the request which runs there: the agent
# sends each request over a connection of its own.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
eval "base_$(declare -f agent_settings)"
agent_settings() { base_agent_settings "$@" | sed "s|endpoint: \"127.0.0.1:$(port 8)\"|endpoint: \"127.0.0.1:$(port 31)\"|"; }
spawn relay "$LL_BUILD/test/fakes/relay" --listen "127.0.0.1:$(port 31)" --to "127.0.0.1:$(port 8)" \
    --control "127.0.0.1:$(port 32)"
wait_until http_ok "http://127.0.0.1:$(port 32)/state"
start_minimal_cluster
accepted() { curl -s "http://127.0.0.1:$(port 32)/state" | jq .accepted; }
lookup() { curl -s -o body -w '%{http_code}\n' -H 'Authorization: Bearer sahil-key' "http://127.0.0.1:$(port 0)/orders/$1"; }
serves() { [ "$(lookup 0)" = 200 ]; }
wait_until serves
before=$(accepted)
for i in 1 2 3 4 5; do lookup "$i"; done
echo "connections: $(($(accepted) - before))"
