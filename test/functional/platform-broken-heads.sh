# Guards against answers that are framed as whole though the server stopped
# within the head, or before the body, and against a second run of a request that
# may run once only.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
listed() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }

# send_one KIND ID: sends a request and reports an answer that looks complete.
send_one() {
    local method=GET
    [ "$1" != once ] || method=POST
    gateway_request 1 $method "/$1/$2" "$2" -H 'Deadline-Ms: 700' --max-time 5 -o "$2.body" \
        -w '%{http_code}\n' >"$2.status"
    if grep -q '^2' "$2.status" || grep -q 'oops' "$2.body" 2>/dev/null; then
        echo "$2: $(cat "$2.status")" >>complete
    fi
    rm -f "$2.body" "$2.status"
}

# send_all CASE: sends requests of each kind until one of each has arrived at a
# server, and prints what callers got.
send_all() {
    local round=0 kind twice sent
    : >complete
    while [ $((round += 1)) -le 20 ]; do
        sent=()
        for kind in look once open; do
            send_one $kind "$1-$kind-$round" &
            sent+=($!)
        done
        wait "${sent[@]}"
        [ "$(grep -ohE "^ran $1-(look|once|open)" $SERVERS.record | sort -u | wc -l)" -lt 3 ] || break
    done
    cat complete >&2
    grep -qsE "^ran $1-once" $SERVERS.record || echo "$1: no request arrived"
    twice=$(grep -ohE "^ran $1-once-[0-9]+" $SERVERS.record | sort | uniq -d | wc -l)
    echo "$1: look complete $(wc -l <complete), ran twice $twice"
}

# start_servers NAME FIRST_HOST [OPTIONS...]: starts servers that answer with the
# file `answer`.
start_servers() {
    local i
    SERVERS="$1-?"
    for i in 1 2 3 4; do
        start_server "$1-$i" "127.0.0.$(($2 + i))" app --raw-answer "$LL_WORK/answer" "${@:3}"
    done
    for i in 1 2 3 4; do wait_until listed "$1-$i"; done
}

stop_servers() {
    for i in 1 2 3 4; do
        stop "$1-$i" KILL
        curl -s -X POST -d '{}' "http://127.0.0.1:$API_PORT/api/instances/$1-$i/deregister" >/dev/null
    done
}

START='HTTP/1.1 200 Status\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n'
# run_cases: sends requests for each kind of answer that stops.
run_cases() {
    printf 'HTTP/1.1 20' >answer
    send_all status-line
    printf 'HTTP/1.1 200 Status\r\n' >answer
    send_all after-status-line
    printf "${START}Content-Le" >answer
    send_all name
    printf "${START}Content-Length: 4" >answer
    send_all value
    printf "${START}Content-Length: 4\r\n" >answer
    send_all fields
    printf "${START}Content-Length: 4\r\n\r" >answer
    send_all last-byte
    printf "${START}Content-Length: 8\r\n\r\noops" >answer
    send_all body
    printf "${START}Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n" >answer
    send_all chunks
    printf "HTTP/1.1 100 Continue\r\n\r\n${START}Content-Length: 4" >answer
    send_all after-interim
}

echo "-- the server closes the connection"
start_servers closes 30
run_cases
stop_servers closes
echo "-- the server resets the connection"
start_servers resets 40 --raw-reset
run_cases
printf "${START}\r\noops" >answer
send_all no-length
stop_servers resets
echo "-- a head alone is the whole answer to HEAD, also after an interim one"
start_servers heads 50
printf "HTTP/1.1 103 Hints\r\nAttempt-Id: {id}\r\n\r\n${START}Content-Length: 4\r\n\r\n" >answer
curl -s -I -H 'Host: h.example' -H 'Attempt-Id: head-1' -H 'Deadline-Ms: 1500' \
    -H 'Authorization: Bearer key-1' -o /dev/null -w '%{http_code}\n' --max-time 3 "http://127.0.0.1:$FRONTEND_PORT/look/head"
