# Guards against an acknowledged departure of a server (deregistered, or draining) of
# which a gateway hears nothing that starts after the control host which acknowledged
# it was killed, lost its disk or stays away, or after all hosts were killed.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
REQUESTS=20
start_platform
start_server staying 127.0.0.31 app
wait_until gateway_serves 1

# announce ID N IP ACTION STATE: announces a server at control host N; prints the
# status.
declare -A SEQUENCE=()
announce() {
    SEQUENCE[$1]=$((${SEQUENCE[$1]:-0} + 1))
    jq -cn --arg a "127.0.0.$3:$SERVER_PORT" --arg state "$5" --argjson born "$BORN" \
        --argjson sequence "${SEQUENCE[$1]}" '{service: "app", address: $a, zone: "west-1",
            version: "v1", slots: 4, state: $state, coldRemainingMs: 0, sequence: $sequence, born: $born}' |
        curl -s -o announced.out -w '%{http_code}\n' --max-time 1 -X POST --data-binary @- \
            "http://127.0.0.$2:$API_PORT/api/instances/$1/$4"
}
# leads N, votes N: true when control host N leads, or is a voter.
leads() { curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -e '.fleet.replica.leads' >/dev/null; }
votes() { curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -e '.fleet.replica.votes' >/dev/null; }
all_vote() { votes 1 && votes 2 && votes 3 && { leads 1 || leads 2 || leads 3; }; }
# pick_host ROLE: sets HOST to a control host that leads, or to one that does not.
pick_host() {
    wait_until all_vote
    for HOST in 1 2 3; do
        case $1 in
        leader) leads $HOST && return ;;
        *) leads $HOST || return ;;
        esac
    done
}
# send_requests NAME: sends REQUESTS requests at the same time.
send_requests() {
    local i sent=()
    for ((i = 0; i < REQUESTS; i++)); do
        gateway_status 1 GET /look/x "$1-$i-$RANDOM" >>served &
        sent+=($!)
    done
    wait "${sent[@]}"
}
# reaches ID: true when the server has got a request.
reaches() {
    send_requests "before-$1"
    [ -s "$1.record" ]
}
# count_requests ID: prints how many of REQUESTS requests reach the server.
count_requests() {
    local before
    before=$(wc -l <"$1.record")
    send_requests "after-$1"
    sleep 0.1
    echo "requests to the server that left: $(($(wc -l <"$1.record") - before))"
}
# kill_all NAME...: kills processes at the same moment.
kill_all() {
    local name
    for name in "$@"; do
        kill -KILL "$(pid "$name")"
    done
    for name in "$@"; do
        wait "$(pid "$name")" 2>/dev/null
    done
}
# trouble KIND: brings it about at control host HOST, and starts gateway 1 again.
trouble() {
    local n
    case $1 in
    lost-disk)
        kill_all "control$HOST" gateway1
        rm -rf "control$HOST.data"
        start_control_host "$HOST" '{"bootstrap": false}'
        ;;
    away)
        kill_all "control$HOST" gateway1
        ;;
    all-killed)
        kill_all control1 control2 control3 gateway1
        for n in 1 2 3; do
            start_control_host $n '{"bootstrap": false}'
        done
        ;;
    esac
    start_gateway 1
}
# play ACTION STATE ROLE KIND: a server leaves, and then the trouble comes.
case_number=0
play() {
    case_number=$((case_number + 1))
    local id=leaving-$case_number ip=$((40 + case_number)) n
    echo "-- $1 $2 at a $3, then $4"
    BORN=$(date +%s%3N)
    touch "$id.record"
    start_server "$id" "127.0.0.$ip" app --silent-ms 600000
    pick_host "$3"
    for n in 1 2 3; do
        announce "$id" $n $ip heartbeat ready >/dev/null
    done
    wait_until reaches "$id"
    # The state files of all hosts name the server as ready.
    sleep 0.4
    announce "$id" $HOST $ip "$1" "$2"
    trouble "$4"
    wait_until gateway_serves 1
    count_requests "$id"
    stop "$id" KILL
    [ "$4" != away ] || start_control_host "$HOST" '{"bootstrap": false}'
}

for kind in lost-disk away all-killed; do
    for role in leader follower; do
        play deregister gone $role $kind
        play heartbeat draining $role $kind
    done
done
echo "-- without a majority nothing is acknowledged"
BORN=$(date +%s%3N)
pick_host follower
for n in 1 2 3; do
    announce alone $n 60 heartbeat ready
done
for n in 1 2 3; do
    [ $n = "$HOST" ] || kill_all control$n
done
announce alone "$HOST" 60 deregister gone
jq -r .error.outcome announced.out
for n in 1 2 3; do
    [ $n = "$HOST" ] || start_control_host $n '{"bootstrap": false}'
done
wait_until all_vote
announce alone "$HOST" 60 deregister gone

echo "-- a configuration that a leader cannot commit may still come into force"
pick_host leader
print_configuration 5 >second.conf
for n in 1 2 3; do
    [ $n = "$HOST" ] || kill -STOP "$(pid control$n)"
done
replace_configuration "$HOST" <second.conf
jq -r .error.outcome replace.out
for n in 1 2 3; do
    [ $n = "$HOST" ] || kill -CONT "$(pid control$n)"
done
