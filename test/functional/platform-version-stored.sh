# Guards against streams that are joined from two versions because control hosts that
# started again list the version that an engine without a keeper had before it started
# again, too.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=12
start_versioned() {
    local n=$1 software=$2
    shift 2
    start_server "engine-$n" "127.0.0.$n" engines --software "$software" --events $EVENTS --gap-ms 80 "$@"
}
start_platform
start_versioned 31 v1
for i in 32 33 34; do
    start_engine_keeper $i
    start_versioned $i v$((i == 34 ? 3 : 1))
done
wait_until gateway_streams 1
connected() { [ "$(grep 'Slot keeper connected' gateway1.log | grep -o 'engine-[0-9]*' | sort -u | wc -l)" = 3 ]; }
wait_until connected
sleep 1
for i in $(seq 40); do
    tag=begun-$i
    BREAK_OFF=9 take_stream "$tag" 3 1 1
    [ "$(tail -n 1 "$tag.events" | cut -d' ' -f3)" != v1 ] || break
done
for name in gateway1 control1 control2 control3 engine-31 engine-32 engine-33 keeper32 keeper33; do
    stop $name KILL
done
start_versioned 31 v2 --silent-ms 8000
for i in 1 2 3; do start_control_host $i; done
start_gateway 1
wait_until gateway_ready 1
echo "-- a stream of v1 is taken up while the engine that is listed with v1 runs v2"
for try in 1 2 3; do
    gateway_request 1 POST /stream/x "$tag-again-$try" --max-time 6 -d x -H 'Model: m' \
        -H 'Token-Usage: 10,20' -H 'Last-Event-Id: 3' -H "Resumes: $tag-1" >"again-$try.body"
done
echo "$(grep -l '^data: ' again-?.body | wc -l) joined"
echo "-- one that begins there is taken up at an engine that starts with v1"
for name in engine-34 keeper34; do stop $name KILL; done
BREAK_OFF=9 take_stream fresh 3 20 1
began=$(tail -n 1 fresh.events | cut -d' ' -f3)
echo "begun at $began"
for i in $(seq 20); do [ ! -s "fresh-$i.body" ] || echo "fresh-$i" >fresh.first; done
start_versioned 32 v1
listed() { [ "$(grep -c '"Endpoint changed.".*"id":"engine-32"' gateway1.log)" -ge 2 ]; }
wait_until listed
gateway_request 1 POST /stream/x fresh-again --max-time 6 -d x -H 'Model: m' \
    -H 'Token-Usage: 10,20' -H 'Last-Event-Id: 3' -H "Resumes: $(cat fresh.first)" >fresh.body
echo "$(grep '^data: ' fresh.body | grep -vc " $began\$") events of another version"
