# Guards against a bad version that is completed, gets more than its share, or gets
# requests long after its faults: one that fails at once, one that is slow, and one
# that begins to fail later.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 41 42; do start_version app-$i 127.0.0.$i app v1 --delay-ms 15; done
wait_until gateway_ready 2
for n in 1 2; do wait_until gateway_serves $n; done

# play TAG VERSION OPTIONS...: rolls out a bad version under load.
play() {
    local tag=$1 version=$2 loads=() n
    shift 2
    echo "-- $tag"
    : >load.status
    for n in 1 2; do
        look_load $n 13 80 &
        loads+=($!)
    done
    sleep 0.5
    place_order 1 app "$version" 10
    start_version "$tag-51" 127.0.0.51 app "$version" "$@"
    wait_until rollout_is 2 app reverted
    echo "reverted $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
    wait "${loads[@]}"
    read_rollout 3 app
    print_exposure "app-41 app-42" "$tag-51"
    stop "$tag-51" KILL
    echo "answers: $(sort load.status | uniq -c | tr '\n' ' ')" >&2
}
play failing v2 --delay-ms 15 --error-every 4
play slow v3 --delay-ms 60
play later v4 --delay-ms 15 --error-every 3 --error-after-ms 3000
