# Guards against an endpoint that sends without end, in any manner, to requests and
# orders, whose bytes take the memory of the agent's machine, or keep clients of other
# endpoints from their answers.
. "$(dirname "${BASH_SOURCE[0]}")/endless.inc"
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
CALLERS=5
OTHERS=50
ulimit -v 1500000
CONTROL_PORTS=("$(port 1)")
ADMIN_PORTS=("$(port 2)")
{
    default_rules
    echo 'route GET /faulty/* service=faulty idempotent=yes   # asked by both offices'
} >rules
{
    control_settings embedded 1
    agent_settings register "$(port 6)" "$(port 7)" "$(port 8)" | sed -n '/^agents:/,$p'
    agent_settings faulty "$(port 9)" "$(port 10)" "$(port 11)" | grep '^  - { name: faulty'
    entry_settings embedded "$(port 0)" | sed -n '/^entry:/p'
    echo "memory_mb: 110"
} >embedded.yaml
# order_agents NAME FIRST LAST: writes the settings of a process with an agent for the
# orders of each of these manners, since an order without an answer holds its agent.
order_agents() {
    local i
    common_settings "$1"
    echo "memory_mb: 110"
    echo "agents:"
    for ((i = $2; i <= $3; i++)); do
        agent_settings "orders-$i" "$(port 9)" "$(port 10)" "$(port 11)" |
            sed -n "/^  - { name: orders/{s/\\(listen\\|http\\): \"127.0.0.1/\\1: \"127.0.0.$((50 + i))/g;p}"
    done
}
order_agents agents1 0 9 >agents1.yaml
order_agents agents2 10 $((${#MANNERS[@]} - 1)) >agents2.yaml
start_service service --listen "127.0.0.1:$(port 8)" --agent "127.0.0.1:$(port 7)" --record service.record
spawn faulty "$LL_BUILD/test/fakes/fake_server" --listen "127.0.0.1:$(port 11)" \
    --control "127.0.0.1:$(port 12)" --service faulty --id faulty --fault endless-each \
    --silent-ms 600000 --record faulty.record
start_daemon embedded
start_daemon agents1
start_daemon agents2
announce() {
    curl -s -o /dev/null -X POST -d '{"kind":"service","service":"faulty","slots":200,"boot":"1"}' \
        "http://127.0.0.1:$(port 10)/v1/announce"
}
(while sleep 0.3; do announce; done) &
PIDS+=($!)
wait_ready "$(port 0)"
wait_until agents_connected "$(port 0)" 2
wait_until agent_accepts_requests "$(port 7)"
wait_until agent_accepts_requests "$(port 10)"

# ask METHOD PATH [CURL_OPTIONS...]: sends a request to the entry; prints status and
# curl's result.
ask() {
    local method=$1 path=$2
    shift 2
    curl -s -o /dev/null -w '%{http_code} %{exitcode}\n' -X "$method" -H 'Authorization: Bearer sahil-key' \
        "$@" "http://127.0.0.1:$(port 0)$path"
}
other() { ask GET "/orders/$1" --max-time 1.5; }

echo "-- requests"
watch_memory embedded
send_others $OTHERS other &
others=$!
sent=()
for manner in "${MANNERS[@]}"; do
    for ((i = 0; i < CALLERS; i++)); do
        ask GET "/faulty/endless-$manner" --max-time 8 -H 'X-Laurellift-Deadline-Ms: 3000' >>"$manner.answer" &
        sent+=($!)
    done
done
wait "${sent[@]}"
wait $others
for manner in "${MANNERS[@]}"; do
    echo "$manner: $(sort "$manner.answer" | uniq -c | tr '\n' ' ')" >&2
done
rm after.answer
echo "whole answers of endless ones: $(cat ./*.answer | grep -c '^200 0')"
echo "without an answer: $(cat ./*.answer | grep -c '^000')"
report_others $OTHERS
stop_watching embedded

echo "-- orders"
rm -f others.answers
agents_listed() { [ "$(operator endpoint list | grep -c 'orders-.*127')" = ${#MANNERS[@]} ]; }
wait_until agents_listed
watch_memory embedded agents1 agents2
send_others $OTHERS other &
others=$!
sent=()
for i in "${!MANNERS[@]}"; do
    operator endpoint order "orders-$i" load model --timeout 6 >"order-$i.out" 2>&1 &
    sent+=($!)
done
wait "${sent[@]}"
wait $others
cat order-*.out >orders.out
# Slow, interim and one-byte answers hold their agents for longer.
most_ended() { [ "$(cat agents?.log | grep -c 'Order ended')" -ge 16 ]; }
wait_until most_ended
echo "orders that ended: $(cat agents?.log | grep -c 'Order ended') of ${#MANNERS[@]}"
echo "orders with a whole answer: $(grep -c '^done' orders.out)"
sort orders.out | uniq -c >&2
report_others $OTHERS
stop_watching embedded agents1 agents2
