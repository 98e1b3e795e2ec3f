# Guards against repeated filings, truncated answers and wrong outcomes when an
# entry is killed under load and restarted.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 6 &
LOAD_PID=$!
sleep 1.5
stop entry-0 KILL
sleep 1
start_daemon entry-0
wait $LOAD_PID
check_load_records
