# An agent beside a service and one beside an engine are killed under load
# and started again.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
load_cluster 6 &
LOAD=$!
sleep 1.5
stop agent-2 KILL
stop agent-0 KILL
sleep 1
daemon agent-2
daemon agent-0
wait $LOAD
check_cluster
