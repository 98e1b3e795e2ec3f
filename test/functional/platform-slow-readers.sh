# Guards against a gateway that ends because callers and servers read slowly,
# and against fast callers that pay for slow ones: 400 callers read streams of
# 240 KB at 1 KB/s, 20 servers read requests of 60 KB at 2 KB/s.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
MEMORY_MB=88
CALLERS=400
start_control_host 1
start_control_host 2
start_control_host 3
platform_settings gateway1 127.0.0.1 \
    "{\"frontend\":\"127.0.0.1:$FRONTEND_PORT\",\"readiness\":\"127.0.0.1:$READINESS_PORT\"}" \
    "{\"invariants\":[\"base\",\"pressure\"],\"limits\":{\"memoryMb\":$MEMORY_MB}}"
start_process gateway1 gateway
print_configuration 3 '.routeTable += [
        {name: "wide", host: "h.example", pathPrefix: "/wide/", kind: "streaming",
         timeoutMs: 60000, priority: 1, service: "wide", resumable: true},
        {name: "upload", host: "h.example", pathPrefix: "/upload/",
         kind: "non_idempotent", timeoutMs: 60000, priority: 1, service: "upload"}] |
    .services += [{name: "wide", maxConnections: 900}, {name: "upload", maxConnections: 900}]' \
    >first.conf
wait_until replace_accepted 1 first.conf
wait_until gateway_ready 1
for i in 1 2; do
    start_server wide-$i 127.0.0.$((30 + i)) wide --slots 600 --events 60 --gap-ms 50 \
        --event-bytes 4000
done
start_server app-a 127.0.0.2 app --delay-ms 100 --slots 40
for i in $(seq 20); do
    start_server slow-$i 127.0.0.$((40 + i)) upload --read-rate 2000
done
wait_until gateway_serves 1

# p99 of 100 requests by a fast caller, in ms.
fast_p99() {
    for i in $(seq 100); do
        gateway_request 1 GET /look/a "fast-$1-$i" -o /dev/null -w '%{http_code} %{time_total}\n'
    done >fast-$1
    grep -vc '^200 ' fast-$1 >fast-$1.failed
    awk '{ print int($2 * 1000) }' fast-$1 | sort -n | sed -n 99p
}
before=$(fast_p99 before)

# slow_callers N: 200 callers that read 1 KB/s for 12 s.
slow_callers() {
    curl -s -Z --parallel-immediate --parallel-max 200 --limit-rate 1000 -m 12 \
        -X POST -H 'Host: h.example' -H 'Authorization: Bearer key-1' \
        -H "Attempt-Id: slow-$1" -H 'Deadline-Ms: 60000' -H 'Model: m' -d x \
        "http://127.0.0.1:$FRONTEND_PORT/wide/[1-$((CALLERS / 2))]" >/dev/null 2>&1
}
slow_callers 1 &
first=$!
slow_callers 2 &
second=$!
head -c 60000 /dev/zero | tr '\0' x >upload.body
uploads=()
for i in $(seq 20); do
    gateway_request 1 POST /upload/x "up-$i" --data-binary @upload.body -o /dev/null \
        -m 12 >/dev/null &
    uploads+=($!)
done
sleep 2
during=$(fast_p99 during)
wait $first $second "${uploads[@]}"

echo "-- the gateway lives"
kill -0 "$(cat gateway1.pid)" && echo yes
peak=$(awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/$(cat gateway1.pid)/status")
echo "peak $peak MB, p99 $before ms before, $during ms beside slow readers" >&2
[ "$peak" -lt $MEMORY_MB ] && echo "within its memory"
grep -c '"event":"Caller is cut off' gateway1.log
echo "-- streams that were begun"
[ "$(cat wide-?.record | grep -c '^ran')" -ge 300 ] && echo "300 or more"
echo "-- fast callers notice nothing"
cat fast-before.failed fast-during.failed
[ $((during * 10)) -le $((before * 12)) ] && echo "p99 within 1.2"
