# Guards against requests that a stopping gateway takes late in its grace and cuts
# without an answer: callers keep their connections and send until the process is
# gone, and requests last longer than any before.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
CALLERS=12
start_platform
print_configuration 4 '.routeTable |= map(if .name == "once" then .timeoutMs = 6000 else . end)' >longer.conf
wait_until replace_accepted 1 longer.conf
start_server app-fast 127.0.0.31 app --delay-ms 5
wait_until gateway_serves 1

# send_in_turn CALLER KIND COUNT: sends requests one after the other over one
# connection as long as the gateway keeps it; prints id, status and
# result (7: the connection was refused).
send_in_turn() {
    local i
    for i in $(seq "$3"); do
        [ "$i" = 1 ] || echo next
        printf 'url = "http://127.0.0.1:%s/once/%s"\nrequest = POST\ndata = x\nsilent\nmax-time = 8\n' "$FRONTEND_PORT" "$2-$1-$i"
        printf 'header = "Host: h.example"\nheader = "Authorization: Bearer key-1"\nheader = "Deadline-Ms: 6000"\n'
        printf 'header = "Attempt-Id: %s"\noutput = "/dev/null"\nwrite-out = "%s %%{http_code} %%{exitcode}\\n"\n' "$2-$1-$i" "$2-$1-$i"
    done >"$2-$1.requests"
    curl -K "$2-$1.requests" >"$2-$1.results"
}
# send_all KIND COUNT: lets all callers send COUNT requests each.
send_all() {
    local i sent=()
    for i in $(seq $CALLERS); do
        send_in_turn "$i" "$1" "$2" &
        sent+=($!)
    done
    wait "${sent[@]}"
}
# judge KIND: compares what callers got with what servers ran.
judge() {
    cat "$1"-*.results >results
    grep -ohE "^ran $1-[0-9]+-[0-9]+" app-fast.record app-slow.record | cut -d' ' -f2 | sort >ran
    awk 'NR == FNR { ran[$1]++; next }
        !($1 in ran) { refused += ($2 == 503); cut += ($2 == "000" && $3 != 7); next }
        { lost += ($2 == "000"); untrue += ($2 == 503); twice += (ran[$1] > 1); answered += ($2 == 200 || $2 == 502) }
        END { printf "lost %d, unanswered %d, refused though it ran %d, ran twice %d\n", lost, cut, untrue, twice
              printf "answered %d, refused %d\n", answered, refused > "/dev/stderr"
              print (answered > 0 ? "some were passed on and answered" : "none was passed on") }' ran results
}

send_all short 20
grep -hc ' 200' short-*.results | awk '{ n += $1 } END { print (n >= 200 ? "run times are measured" : "only " n) }'
start_server app-slow 127.0.0.32 app --delay-ms 1600
listed() { grep -q '"Endpoint changed.".*"id":"app-slow"' gateway1.log; }
wait_until listed
kill -USR1 "$(cat app-fast.pid)"
sleep 0.5

echo "-- requests that come late"
kill -TERM "$(cat gateway1.pid)"
sleep 2.3
send_all late 2
wait "$(cat gateway1.pid)"
echo "exit $?"
judge late

echo "-- connections that were open before, without measured run times"
start_gateway 1
wait_until gateway_ready 1
send_all kept 8 &
sender=$!
sleep 0.8
stop gateway1
wait $sender
judge kept
