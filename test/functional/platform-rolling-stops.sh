# Guards against streams that a gateway takes during its planned stop and then
# cuts, and against refusals of streams that would have ended. Both gateways
# stop in turn under streams of 0.2 to 1.5 times the grace period of 4 s.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
GAP_MS=100
STOP_MS=3800
LAST_SIXTH_MS=3330
EVENTS=(8 16 24 40 60)
now_ms() { date +%s%3N; }

start_control_host 1
start_control_host 2
start_control_host 3
start_gateway 1
start_gateway 2
routes=$(printf '%s\n' "${EVENTS[@]}" | jq -s '[.[] | {name: "s\(.)", host: "h.example",
    pathPrefix: "/s\(.)/", kind: "streaming", timeoutMs: 20000, targetLatencyMs: 1000,
    priority: 0, service: "engines\(.)", maxAttempts: 2, resumable: true}]')
print_configuration 3 ".routeTable += $routes | .services += [.routeTable[] |
    select(.name | test(\"^s[0-9]\")) |
    {name: .service, maxConnections: 200, engine: {slots: 60}}]" >first.conf
wait_until replace_accepted 1 first.conf
for n in 1 2; do wait_until gateway_ready $n; done
for i in "${!EVENTS[@]}"; do
    start_keeper $((31 + i))
    start_server "engine-${EVENTS[$i]}" 127.0.0.$((31 + i)) "engines${EVENTS[$i]}" \
        --slots 60 --events "${EVENTS[$i]}" --gap-ms $GAP_MS
done

# stream_result GATEWAY EVENTS ID [CURL_OPTIONS...]: sends a request for a stream
# whose tokens the caller estimates at a third, and prints the status, curl's
# result, the number of events and the time of the end.
stream_result() {
    local n=$1 events=$2 id=$3 result
    shift 3
    curl -s -N -X POST "http://127.0.0.$n:$FRONTEND_PORT/s$events/x" \
        -H 'Host: h.example' -H "Authorization: Bearer key-1" -H "Attempt-Id: $id" \
        -H 'Model: m' -H 'Deadline-Ms: 15000' -H "Token-Usage: 100,$((events * 10))" -H "Length-Hint: $((events * 3))" \
        -d x -o "$id.body" -w '%{http_code}' "$@" >"$id.status"
    result=$?
    echo "$(cat "$id.status") $result $(grep -c '^id:' "$id.body" 2>/dev/null) $(now_ms)"
}
serves() { stream_result "$1" "$2" "w-$RANDOM-$RANDOM" | grep -q '^200 0'; }
for n in 1 2; do wait_until serves $n 8; done

echo "-- run times of short streams are measured"
# measure GATEWAY: ends enough streams of each length that the stop can serve.
measure() {
    local batch i events sent
    for batch in 1 2 3; do
        sent=()
        for i in $(seq 40); do
            for events in 8 16 24; do
                stream_result "$1" "$events" "m-$1-$batch-$i-$events" >/dev/null &
                sent+=($!)
            done
        done
        wait "${sent[@]}"
    done
}
measure 1 &
first=$!
measure 2
wait $first

# load GATEWAY SECONDS: sends streams of all lengths, and writes one line for
# each into load.results.
load() {
    local n=$1 end=$(($(now_ms) + $2 * 1000)) i=0 events begun sent=()
    while [ "$(now_ms)" -lt "$end" ]; do
        events=${EVENTS[$((i % ${#EVENTS[@]}))]}
        i=$((i + 1))
        (
            begun=$(now_ms)
            id="r-$n-$i-$RANDOM"
            line=$(stream_result "$n" "$events" "$id")
            echo "$n $events $begun $id $line" >>load.results
        ) &
        sent+=($!)
        sleep 0.12
    done
    wait "${sent[@]}"
}

# judge GATEWAY STOPPED_AT: prints counts of streams that were sent to it.
judge() {
    awk -v n="$1" -v at="$2" -v gap=$GAP_MS -v stop=$STOP_MS -v sixth=$LAST_SIXTH_MS '
        $1 != n || $5 == "000" && $6 == 7 { next } # connection refused: not read
        { length_ms = $2 * gap; after = $3 - at }
        $5 == 200 && $6 == 0 && $7 == $2 { whole++; if (after > 0) during++; next }
        $5 == 503 { refused++; if (after + 1.2 * length_ms + 200 < stop) needless++; next }
        after <= 0 && $8 - at >= sixth { handed_on++; next }
        { lost++; print "lost: " $0 > "/dev/stderr" }
        END {
            printf "lost %d, refused in vain %d, served during the stop: %s\n",
                lost, needless, (during > 0 ? "some" : "none")
            printf "gateway %s: whole %d, refused %d, broken off by the end of the stop %d\n",
                n, whole, refused, handed_on > "/dev/stderr"
        }' load.results
}

for n in 1 2; do
    echo "-- gateway $n stops"
    load "$n" 7 &
    loader=$!
    sleep 3
    stopped_at=$(now_ms)
    stop "gateway$n"
    wait "$loader"
    judge "$n" "$stopped_at"
    start_gateway "$n"
    wait_until gateway_ready "$n"
    wait_until serves "$n" 8
done

echo "-- streams that the end of a stop broke off go on elsewhere"
again=()
while read -r n events begun id status result count end; do
    [ "$status" = 200 ] && [ "$count" -gt 0 ] && [ "$count" -lt "$events" ] || continue
    stream_result $((3 - n)) "$events" "again-$id" -H "Resumes: $id" \
        -H "Last-Event-Id: $count" | cut -d' ' -f1,2 &
    again+=($!)
done <load.results >again.out
wait "${again[@]}"
broken=$(wc -l <again.out)
[ "$broken" -gt 0 ] && echo "some were broken off"
awk '$1 != 200 || $2 != 0 { failed++ } END { print failed + 0 }' again.out
