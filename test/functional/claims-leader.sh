# Guards against lost or repeated filings when the leader of three control
# hosts is killed twice in a row. Idempotent requests, which need no claim,
# must be served all the time.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3
default_rules >rules
operator rules apply rules --base 0 >applied
agent_settings agent-service "$(port 6)" "$(port 7)" "$(port 8)" >agent-service.yaml
entry_settings entry "$(port 0)" >entry.yaml
start_service service --listen "127.0.0.1:$(port 8)" --agent "127.0.0.1:$(port 7)" --record service.record
start_daemon agent-service
start_daemon entry
wait_ready "$(port 0)"
wait_until agents_connected "$(port 0)" 1
wait_until agent_accepts_requests "$(port 7)"

# order_filed N: files order N; true when the answer is 200. file_orders FIRST
# LAST repeats each with the same key until then.
order_filed() { entry_request POST /orders -H "Idempotency-Key: order-$1" -d "order $1" >"answer-$1" && grep -q '^200' "answer-$1"; }
file_orders() {
    for i in $(seq "$1" "$2"); do
        wait_until order_filed "$i" || echo "order $i got no answer"
    done
}
# Looks up an order repeatedly until the file "enough" exists; writes each
# status to "lookups".
look_up_orders() {
    while [ ! -e enough ]; do
        curl -s -o /dev/null -w '%{http_code}\n' -H 'Authorization: Bearer sahil-key' \
            "http://127.0.0.1:$(port 0)/orders/1" >>lookups
        sleep 0.02
    done
}
look_up_orders &
lookup_pid=$!

file_orders 1 10
first=$(leader_id)
stop "control-$first" KILL
file_orders 11 20
wait_until has_leader
start_daemon "control-$first"
wait_until operator status
second=$(leader_id)
stop "control-$second" KILL
file_orders 21 30
touch enough
wait $lookup_pid

echo "-- every filing ran once"
grep -c '^ran /orders order' service.record
grep '^ran /orders order' service.record | sort | uniq -d
echo "-- a resend of an early filing gets its stored answer"
cp answer-3 first-answer
order_filed 3 && diff first-answer answer-3 && echo same
grep -c '^ran /orders order' service.record
echo "-- lookups by status"
sort lookups | uniq -c | sort -rn | awk '{print $2}'
