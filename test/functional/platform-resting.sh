# Guards against requests that are sent to servers that have asked for rest.
. "$(dirname "${BASH_SOURCE[0]}")/rest.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
start_gateway 2
for i in 31 32; do
    start_engine_keeper $i
    start_restful engine-$i 127.0.0.$i engines
done
for i in 41 42 43 44; do
    start_restful app-$i 127.0.0.$i app
done
wait_until gateway_ready 2
for n in 1 2; do
    wait_until gateway_serves $n
    wait_until gateway_streams $n
done

# rest SECONDS NAMES...: makes these servers refuse all requests and ask for rest.
rest() {
    local seconds=$1 name
    shift
    for name; do printf '%s' "$seconds" >"$name.rest"; done
}

echo "-- all app servers and one of two engines"
for n in 1 2; do STREAMS=1 gateway_loop $n 16 0.12 & done
loops=$(jobs -p | tail -n 2)
sleep 1
rest 3 app-41 app-42 app-43 app-44 engine-31
sleep 12
rest '' app-41 app-42 app-43 app-44 engine-31
wait $loops
for name in app-41 app-42 app-43 app-44 engine-31; do
    print_rest $name 3
done
print_rest engine-31 3 probed
echo "served streams: $([ "$(grep -c 200 stream1.answers)" -gt 100 ] && echo most || echo few)"
echo "served at the end: $(tail -n 3 look1.answers | cut -d' ' -f1 | sort -u)"
echo "refusals without a time: $(grep -c '^503 $' look1.answers)"
echo "-- a short rest of one of many, and values that ask for none"
rm -f look1.answers
rest 0.9 app-41
rest soon app-42
rest -3 app-43
rest 0 app-44
for n in 1 2; do gateway_loop $n 3 0.12 & done
wait $(jobs -p | tail -n 2)
print_rest app-41 0.9
rest '' app-41 app-42 app-43 app-44
serves() { [ "$(gateway_status 1 GET /look/x "1-after-$RANDOM")" = 200 ]; }
wait_until serves && echo "served again"
