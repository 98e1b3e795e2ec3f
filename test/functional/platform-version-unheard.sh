# Guards against streams that are joined from two versions because the only version
# that a gateway has heard of is taken for that of an engine which has started again
# without having announced its version.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=12
SOLE_S=61
start_platform
start_gateway 2
start_versioned() {
    local n=$1 software=$2
    shift 2
    start_server "engine-$n" "127.0.0.$n" engines --software "$software" --events $EVENTS --gap-ms 80 "$@"
}
for i in 31 32; do
    start_engine_keeper $i
    start_versioned $i v1
done
for n in 1 2; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done
sleep $SOLE_S
stop engine-31 KILL
start_versioned 31 v2 --silent-ms 60000
answers() { curl -fs "http://127.0.0.31:$SERVER_PORT/api/report"; }
wait_until answers
sleep 0.5

# begin TAG: begins a stream at the engine that has not announced itself, at gateway 1,
# and breaks it off after three events.
begin() {
    local try
    for try in $(seq 40); do
        tag=$1-$try
        BREAK_OFF=9 take_stream "$tag" 3 1 1
        [ "$(tail -n 1 "$tag.events" | cut -d' ' -f3)" != v2 ] || return 0
    done
    echo "no stream of v2 began"
}
# take_up N [CURL_OPTIONS...]: takes the stream up at gateway N and prints whether it
# is joined.
take_up() {
    local n=$1
    shift
    gateway_request "$n" POST /stream/x "$tag-again-$RANDOM" --max-time 6 -d x -H 'Model: m' \
        -H 'Token-Usage: 10,20' -H 'Last-Event-Id: 3' "$@" >again.body
    grep -q '^data: .* v1$' again.body && echo "joined" || echo "not joined"
}
echo "-- taken up at the gateway that began it"
begin own
take_up 1 -H "Resumes: $tag-1"
echo "-- taken up at another one"
begin other
take_up 2 -H "Resumes: $tag-1"
echo "-- taken up without a name"
begin unnamed
take_up 1
echo "-- the engine ends within the answer"
for i in $(seq 12); do
    gateway_request 1 POST /stream/x "within-$i" -N --max-time 6 -d x -H 'Model: m' -H 'Token-Usage: 10,20' >"within-$i.body" &
    calls+=($!)
done
sleep 0.5
stop engine-31 KILL
wait "${calls[@]}"
began=$(grep -l '^data: .* v2$' within-*.body | wc -l)
[ "$began" -gt 0 ] && echo "begun at v2" || echo "none began at v2"
echo "$(grep -l '^data: .* v2$' within-*.body | xargs grep -l '^data: .* v1$' | wc -l) joined"
