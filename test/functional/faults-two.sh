# Guards against repeated filings, truncated answers and wrong outcomes when
# faults overlap: a control host is killed while an entry is frozen, and an
# agent is killed and restarted soon after.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 9 &
LOAD_PID=$!
sleep 1.5
kill -STOP "$(pid entry-1)"
stop control-1 KILL
sleep 1
stop agent-2 KILL
start_daemon agent-2
sleep 2
kill -CONT "$(pid entry-1)"
start_daemon control-1
wait $LOAD_PID
check_load_records
