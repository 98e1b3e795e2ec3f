# Guards against requests that leave their zone though its servers are enough, that
# stay though they are too few, or that a zone without servers loses.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_control_host 1
start_control_host 2
start_control_host 3
start_gateway 1
more='{"zone_transfer":{"zoneMsPerMb":50,"regionMsPerMb":400,"regionMbitPerS":60}}'
platform_settings gateway2 127.0.0.2 \
    "{\"frontend\":\"127.0.0.2:$FRONTEND_PORT\",\"readiness\":\"127.0.0.2:$READINESS_PORT\"}" "$more"
start_process gateway2 gateway
print_configuration 3 >first.conf
wait_until replace_accepted 1 first.conf
wait_until gateway_ready 1
wait_until gateway_ready 2
for zone in 1 2 3; do
    : >app-4$zone.speed
    start_server app-4$zone 127.0.0.4$zone app --zone west-$zone --slots 2 --delay-ms 80 \
        --speed-file app-4$zone.speed
done
wait_until gateway_serves 1
wait_until gateway_serves 2
sleep 1

# requests GATEWAY SECONDS PERIOD: sends requests and prints the statuses.
requests() {
    local end=$(($(date +%s%3N) + $2 * 1000)) i=0 pids=()
    : >statuses.out
    while [ "$(date +%s%3N)" -lt "$end" ]; do
        i=$((i + 1))
        gateway_request "$1" GET /look/x "look-$RANDOM-$i" --max-time 4 \
            -o /dev/null -w '%{http_code}\n' >>statuses.out &
        pids+=($!)
        sleep "$3"
    done
    wait "${pids[@]}"
    sort -u statuses.out
}
# sent GATEWAY ZONE: requests that the gateway sent to the zone.
sent() {
    curl -s "http://127.0.0.$1:$READINESS_PORT/metrics" |
        awk -v name="laurellift_gateway_zone_requests_total{from=\"west-1\",to=\"$2\"}" \
            '$1 == name { n = $2 } END { print n + 0 }'
}

echo "-- without costs"
requests 1 1 0.1
echo "counted: $(($(sent 1 west-1) + $(sent 1 west-2) + $(sent 1 west-3)))"

echo "-- enough servers"
requests 2 2 0.1 >/dev/null # tries each server once, as its run time is unknown
before=$(($(sent 2 west-2) + $(sent 2 west-3)))
requests 2 4 0.2
echo "left: $(($(sent 2 west-2) + $(sent 2 west-3) - before))"

echo "-- too few servers"
two=$(sent 2 west-2) three=$(sent 2 west-3)
requests 2 8 0.012
two=$(($(sent 2 west-2) - two)) three=$(($(sent 2 west-3) - three))
echo "left: $two and $three of $(wc -l <statuses.out)" >&2
echo "left for west-2: $([ "$two" -gt 5 ] && echo yes || echo no)"
echo "left for west-3: $([ "$three" -gt 5 ] && echo yes || echo no)"
echo "logged: $([ "$(grep -c 'Zone chosen.*share.*noise_ms' gateway2.log)" -gt 10 ] && echo yes || echo no)"

echo "-- no servers"
stop app-41 KILL
sleep 1
requests 2 3 0.1

echo "-- engines"
for i in 1 2; do
    start_engine_keeper 3$i
    start_server engine-3$i 127.0.0.3$i engines --zone west-$i
done
wait_until gateway_streams 2
sleep 1
streams() { for i in 1 2 3 4 5; do gateway_streams 2 && echo streamed; done | sort | uniq -c | awk '{ print $1, $2 }'; }
before=$(grep -c '^ran.*POST' engine-32.record)
streams
echo "at the engine of the other zone: $(($(grep -c '^ran.*POST' engine-32.record) - before))"
stop engine-31 KILL
sleep 1
streams
