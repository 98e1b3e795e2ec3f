# Guards against repeated filings, truncated answers and wrong outcomes when
# the agent of a service and the agent of an engine are killed under load and
# restarted.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 6 &
LOAD_PID=$!
sleep 1.5
stop agent-2 KILL
stop agent-0 KILL
sleep 1
start_daemon agent-2
start_daemon agent-0
wait $LOAD_PID
check_load_records
