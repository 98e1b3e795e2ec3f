# Guards against lost claims, and so repeated filings, when the control hosts
# are killed under load, one after the other, each restarted before the next
# kill.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
run_load 10 &
LOAD_PID=$!
for i in 1 2 3; do
    sleep 1
    stop "control-$i" KILL
    sleep 1
    start_daemon "control-$i"
done
wait $LOAD_PID
check_load_records
