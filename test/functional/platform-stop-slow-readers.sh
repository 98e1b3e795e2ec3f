# Guards against answers that were read whole from their server, and are lost at
# the end of a planned stop since their callers read slowly.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
CALLERS=10
start_control_host 1
start_control_host 2
start_control_host 3
platform_settings gateway1 127.0.0.1 \
    "{\"frontend\":\"127.0.0.1:$FRONTEND_PORT\",\"readiness\":\"127.0.0.1:$READINESS_PORT\"}" \
    "{\"invariants\":[\"base\",\"pressure\"],\"limits\":{\"memoryMb\":88}}"
start_process gateway1 gateway
print_configuration 3 '.routeTable += [
        {name: "wide", host: "h.example", pathPrefix: "/wide/", kind: "streaming",
         timeoutMs: 60000, priority: 1, service: "wide", resumable: true}] |
    .services += [{name: "wide", maxConnections: 90}]' >first.conf
wait_until replace_accepted 1 first.conf
wait_until gateway_ready 1
start_server app-a 127.0.0.2 app
start_server wide-1 127.0.0.31 wide --slots 20 --events 75 --gap-ms 20 --event-bytes 4000
wait_until gateway_serves 1

# read_slowly N: a caller that reads its answer of 300 KB in 30 s.
read_slowly() {
    gateway_request 1 POST /wide/x "slow-$1" --limit-rate 10000 -m 60 -H 'Deadline-Ms: 60000' \
        -H 'Model: m' -d x -o "slow-$1.out" -w '%{exitcode}\n' >"slow-$1.end"
}
callers=()
for i in $(seq $CALLERS); do
    read_slowly "$i" &
    callers+=($!)
done
sleep 3
echo "-- answers that the server has ended"
grep -c '^ran slow' wide-1.record
kill -TERM "$(cat gateway1.pid)"
wait "$(cat gateway1.pid)"
echo "exit $?"
wait "${callers[@]}"
echo "-- complete answers"
cat slow-*.end | sort | uniq -c | sed 's/^ *//'
grep -h -c '^id:' slow-*.out | sort | uniq -c | sed 's/^ *//'
