# Guards against repeated filings, truncated answers and wrong outcomes when
# agents freeze under load for longer than their grants last, and resume.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 8 &
LOAD_PID=$!
sleep 1.5
kill -STOP "$(pid agent-2)" "$(pid agent-0)"
sleep 3
kill -CONT "$(pid agent-2)" "$(pid agent-0)"
wait $LOAD_PID
check_load_records
