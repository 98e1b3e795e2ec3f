# The control hosts are killed under load one after the other, each started
# again before the next: claims outlive them.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_cluster
load_cluster 10 &
LOAD=$!
for i in 1 2 3; do
    sleep 1
    stop "control-$i" KILL
    sleep 1
    daemon "control-$i"
done
wait $LOAD
check_cluster
