# Guards against roll-outs of engines with keepers that lose or join streams, and
# against a bad version of an engine that is not reverted. Streams are broken off
# and taken up again while the traffic moves.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=6
start_platform
start_gateway 2
for i in 31 32 33; do
    start_engine_keeper $i
    start_version engine-$i 127.0.0.$i engines v1 --events $EVENTS --gap-ms 15
done
for n in 1 2; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done

# play TAG VERSION STATE OPTIONS...: rolls a version out under load and waits for
# the state; takes streams up meanwhile.
play() {
    local tag=$1 version=$2 state=$3 loads=() n i
    shift 3
    echo "-- $tag"
    : >load.status
    for n in 1 2; do
        stream_load $n 12 36 12 &
        loads+=($!)
    done
    sleep 0.5
    place_order 1 engines "$version" 12
    for i in 61 62; do
        start_engine_keeper $i
        start_version "$tag-$i" 127.0.0.$i engines "$version" --events $EVENTS --gap-ms 15 "$@"
    done
    for i in $(seq 40); do
        BREAK_OFF=6 PAUSE_S=0.3 take_stream "$tag-s-$i" $EVENTS 6 "1 2" &
        sleep 0.2
        [ "$i" -lt 40 ] || wait
    done &
    loads+=($!)
    wait_until rollout_is 2 engines "$state"
    echo "$state $(($(date +%s%3N) - ORDERED_AT_MS)) ms after the order" >&2
    [ "$(date +%s%3N)" -le $DEADLINE_AT_MS ] && echo "in time" || echo "late"
    wait "${loads[@]}"
    read_rollout 3 engines
    count_streams "$tag-s-" $EVENTS
    echo "streams joined: $mixed, whole: $([ $whole -ge $((all * 9 / 10)) ] && echo yes || echo "$whole of $all")"
    echo "answers: $(sort load.status | uniq -c | tr '\n' ' ')" >&2
}
play failing v2 reverted --error-every 3
print_exposure "engine-31 engine-32 engine-33" "failing-61 failing-62"
for i in 61 62; do
    stop failing-$i KILL
    stop keeper$i KILL
done
play good v3 completed
echo "failed requests: $(grep -vc '^200$' load.status)"
