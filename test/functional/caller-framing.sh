# Guards against requests inside the bytes of another request at the entry:
# where the framing of a request is ambiguous, or the HTTP library would not
# read its body, the caller gets a 400 and a closed connection, and nothing that
# follows runs. Unusual but valid forms work.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_minimal_cluster

# send_raw TEXT: sends bytes; prints the statuses and outcomes received until
# the entry closes the connection.
send_raw() {
    exec 3<>"/dev/tcp/127.0.0.1/$(port 0)"
    # In a process of its own, which ends if the entry closes early.
    (printf "$1" >&3) 2>/dev/null
    timeout 2 cat <&3 | tr -d '\r' |
        grep -aoE '^HTTP/1.1 [0-9]+|"outcome": "[a-z_]+"|"number":[0-9]+'
    exec 3>&-
}
# check NAME TEXT
check() { echo "-- $1"; send_raw "$2"; }
H='Host: entry\r\nAuthorization: Bearer sahil-key\r\n'
# Follows each refused request. It would run if the entry misjudged the end of
# the refused one and parsed the rest as a new request.
NEXT="POST /orders HTTP/1.1\r\n${H}Idempotency-Key: smuggled\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
LENGTH=$(printf "$NEXT" | wc -c)
LAST="GET /orders/9 HTTP/1.1\r\n${H}Connection: close\r\n\r\n"

check "two lengths" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: a1\r\nContent-Length: 1\r\nContent-Length: $LENGTH\r\n\r\na$NEXT"
check "length with a sign" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: a2\r\nContent-Length: +1\r\n\r\na$NEXT"
check "space before the colon" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: a3\r\nContent-Length : $LENGTH\r\n\r\n$NEXT"
check "unknown encoding" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: a4\r\nTransfer-Encoding: gzip, chunked\r\n\r\n$NEXT"
check "length and encoding" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: a5\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n1\r\na\r\n0\r\n\r\n$NEXT"
check "CONNECT" "CONNECT /orders HTTP/1.1\r\n${H}Content-Length: $LENGTH\r\n\r\n$NEXT"
check "no host" "GET /orders/1 HTTP/1.1\r\nAuthorization: Bearer sahil-key\r\n\r\n$NEXT"
echo "-- none of them ran"
cat service.record 2>/dev/null

check "valid: chunks" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: b1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n$LAST"
check "valid: a body that offers an upgrade" "POST /orders HTTP/1.1\r\n${H}Idempotency-Key: b2\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: $LENGTH\r\n\r\n$NEXT$LAST"
check "valid: a body of a GET" "GET /orders/1 HTTP/1.1\r\n${H}Content-Length: $LENGTH\r\n\r\n$NEXT$LAST"
check "valid: a chunked body of a GET" "GET /orders/2 HTTP/1.1\r\n${H}Transfer-Encoding: chunked\r\n\r\n$(printf %x "$LENGTH")\r\n$NEXT\r\n0\r\n\r\n$LAST"
check "valid: a body of a health check" "GET /healthz HTTP/1.1\r\n${H}Content-Length: $LENGTH\r\n\r\n$NEXT$LAST"
check "valid: a length of zero" "GET /orders/3 HTTP/1.1\r\n${H}Content-Length: 0\r\n\r\n$LAST"
echo "-- each ran with its whole body"
tr -d '\r' <service.record | sed -E 's/^(Host: entry|Authorization: Bearer sahil-key)$//' | tr -s '\n'
