# Guards against an entry that applies old rules after its lease has ended: an
# accepted change is applied by every connected entry, and one that is cut off
# from control refuses requests until it has renewed its lease.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
KEY=milk-key

# Entry 1 connects to control through relays at ports 32-34, which
# accept commands at ports 35-37.
stop entry-1
for n in 0 1 2; do
    spawn "relay-$n" "$LL_BUILD/test/fakes/relay" --listen "127.0.0.1:$(port $((32 + n)))" \
        --to "127.0.0.1:$(port $((10 + n)))" --control "127.0.0.1:$(port $((35 + n)))"
    sed -i "s/127.0.0.1:$(port $((10 + n)))/127.0.0.1:$(port $((32 + n)))/" entry-1.yaml
done
start_daemon entry-1
wait_cluster_ready

# lookup ENTRY: sends a lookup of the account milk; prints its status and error
# code.
lookup() {
    curl -s -o "body-$1" -w '%{http_code} ' -H "Authorization: Bearer $KEY" \
        "http://127.0.0.1:$(port "$1")/orders/1"
    jq -r '.error.code // "served"' "body-$1"
}
lookup_result_is() { [ "$(lookup "$1")" = "$2" ]; }

echo "-- before: both entries serve the account"
lookup 0
lookup 1

echo "-- entry 1 is cut off from control; the account is removed"
for n in 0 1 2; do curl -s "http://127.0.0.1:$(port $((35 + n)))/cut?way=both" >/dev/null; done
grep -v "^account milk" rules >changed.rules
operator rules apply changed.rules --base "$(operator rules show --json | jq .version)" >/dev/null && echo accepted
wait_until lookup_result_is 0 "401 bad_key" && lookup 0

echo "-- entry 1 refuses requests after the end of its lease"
wait_until lookup_result_is 1 "503 no_rule_lease" && lookup 1
jq -r .error.outcome body-1

echo "-- entry 1 is connected again and applies the change"
for n in 0 1 2; do curl -s "http://127.0.0.1:$(port $((35 + n)))/heal" >/dev/null; done
wait_until lookup_result_is 1 "401 bad_key" && lookup 1

echo "-- both entries received the first rules as a whole and the change as a delta"
for n in 0 1; do curl -s "http://127.0.0.1:$(port $n)/metrics" | grep '^laurellift_entry_rules_taken'; done
