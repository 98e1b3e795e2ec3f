# Guards against request smuggling: bytes with ambiguous or malformed framing
# get a 400 and a closed connection, and nothing that follows them runs.
# Unusual but valid forms work.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_server app-a 127.0.0.2 app
wait_until gateway_serves 1
# Removes the requests of gateway_serves, so that only requests of the cases
# below are recorded.
: >app-a.record

# send_raw TEXT: sends bytes; prints the statuses, outcomes and request ids
# received until the gateway closes the connection.
send_raw() {
    exec 3<>"/dev/tcp/127.0.0.1/$FRONTEND_PORT"
    printf "$1" >&3
    timeout 3 cat <&3 | tr -d '\r' |
        grep -aoE '^HTTP/1.1 [0-9]+|"outcome":"[a-z_]+"|"request":"[^"]*"'
    exec 3>&-
}
H='Host: h.example\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 2000\r\n'
# Follows each refused request. It would run if the gateway misjudged the end of
# the refused one and parsed the rest as a new request.
NEXT="GET /look/x HTTP/1.1\r\n${H}Attempt-Id: smuggled\r\nConnection: close\r\n\r\n"

echo "-- refused"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: a1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd$NEXT"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: a2\r\nContent-Length: +4\r\n\r\nabcd$NEXT"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: a3\r\nContent-Length : 4\r\n\r\nabcd$NEXT"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: a4\r\nTransfer-Encoding: gzip\r\n\r\n$NEXT"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: a5\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n$NEXT"
send_raw "POST /once/a HTTP/1.1\r\n${H}Host: h.example\r\nAttempt-Id: a6\r\n\r\n$NEXT"
send_raw "GET /look/a HTTP/1.1\nHost: h.example\nAttempt-Id: a7\n\n$NEXT"
send_raw "GET /look/a HTTP/1.1\r\nAttempt-Id: a8\r\n\r\n$NEXT"
send_raw "GET /look/a HTTP/1.1\r\n${H}X: a\\000b\r\nAttempt-Id: a9\r\n\r\n$NEXT"
send_raw "CONNECT /once/a HTTP/1.1\r\n${H}Attempt-Id: a10\r\nContent-Length: 4\r\n\r\nabcd$NEXT"
echo "-- none of them ran"
cat app-a.record

echo "-- too large"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: b1\r\nContent-Length: 99999\r\n\r\n"
send_raw "GET /look/a HTTP/1.1\r\n${H}X: $(printf '%%09000d' 1)\r\n\r\n"

echo "-- valid: chunk extensions and trailers, two pipelined requests"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n0\r\nT: u\r\n\r\nGET /look/x HTTP/1.1\r\n${H}Attempt-Id: c2\r\nConnection: close\r\n\r\n"
cut -d" " -f1-3,8 app-a.record

# An offer to upgrade the protocol does not change where the body ends.
: >app-a.record
OFFER='Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAA\r\n'
LENGTH=$(printf "$NEXT" | wc -c)
echo "-- valid: a request with a body that offers an upgrade"
send_raw "POST /once/a HTTP/1.1\r\n${H}Attempt-Id: d1\r\n${OFFER}Content-Length: $LENGTH\r\n\r\n${NEXT}GET /look/x HTTP/1.1\r\n${H}Attempt-Id: d2\r\nConnection: close\r\n\r\n"
[ "$(cut -d" " -f1-3,8 app-a.record)" = "ran d1 POST body=$LENGTH
ran d2 GET body=0" ] && echo "ran with its whole body" || cat app-a.record
