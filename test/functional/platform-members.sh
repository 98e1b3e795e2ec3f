# Guards against the loss of acknowledged configurations when control hosts
# lose their disk, are replaced at another address, or are all killed at once.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
# joined_as_voter N VOTERS: true when control host N is a voter in a membership
# of VOTERS.
joined_as_voter() {
    [ "$(curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -r '.fleet.replica |
        "\(.votes) \([.members[] | select(.learner | not)] | length)"')" = "true $2" ]
}

echo "-- a control host loses its disk, rejoins and votes"
stop control1 KILL
rm -rf control1.data
start_control_host 1 '{"bootstrap": false}'
wait_until joined_as_voter 1 3
read_configuration 1 | cmp - first.conf && echo same

echo "-- a control host is replaced by one at a new address"
print_configuration 5 >second.conf
wait_until replace_accepted 2 second.conf
stop control3 KILL
start_control_host 5 '{"bootstrap": false, "zone": "west-3"}'
wait_until joined_as_voter 5 3
read_configuration 5 | cmp - second.conf && echo same

echo "-- all control hosts are killed at once"
stop control1 KILL
stop control2 KILL
stop control5 KILL
start_control_host 1 '{"bootstrap": false}'
start_control_host 2 '{"bootstrap": false}'
start_control_host 5 '{"bootstrap": false, "zone": "west-3"}'
second_configuration_read() { read_configuration 5 | cmp -s - second.conf; }
wait_until second_configuration_read && echo same
print_configuration 8 >third.conf
wait_until replace_accepted 5 third.conf && echo accepted

echo "-- a new gateway finds a leader that is not among its seed nodes"
is_leader() { curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -e '.fleet.replica.leads' >/dev/null; }
has_any_leader() { is_leader 1 || is_leader 2 || is_leader 5; }
has_other_leader() { is_leader 2 || is_leader 5; }
wait_until has_any_leader
# Host 1 becomes the only seed node below, so another host must be the leader.
if is_leader 1; then
    stop control1
    start_control_host 1 '{"bootstrap": false}'
fi
wait_until has_other_leader
wait_until joined_as_voter 1 3
stop gateway1
SEED_NODES='["127.0.0.1:'$API_PORT'"]'
start_gateway 1
wait_until gateway_ready 1 && echo ready
