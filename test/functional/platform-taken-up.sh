# Guards against text of an error in the middle of a stream, and against streams
# that end as complete before their last event: a stream broke off, and the next
# server answers the request for the rest with anything but the rest.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
STREAMS=6
start_platform
for i in 31 32; do
    start_server engine-$i 127.0.0.$i engines --software v1 --events 6 --fault cut --raw-rest "$LL_WORK/rest"
done
listed() { grep -q "\"Endpoint changed.\".*\"id\":\"engine-$1\"" gateway1.log; }
for i in 31 32; do wait_until listed $i; done

# send_round CASE: sends streams that break off after three events, while the file
# `rest` holds the answer to requests for the rest, and counts what callers got.
send_round() {
    local i ids sent=()
    for i in $(seq $STREAMS); do
        (
            gateway_request 1 POST /stream/x "$1-$i-$RANDOM" -N -d x -H 'Model: m' --max-time 5 \
                -o "$1-$i.body" -w '%{http_code}' >"$1-$i.status"
            echo " $?" >>"$1-$i.status"
        ) &
        sent+=($!)
    done
    wait "${sent[@]}"
    for i in $(seq $STREAMS); do
        [ "$(cut -d' ' -f1 "$1-$i.status")" = 200 ] && [ -s "$1-$i.body" ] || continue
        begun=$((begun + 1))
        ids=$(grep '^id:' "$1-$i.body" | cut -d' ' -f2 | tr '\n' ' ')
        grep -qE 'oops|HTTP/' "$1-$i.body" && foreign=$((foreign + 1))
        case "$ids" in
        "1 2 3 " | "1 2 3 4 " | "1 2 3 4 5 6 ") ;;
        *) wrong=$((wrong + 1)) && echo "$1: $ids" >&2 ;;
        esac
        [ "$(cat "$1-$i.status")" != "200 0" ] || [ "$ids" = "1 2 3 4 5 6 " ] || short=$((short + 1))
        [ "$ids" != "1 2 3 4 5 6 " ] || whole=$((whole + 1))
    done
}

# send_streams CASE: sends rounds until some streams have begun; none does while
# both servers are out of use after their failures.
send_streams() {
    local begun=0 foreign=0 wrong=0 short=0 whole=0 round=0
    while [ $begun -eq 0 ] && [ $((round += 1)) -le 20 ]; do
        [ $round -eq 1 ] || sleep 0.5
        send_round "$1"
    done
    [ $begun -gt 0 ] || echo "$1: none begun"
    echo "$1: foreign text $foreign, wrong events $wrong, short but whole $short"
    [ $whole -eq 0 ] || echo "some went on to the end"
}

# rest STATUS FIELDS BODY: sets the answer to requests for the rest.
rest() { printf "HTTP/1.1 $1 Status\r\nAttempt-Id: {id}\r\n$2\r\n$3" >rest; }
SEAL='Server-Seal: s\r\n'
EVENTS='Content-Type: text/event-stream\r\n'
CHUNKED='Transfer-Encoding: chunked\r\n'

rest 500 'Content-Length: 4\r\n' oops
send_streams error
rest 404 'Content-Length: 4\r\n' oops
send_streams missing
rest 404 "${EVENTS}Content-Length: 18\r\n" 'id: 4\ndata: oops\n\n'
send_streams missing-events
rest 302 "${EVENTS}Content-Length: 18\r\nLocation: /oops\r\n" 'id: 4\ndata: oops\n\n'
send_streams moved-events
rest 204 "$SEAL$EVENTS" ''
send_streams no-content
rest 206 "$SEAL${EVENTS}Content-Length: 18\r\n" 'id: 4\ndata: oops\n\n'
send_streams partial
rest 200 "${SEAL}Content-Type: text/plain\r\nContent-Length: 4\r\n" oops
send_streams text
rest 200 "$SEAL${EVENTS}" ''
send_streams head-alone
rest 200 "$SEAL${EVENTS}Content-Length: 18\r\n" ''
send_streams short
rest 200 "$SEAL$EVENTS$CHUNKED" 'c\r\ndata: oops\n\n\r\n0\r\n\r\n'
send_streams no-id
rest 200 "$SEAL$EVENTS$CHUNKED" '10\r\nid: 6\ndata: e6\n\n\r\n0\r\n\r\n'
send_streams later-event
printf 'HTTP/1.1 103 Hints\r\nAttempt-Id: {id}\r\n\r\nHTTP/1.1 500 Status\r\nAttempt-Id: {id}\r\nContent-Length: 4\r\n\r\noops' >rest
send_streams interim
printf 'HTTP/1.1 200 Status\r\nAttempt-Id: x{id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 4\ndata: oops\n\n' >rest
send_streams of-another
printf 'HTTP/1.1 200 Status\r\nAttempt-Id: {id}\r\nServer-Se' >rest
send_streams half-a-head
printf 'oops' >rest
send_streams no-head
rm rest
start_server engine-33 127.0.0.33 engines --software v1 --events 6
wait_until listed 33
send_streams rest
