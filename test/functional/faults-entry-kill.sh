# An entry is killed under load and started again: no filing runs twice, no
# answer is cut short unseen, and what was told not_run did not run.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
load_cluster 6 &
LOAD=$!
sleep 1.5
stop entry-0 KILL
sleep 1
daemon entry-0
wait $LOAD
check_cluster
