# Guards against requests to servers whose answers say that they leave.
. "$(dirname "${BASH_SOURCE[0]}")/rest.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
DRAIN_MS=3000
start_platform
start_gateway 2
start_engine_keeper 31
start_engine_keeper 32
for i in 31 32; do
    start_restful engine-$i 127.0.0.$i engines --events 5 --gap-ms 30
    start_restful app-$i 127.0.0.$((i + 10)) app
done
wait_until gateway_ready 2
for n in 1 2; do
    wait_until gateway_serves $n
    wait_until gateway_streams $n
done

# arrivals_after_leaving NAME: prints the number of requests that arrive DRAIN_MS
# after the server begins to say that it leaves, and half a second.
arrivals_after_leaving() {
    awk -v drain=$DRAIN_MS '$1 == "leaves" { left = $2 }
        $1 == "arrived" && left && $2 > left + drain + 500 { n++ }
        END { print n + 0 }' "$1.record"
}

for n in 1 2; do STREAMS=1 gateway_loop $n 8 0.1 & done
loops=$(jobs -p | tail -n 2)
sleep 1
kill -USR2 "$(pid app-31)" "$(pid engine-31)"
sleep 3
# One that starts later learns it from the others.
start_gateway 3
wait_until gateway_ready 3
wait_until gateway_serves 3
gateway_loop 3 3 0.1 &
loops="$loops $!"
wait $loops
for name in app-31 engine-31; do
    echo "$name: $(arrivals_after_leaving $name) late"
done
echo "streams broken off or failed: $(cat stream?.answers | grep -vcE '^(200|503) 0$')"
refused=$(cat stream?.answers | grep -c '^503')
echo "$refused of $(cat stream?.answers | wc -l) streams refused" >&2
[ $((refused * 10)) -le "$(cat stream?.answers | wc -l)" ] && echo "streams served: nine tenths or more" || echo "streams served: too few"
echo "-- the same id starts again"
stop app-31 KILL
start_restful app-31 127.0.0.41 app
served_by() { gateway_request 1 GET /look/x "1-again-$RANDOM" | grep -q "\"server\":\"$1\""; }
wait_until served_by app-31 && echo "it serves"
