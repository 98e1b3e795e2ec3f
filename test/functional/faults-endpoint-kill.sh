# Guards against repeated filings, truncated answers and wrong outcomes when a
# service and an engine are killed under load and restarted.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 6 &
LOAD_PID=$!
sleep 1.5
stop endpoint-2 KILL
stop endpoint-0 KILL
sleep 1
start_endpoint 2 service
start_endpoint 0 engine
wait $LOAD_PID
check_load_records
