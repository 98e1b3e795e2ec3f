# Guards against requests that run under outdated rules. An entry without a
# valid rule lease, because it is cut off from control or was frozen, starts
# nothing and answers not_run. It serves again when the link to control works.
. "$(dirname "${BASH_SOURCE[0]}")/relay.inc"
start_relayed_cluster

no_lease() { [ "$(state_value "$(port 0)" .entry.lease)" = false ]; }
lookup() { entry_request GET /orders/1 -D headers | sed 's/"message": "[^"]*", //'; }

echo "-- with a lease"; lookup
for way in both up down; do
    echo "-- the link to control is cut, direction $way"
    control_relay_command "cut?way=$way"
    wait_until no_lease
    lookup
    grep -ci '^retry-after' headers
    curl -s -o /dev/null -w 'readyz %{http_code}\n' "http://127.0.0.1:$(port 0)/readyz"
    control_relay_command heal
    wait_ready "$(port 0)"
    lookup
done
echo "-- the connection to control stalls: it is replaced within the lease"
before=$(state_value "$(port 0)" .entry.lease_renewals)
control_relay_command 'freeze?way=both'
lease_renewed() { [ "$(state_value "$(port 0)" .entry.lease_renewals)" -gt $((before + 5)) ]; }
wait_until lease_renewed && lookup
echo "-- the entry is frozen past its lease and the deadline of a request"
kill -STOP "$(cat entry.pid)"
curl -s -m 20 -o body -w '%{http_code}\n' -H 'Authorization: Bearer sahil-key' -H 'X-Laurellift-Deadline-Ms: 1000' \
    "http://127.0.0.1:$(port 0)/orders/late" >late.status &
late=$!
sleep 4
kill -CONT "$(cat entry.pid)"
wait $late
cat late.status
jq -c .error.outcome body
grep -c late service.record || true
