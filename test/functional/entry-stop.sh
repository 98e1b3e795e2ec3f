# Guards against requests that a stopping entry cuts without an answer at the end
# of its time: one that waits is refused as not run, one that may have run gets an
# unknown outcome, and none runs twice.
SERVICE_OPTIONS='--delay-ms 9000 --slots 2'
ENGINE_OPTIONS='--token-ms 50'
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_minimal_cluster
KEY=sahil-key
# send NAME METHOD PATH [CURL_OPTIONS...]: sends a request in the background.
send() {
    local name=$1 method=$2 path=$3
    shift 3
    {
        curl -s -N -o "$name.body" -w '%{http_code}' -X "$method" -H "Authorization: Bearer $KEY" \
            -H 'X-Deadline-Ms: 30000' "$@" "http://127.0.0.1:$(port 0)$path"
        echo " curl $?"
    } >"$name.status" &
    SENT+=($!)
}
print_result() {
    echo "$1: $(cat "$1.status") $(grep -oE '"(code|outcome)": *"[a-z_]+"' "$1.body" | tr -d ' "' | tr '\n' ' ')"
}
SENT=()
send once POST /orders -H 'Idempotency-Key: k1' -d one
send look GET /orders/1
wait_until grep -q 'ran /orders/1' service.record
wait_until grep -q 'ran /orders one' service.record
send waits POST /orders -H 'Idempotency-Key: k2' -d two
send stream POST /v1/chat/completions -d '{"model":"draft-large","max_tokens":400,"stream":true,"messages":[]}'
wait_until grep -q word3 stream.body
kill -TERM "$(cat entry.pid)"
sleep 0.3
echo "-- a request that comes during the stop"
send late POST /orders -H 'Idempotency-Key: k3' -d three
wait "${SENT[@]}"
print_result late
echo "-- requests that the end of the stop met"
for name in once look waits stream; do print_result $name; done
grep -c 'DONE' stream.body
wait "$(cat entry.pid)"
echo "exit $?"
echo "-- what ran"
grep '^ran' service.record | sort
