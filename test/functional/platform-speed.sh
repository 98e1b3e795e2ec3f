# Guards against requests at servers that are slow now, against the use of invalid
# figures of the speed, and against questions to servers that report none.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_control_host 1
start_control_host 2
start_control_host 3
start_gateway 1
start_gateway 2
print_configuration 3 '.services[1].healthPath = "/healthz"' >first.conf
wait_until replace_accepted 1 first.conf
wait_until gateway_ready 1
wait_until gateway_ready 2
speed() { printf '%s' "$1" >"$2.speed"; }
for i in 41 42 43 44; do
    speed '' app-$i
    start_server app-$i 127.0.0.$i app --speed-file app-$i.speed --health-path /healthz \
        --delay-ms 40 --slots 6
done
wait_until gateway_serves 1
wait_until gateway_serves 2

# requests SECONDS: sends requests to both gateways, one each 40 ms, and prints
# the statuses.
requests() {
    local end=$(($(date +%s%3N) + $1 * 1000)) i=0 pids=()
    : >statuses.out
    while [ "$(date +%s%3N)" -lt "$end" ]; do
        i=$((i + 1))
        gateway_request $((i % 2 + 1)) GET /look/x "look-$RANDOM-$i" --max-time 4 \
            -o /dev/null -w '%{http_code}\n' >>statuses.out &
        pids+=($!)
        sleep 0.04
    done
    wait "${pids[@]}"
    sort -u statuses.out
}
ran() { grep -c '^ran' "$1.record"; }
# metric NAME: prints the sum of a counter over both gateways.
metric() {
    for n in 1 2; do curl -s "http://127.0.0.$n:$READINESS_PORT/metrics"; done |
        awk -v name="laurellift_$1" 'index($1, name) == 1 { n += $2 } END { print n + 0 }'
}
asked() { cat app-4?.record | grep -c '^asked'; }
few_or_many() { [ "$1" -le "$2" ] && echo few || echo many; }

echo "-- three figures"
requests 3
echo "questions: $(asked)"

echo "-- figures of equal servers"
for i in 41 42 43 44; do speed 100 app-$i; done
requests 1 >/dev/null
for i in 41 42 43 44; do ran app-$i >app-$i.before; done
requests 3
echo "invalid figures: $(metric gateway_invalid_speed_figures_total)"

echo "-- one server is slow"
# The server that the gateways used most, so that they see that it is slow.
used=$(for i in 41 42 43 44; do
    echo "$(($(ran app-$i) - $(cat app-$i.before))) app-$i"
done | sort -rn | awk 'NR == 1 { print $2 }')
speed 1000 "$used"
before=$(ran "$used")
requests 6
slow=$(($(ran "$used") - before))
all=$(wc -l <statuses.out)
echo "at the slow server: $slow of $all" >&2
echo "at the slow server: $(few_or_many $((slow * 10)) "$all")"
echo "questions: $([ "$(asked)" -gt 0 ] && echo some || echo none)"
echo "answered: $([ "$(metric 'gateway_load_questions_total{outcome="answered"}')" -gt 0 ] && echo yes || echo no)"

echo "-- it is fast again, and the others are slow"
for i in 41 42 43 44; do speed 600 app-$i; done
speed 100 "$used"
before=$(ran "$used")
requests 6
fast=$(($(ran "$used") - before))
all=$(wc -l <statuses.out)
echo "at the fast server: $fast of $all" >&2
echo "at the fast server: $(few_or_many "$all" $((fast * 2)) | sed 's/few/most/;s/many/few/')"

echo "-- the server that is used most hangs"
for i in 41 42 43 44; do speed 100 app-$i; done
kill -STOP "$(cat "$used.pid")"
requests 2 >/dev/null
kill -CONT "$(cat "$used.pid")"
echo "served: $([ "$(grep -c 200 statuses.out)" -gt $(($(wc -l <statuses.out) * 7 / 10)) ] && echo most || echo few)"

echo "-- invalid figures"
speed 0 app-41
speed 99999 app-42
speed fast app-43
speed 1e3 app-44
requests 3
echo "invalid figures: $([ "$(metric gateway_invalid_speed_figures_total)" -gt 0 ] && echo counted || echo none)"
echo "logged: $(cat gateway1.log gateway2.log | grep -c 'Invalid figure of an endpoint' | awk '{print ($1 >= 1 && $1 <= 8) ? "once each" : $1}')"
echo "records of choices: $([ "$(grep -c 'chosen by its current speed.*figure_age' gateway1.log)" -gt 0 ] && echo complete || echo none)"
