# Guards against a request that is taken for one that servers survive because a
# server that it ended closes its connections seconds later.
. "$(dirname "${BASH_SOURCE[0]}")/deadly.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
TARGET=/look/deadly-end-dark
start_deadly_platform --new-id
repeat_deadly $TARGET 16 0.4 &
wait $!
print_deadly_result $TARGET
echo "acquittals: $(grep -h '"Subject acquitted' gateway?.log | wc -l)"
