# Guards against malformed or unauthorized requests that run, or that disturb
# the entry: each gets a specific 4xx status and does not reach an endpoint.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_minimal_cluster

# print_result: prints the status, error code and outcome of the last answer.
print_result() { head -n 1 reply; jq -r '.error | "\(.code) \(.outcome)"' body 2>/dev/null || echo "no JSON"; }
# check_request NAME ARGS...: prints NAME as a section line, sends a request
# with the arguments of entry_request and prints its result.
check_request() { echo "-- $1"; shift; entry_request "$@" >reply; print_result; }
# send_raw TEXT: sends bytes and prints the first line received.
send_raw() { printf "$1" | timeout 5 curl -s --max-time 5 telnet://127.0.0.1:"$(port 0)" | head -n 1 | tr -d '\r'; }

CHAT=/v1/chat/completions
KEY=nobody check_request "unknown account" GET /orders/1
check_request "unknown route" GET /nowhere
check_request "wrong method" PATCH /orders/1
check_request "broken JSON" POST $CHAT -d '{"model":'
check_request "no messages" POST $CHAT -d '{"model":"draft-large"}'
check_request "unknown model" POST $CHAT -d '{"model":"other","messages":[]}'
check_request "tier out of range" GET /orders/1 -H 'X-Laurellift-Tier: 9'
KEY=milk-key check_request "tier above the account's" GET /orders/1 -H 'X-Laurellift-Tier: 0'
check_request "deadline is not a number" GET /orders/1 -H 'X-Laurellift-Deadline-Ms: soon'
check_request "request id with an invalid character" GET /orders/1 -H 'X-Request-Id: a b'
check_request "no idempotency key" POST /orders -d 'x'
check_request "idempotency key too long" POST /orders -H "Idempotency-Key: $(printf 'k%.0s' $(seq 300))" -d 'x'
echo "-- body too large"
head -c 5000000 /dev/zero | curl -s -o body -w '%{http_code}\n' -X POST -H 'Authorization: Bearer sahil-key' \
    -H 'Expect:' --data-binary @- "http://127.0.0.1:$(port 0)$CHAT"
echo "-- headers too large"
curl -s -o body -w '%{http_code}\n' -H "X-Long: $(printf 'x%.0s' $(seq 100000))" "http://127.0.0.1:$(port 0)/orders/1"
echo "-- not HTTP"
send_raw 'hello there\r\n\r\n'
echo "-- the caller disconnects during its request"
exec 7<>"/dev/tcp/127.0.0.1/$(port 0)"
printf 'POST /orders HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf' >&7
exec 7>&-
echo "-- two pipelined requests"
exec 8<>"/dev/tcp/127.0.0.1/$(port 0)"
HEAD='Host: entry\r\nAuthorization: Bearer sahil-key\r\n'
printf "GET /orders/5 HTTP/1.1\r\n$HEAD\r\nGET /orders/6 HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n" >&8
timeout 10 cat <&8 | grep -aoE '^HTTP/1.1 [0-9]+|"number":[0-9]+'
exec 8>&-
echo "-- request id is returned"
curl -s -o body -D headers -H 'X-Request-Id: order-17' -H 'Authorization: Bearer sahil-key' "http://127.0.0.1:$(port 0)/orders/7"
grep -i x-request-id headers | tr -d '\r'
echo "-- refused requests by reason"
curl -s "http://127.0.0.1:$(port 0)/metrics" | grep -E '^laurellift_entry_(refused|requests)_total' | sort
echo "-- requests that ran"
cat service.record
[ -e engine.record ] && cat engine.record || echo "no draft ran"
