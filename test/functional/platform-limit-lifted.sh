# Guards against a question about an account's limit that outlives the wait of
# its request: the limit is lifted while the leading control host stands still,
# and its late answer must not reach a request that was admitted meanwhile. Such a
# request ran twice, or was refused while it ran.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
ROUNDS=2
LOOPS=14 # at each of two gateways
start_platform
start_gateway 2
for i in 31 32; do start_server app-$i 127.0.0.$i app --slots 60 --delay-ms 1200; done

# limit VERSION RATE: sets the limit of the account, in requests a second; 0: none.
limit() {
    print_configuration "$1" ".tenants[0] += {unit: \"request\", ratePerS: $2, burst: $2}
        | .routeTable[1].timeoutMs = 3000" >"$1.conf"
    wait_until replace_accepted 1 "$1.conf"
}
# once_loop N LOOP: sends one request after the other to gateway N.
once_loop() {
    local i=0 id
    while [ -e running ]; do
        i=$((i + 1))
        id=once-$1-$2-$i
        echo "$id $(gateway_status "$1" POST /once/x "$id" --max-time 4 -d x)" >>answers
        sleep 0.02
    done
}
leader() { grep -H '"Leads."' control?.log | sort -t '"' -k 4 | tail -n 1 | cut -d. -f1; }

limit 4 5
wait_until gateway_serves 1
wait_until gateway_serves 2
touch running
for n in 1 2; do
    for loop in $(seq $LOOPS); do once_loop $n $loop & done
done
version=4
for round in $(seq $ROUNDS); do
    limit $((++version)) 5
    sleep 3
    limit $((++version)) 0
    pid=$(cat "$(leader).pid")
    kill -STOP "$pid"
    sleep 1.1
    kill -CONT "$pid"
    sleep 3
done
rm running
sleep 4

grep -h '^ran once-' app-*.record | cut -d' ' -f2 | sort >runs
awk '$2 == 429 || $2 == 503 { print $1 }' answers | sort >refused
echo "requests sent: $(wc -l <answers), ran: $(wc -l <runs), refused: $(wc -l <refused)" >&2
echo "ran at all: $([ "$(wc -l <runs)" -ge 50 ] && echo yes)"
echo "ran twice: $(uniq -d runs | wc -l)"
echo "refused and ran: $(uniq runs | comm -12 - refused | wc -l)"
for n in 1 2; do
    kill -0 "$(cat gateway$n.pid)" 2>/dev/null || echo "gateway $n ended"
done
