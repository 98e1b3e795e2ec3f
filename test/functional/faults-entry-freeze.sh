# Guards against repeated filings, truncated answers and wrong outcomes when an
# entry freezes under load for longer than its rule lease, and resumes.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 8 &
LOAD_PID=$!
sleep 1.5
kill -STOP "$(pid entry-1)"
sleep 4
kill -CONT "$(pid entry-1)"
wait $LOAD_PID
check_load_records
