# Guards against a server that sends without end, in any manner, to requests, load
# questions and probes, whose bytes take the memory of the machine that called it or
# keep other clients from their answers.
. "$(dirname "${BASH_SOURCE[0]}")/endless.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
CALLERS=5
OTHERS=50
# No process of this run may take more, should a bound fail.
ulimit -v 1500000
start_control_host 1
start_control_host 2
start_control_host 3
start_gateway 1
print_configuration 3 '.services[1].healthPath = "/healthz" |
    .routeTable[1].timeoutMs = 3000 | .routeTable[0].timeoutMs = 3000' >first.conf
wait_until replace_accepted 1 first.conf
wait_until gateway_ready 1

known() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }
# sent_without_end METHOD PATH [CURL_OPTIONS...]: sends CALLERS requests of each manner
# at once, and prints how many got a whole answer though they were to get none.
sent_without_end() {
    local method=$1 path=$2 manner i sent=()
    shift 2
    rm -f ./*.answer
    for manner in "${MANNERS[@]}"; do
        for ((i = 0; i < CALLERS; i++)); do
            gateway_request 1 "$method" "$path/endless-$manner" "$manner-$i-$RANDOM" --max-time 8 \
                -o /dev/null -w '%{http_code} %{exitcode}\n' -d "$manner-$i" "$@" >>"$manner.answer" &
            sent+=($!)
        done
    done
    wait "${sent[@]}"
    for manner in "${MANNERS[@]}"; do
        echo "$manner: $(sort "$manner.answer" | uniq -c | tr '\n' ' ')" >&2
    done
    rm after.answer
    echo "whole answers of endless ones: $(cat ./*.answer | grep -c '^200 0')"
    echo "without an answer: $(cat ./*.answer | grep -c '^000')"
}
other_look() { gateway_status 1 GET /look/x "$1" --max-time 1.5; }
other_stream() {
    gateway_request 1 POST /stream/x "$1" --max-time 1.5 -H 'Model: m' -d x -o /dev/null -w '%{http_code}\n'
}

echo "-- an engine sends without end, to requests and probes"
start_engine_keeper 48
start_server engine-endless 127.0.0.48 engines --fault endless-each --slots 200 --fault-count 0
start_server app-sound 127.0.0.49 app --slots 50
wait_until gateway_streams 1
stop engine-endless KILL
start_server engine-endless 127.0.0.48 engines --fault endless-each --slots 200
wait_until eval '[ $(grep -c "\"Endpoint changed.\".*engine-endless" gateway1.log) -ge 2 ]'
wait_until gateway_serves 1
watch_memory gateway1 keeper48
send_others $OTHERS other_look &
others=$!
sent_without_end POST /stream -H 'Model: m' -H 'Token-Usage: 10,20'
wait $others
report_others $OTHERS
stop_watching gateway1 keeper48
stop engine-endless KILL
stop app-sound KILL

echo "-- a server sends without end, to requests and load questions"
rm -f others.answers
start_server engine-sound 127.0.0.48 engines --slots 50
start_server app-endless 127.0.0.50 app --fault endless-each --slots 200 --health-path /healthz
wait_until known app-endless
wait_until gateway_streams 1
watch_memory gateway1 keeper48
send_others $OTHERS other_stream &
others=$!
sent_without_end POST /once
wait $others
report_others $OTHERS
stop_watching gateway1 keeper48

echo "-- clients that hardly read events without end"
stop engine-sound KILL
start_server engine-events 127.0.0.48 engines --slots 200 --events 100000000 --event-bytes 4000
start_server app-calm 127.0.0.49 app --slots 50
wait_until known engine-events
wait_until known app-calm
stop app-endless KILL
wait_until gateway_serves 1
begins() {
    [ "$(gateway_request 1 POST /stream/x "warm-$RANDOM" --max-time 0.5 -H 'Model: m' -d x \
        -o /dev/null -w '%{http_code}')" = 200 ]
}
wait_until begins
rm -f others.answers
watch_memory gateway1
send_others $OTHERS other_look &
others=$!
slow=()
for ((i = 0; i < 60; i++)); do
    gateway_request 1 POST /stream/x "slow-$i" --max-time 5 --limit-rate 1000 -H 'Model: m' \
        -H 'Token-Usage: 10,20' -o /dev/null -w '%{http_code}\n' -d "$i" >>slow.answers &
    slow+=($!)
done
wait "${slow[@]}"
echo "begun: $(grep -c '^200' slow.answers) of ${#slow[@]}"
wait $others
report_others $OTHERS
stop_watching gateway1
