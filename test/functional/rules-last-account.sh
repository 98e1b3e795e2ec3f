# Guards against rules without any account that let requests through: each key
# is refused then.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
wait_cluster_ready

lookup() {
    curl -s -o body -w '%{http_code} ' "$@" "http://127.0.0.1:$(port 0)/orders/1"
    jq -r '.error.code // "served"' body
}
lookup_result_is() { [ "$(lookup -H 'Authorization: Bearer sahil-key')" = "$1" ]; }

echo "-- before"
lookup -H 'Authorization: Bearer sahil-key'
echo "-- all accounts are removed"
grep -v "^account" rules >changed.rules
operator rules apply changed.rules --base "$(operator rules show --json | jq .version)" >/dev/null && echo accepted
wait_until lookup_result_is "401 bad_key"
lookup -H 'Authorization: Bearer sahil-key'
lookup -H 'Authorization: Bearer other-key'
lookup
