# Guards against the loss of acknowledged configurations when control hosts
# lose their disk, are replaced at another address, or are all killed at once.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
# joined N VOTERS: true when control host N is a voter in a membership of
# VOTERS.
joined() {
    [ "$(curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -r '.fleet.replica |
        "\(.votes) \([.members[] | select(.learner | not)] | length)"')" = "true $2" ]
}

echo "-- a control host loses its disk, rejoins and votes"
stop control1 KILL
rm -rf control1.data
start_control_host 1 '{"bootstrap": false}'
wait_until joined 1 3
read_configuration 1 | cmp - first.conf && echo same

echo "-- a control host is replaced by one at a new address"
print_configuration 5 >second.conf
wait_until replace_accepted 2 second.conf
stop control3 KILL
start_control_host 5 '{"bootstrap": false, "zone": "west-3"}'
wait_until joined 5 3
read_configuration 5 | cmp - second.conf && echo same

echo "-- all control hosts are killed at once"
stop control1 KILL
stop control2 KILL
stop control5 KILL
start_control_host 1 '{"bootstrap": false}'
start_control_host 2 '{"bootstrap": false}'
start_control_host 5 '{"bootstrap": false, "zone": "west-3"}'
reads_second() { read_configuration 5 | cmp -s - second.conf; }
wait_until reads_second && echo same
print_configuration 8 >third.conf
wait_until replace_accepted 5 third.conf && echo accepted

echo "-- a new gateway finds a leader that is not among its seed nodes"
leads() { curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -e '.fleet.replica.leads' >/dev/null; }
someone_leads() { leads 1 || leads 2 || leads 5; }
other_leads() { leads 2 || leads 5; }
wait_until someone_leads
# Host 1 becomes the only seed node below, so another host must be the leader.
if leads 1; then
    stop control1
    start_control_host 1 '{"bootstrap": false}'
fi
wait_until other_leads
wait_until joined 1 3
stop gateway1
SEED_NODES='["127.0.0.1:'$API_PORT'"]'
start_gateway 1
wait_until gateway_ready 1 && echo ready
