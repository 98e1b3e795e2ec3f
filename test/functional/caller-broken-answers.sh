# Guards against answers that look whole to callers of an entry though the endpoint
# stopped within the head, or before the end, and against a stream that goes on at
# another endpoint, or with the text of an error.
SERVICE_OPTIONS='--raw-answer answer'
ENGINE_OPTIONS='--cut-after 400'
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
: >answer
start_minimal_cluster
wait_service() { wait_until agent_accepts_requests "$(port 7)"; }
number=0

# send_one CASE: sends a request that runs once and an idempotent one, and prints
# what their callers got.
send_one() {
    local result
    number=$((number + 1))
    for kind in once look; do
        wait_service
        if [ $kind = once ]; then
            set -- "$1" -H "Idempotency-Key: $1-$number" -d "$1" "http://127.0.0.1:$(port 0)/orders"
        else
            set -- "$1" "http://127.0.0.1:$(port 0)/orders/$1"
        fi
        curl -s -o body -w '%{http_code}' --max-time 12 -H 'Authorization: Bearer sahil-key' "${@:2}" >status
        result=$?
        echo "$1 $kind: $(cat status) curl $result $(grep -oE '"outcome": *"[a-z_]+"' body 2>/dev/null)"
        rm -f body
    done
}
SERVED='HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
printf 'HTTP/1.1 20' >answer
send_one status-line
printf 'HTTP/1.1 200 OK\r\n' >answer
send_one after-status-line
printf "${SERVED}Content-Le" >answer
send_one name
printf "${SERVED}Content-Length: 4\r\n" >answer
send_one fields
printf "${SERVED}Content-Length: 4\r\n\r" >answer
send_one last-byte
printf "${SERVED}Content-Length: 8\r\n\r\noops" >answer
send_one body
printf "${SERVED}Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n" >answer
send_one chunks
printf "${SERVED}\r\n" >answer
send_one no-length
echo "-- a stream that breaks off is not continued"
wait_until agent_accepts_requests "$(port 4)"
curl -s -N -o body --max-time 8 -H 'Authorization: Bearer sahil-key' -d '{"model":"draft-large","max_tokens":40,"stream":true,"messages":[]}' \
    "http://127.0.0.1:$(port 0)/v1/chat/completions"
echo "curl $? $(grep -c DONE body)"
echo "-- each request ran once"
sort service.record engine.record | grep '^ran' | uniq -c | sed 's/^ *//'
