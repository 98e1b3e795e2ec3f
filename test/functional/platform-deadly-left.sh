# Guards against a request that goes on to end servers after whole answers, where
# each server is deregistered by its successor.
. "$(dirname "${BASH_SOURCE[0]}")/deadly.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_deadly_platform --new-id --leaves
for target in /once/deadly-end-reset /look/deadly-end-close; do
    repeat_deadly $target 10 0.4 &
    wait $!
    print_deadly_result $target
done
