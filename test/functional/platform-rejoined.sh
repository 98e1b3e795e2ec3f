# Guards against streams that are lost, or joined from two versions of the software,
# when all gateways and control hosts are killed at once: three times, with a release
# in progress, versions that leave meanwhile, and callers that are back before the
# first lease and the first endpoint records; and once with the keepers.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=24
GAP_MS=100
STREAMS=${REJOINED_STREAMS:-40}
DEADLINE_MS=9000
# Time from the last start of a caller to the kill. Most streams are then half way,
# also on a busy machine, which takes longer to start the callers.
KILLED_AFTER_S=0.6

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# start_version ENGINE N SOFTWARE [OPTIONS...]: starts an engine at 127.0.0.N.
start_version() {
    local name=$1 n=$2 software=$3
    shift 3
    start_server "$name" "127.0.0.$n" engines --software "$software" --events $EVENTS --gap-ms $GAP_MS "$@"
    cp "$name.pid" "at-$n.pid"
}
# replace_engine ENGINE N SOFTWARE [OPTIONS...]: ends the engine at 127.0.0.N and
# starts another one there.
replace_engine() {
    stop "at-$2" KILL
    start_version "$@"
}

# call_stream TAG N: a caller that asks the gateways for a stream, gateway N first,
# and takes it up until it is whole or its deadline has passed. Writes the events to
# TAG.events, and to TAG.again the status and the number of new events of each
# attempt to take it up that reached a gateway.
call_stream() {
    local tag=$1 at=$2 last=0 first='' try=0 left id resume status new
    local deadline=$(($(now_ms) + DEADLINE_MS))
    : >"$tag.events"
    : >"$tag.again"
    while left=$((deadline - $(now_ms))) && [ $left -gt 200 ]; do
        try=$((try + 1))
        id=$tag-$try
        resume=()
        [ -z "$first" ] || resume=(-H "Last-Event-Id: $last" -H "Resumes: $first")
        curl -s -N -X POST -D "$id.head" -o "$id.body" --max-time "$((left / 1000)).$((left % 1000 / 100))" \
            -H 'Host: h.example' -H 'Authorization: Bearer key-1' -H "Attempt-Id: $id" -H "Deadline-Ms: $left" \
            -H 'Model: m' -H 'Token-Usage: 10,20' -d x "${resume[@]}" \
            "http://127.0.0.$(((at + try) % 2 + 1)):$FRONTEND_PORT/stream/x"
        status=$(head -n 1 "$id.head" 2>/dev/null | cut -d' ' -f2)
        if [ "$status" = 200 ]; then
            awk '$1 == "id:" { id = $2 } $1 == "data:" { data = $2 " " $3 }
                $0 == "" && data != "" { print id, data; data = "" }' "$id.body" >"$id.new"
            cat "$id.new" >>"$tag.events"
        else
            : >"$id.new"
        fi
        new=$(wc -l <"$id.new")
        [ -z "$first" ] || [ -z "$status" ] || echo "$status $new" >>"$tag.again"
        last=$(tail -n 1 "$tag.events" | cut -d' ' -f1)
        last=${last:-0}
        [ -n "$first" ] || [ "$last" = 0 ] || first=$id
        [ "$last" -lt $EVENTS ] || return 0
        sleep 0.1
    done
}

# play PREFIX: starts the callers of a round.
play() {
    local i
    players=()
    for i in $(seq "$STREAMS"); do
        call_stream "$1-$i" "$i" &
        players+=($!)
        sleep 0.02
    done
}

# kill_all: kills all gateways and control hosts at once.
kill_all() {
    local names=(gateway1 gateway2 control1 control2 control3) name
    for name in "${names[@]}"; do kill -KILL "$(pid "$name")"; done
    for name in "${names[@]}"; do wait "$(pid "$name")" 2>/dev/null; done
}

start_gateways() { start_gateway 1 && start_gateway 2; }
start_control_hosts_again() { for i in 1 2 3; do start_control_host $i; done; }

# count PREFIX GONE...: counts the streams of a round. The versions GONE have no
# engine after the kill, so that their streams cannot go on.
count() {
    local prefix=$1 file tag version all=0 begun=0 taken=0 could=0 on=0 whole=0 mixed=0 wrong=0 requests=0
    shift
    for file in "$prefix"-*.events; do
        tag=${file%.events}
        all=$((all + 1))
        [ -s "$file" ] || continue
        begun=$((begun + 1))
        [ "$(cut -d' ' -f3 "$file" | sort -u | wc -l)" = 1 ] || mixed=$((mixed + 1))
        cut -d' ' -f1 "$file" | cmp -s - <(seq "$(wc -l <"$file")") || wrong=$((wrong + 1))
        [ "$(wc -l <"$file")" != $EVENTS ] || whole=$((whole + 1))
        [ -s "$tag.again" ] || continue
        taken=$((taken + 1))
        requests=$((requests + $(wc -l <"$tag.again")))
        version=$(head -n 1 "$file" | cut -d' ' -f3)
        [[ " $* " != *" $version "* ]] || continue
        could=$((could + 1))
        ! grep -q '^200 [1-9]' "$tag.again" || on=$((on + 1))
    done
    echo "$prefix: $all streams, $begun begun, $whole whole, $taken taken up in $requests requests," \
        "$could of them could go on, $on went on, $mixed joined, $wrong out of order" >&2
    all_could=$((all_could + could)) all_on=$((all_on + on))
    all_joined=$((all_joined + mixed)) all_wrong=$((all_wrong + wrong))
}
all_could=0 all_on=0 all_joined=0 all_wrong=0

# finish PREFIX GONE...: waits for the callers of a round and counts its streams.
finish() {
    wait "${players[@]}"
    count "$@"
    for n in 1 2; do
        wait_until gateway_ready $n
        wait_until gateway_streams $n
    done
}

start_platform
start_gateway 2
for i in $(seq 31 42); do
    start_engine_keeper $i
    start_version engine-$i $i v$((i < 37 ? 1 : 2))
done
for n in 1 2; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done
engines_connected() { [ "$(grep -h 'Slot keeper connected' gateway$1.log | grep -o 'engine-[0-9]*' | sort -u | wc -l)" = 12 ]; }
wait_until engines_connected 1
wait_until engines_connected 2

# Two versions; the gateways are back before the control hosts, so that callers come
# before the first lease.
play first
sleep $KILLED_AFTER_S
kill_all
start_gateways
sleep 0.4
start_control_hosts_again
finish first

# A release is in progress, and the control hosts have lost their lists of endpoints,
# so that callers come before the first endpoint record, and while the gateways know a
# part of the fleet.
play second
for i in 31 32 33; do replace_engine "new-$i" $i v3; done
sleep $KILLED_AFTER_S
kill_all
rm -f control?.data/endpoints
start_control_hosts_again
start_gateways
finish second

# One version leaves during the kill. Some engines start again under their ids with
# another version, which they announce late, while the control hosts still list the
# version before it.
play third
sleep $KILLED_AFTER_S
kill_all
for i in 34 35; do replace_engine "new-$i" $i v4; done
for i in 36 37 38; do replace_engine "engine-$i" $i v4 --silent-ms 900; done
start_control_hosts_again
start_gateways
finish third v1

# The keepers end, too. Nobody knows how the streams began, which is why none is
# counted among those that could go on; none may be joined.
play fourth
sleep $KILLED_AFTER_S
kill_all
for i in $(seq 31 42); do kill -KILL "$(pid keeper$i)"; done
for i in $(seq 31 42); do wait "$(pid keeper$i)" 2>/dev/null; done
start_control_hosts_again
start_gateways
for i in $(seq 31 42); do start_engine_keeper $i; done
finish fourth v1 v2 v3 v4

echo "joined: $all_joined, out of order: $all_wrong"
[ $all_could -ge $((STREAMS * 2)) ] && echo "taken up" || echo "too few taken up: $all_could"
[ $((all_on * 10)) -ge $((all_could * 9)) ] && echo "go on" || echo "lost: $all_on of $all_could went on"
