# Guards against streams that are taken up at another version, or refused, when the
# process that knew their version is gone or the caller names no valid origin.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=12
start_platform
start_gateway 2
for i in 31 32; do
    start_engine_keeper $i
    start_server engine-$i 127.0.0.$i engines --software v$((i - 30)) --events $EVENTS --gap-ms 80
done
start_server engine-33 127.0.0.33 engines --software v2 --events $EVENTS --gap-ms 80
for n in 1 2; do
    wait_until gateway_ready $n
    wait_until gateway_streams $n
done
engines_connected() { [ "$(grep -h 'Slot keeper connected' gateway$1.log | grep -o 'engine-3[12]' | sort -u | wc -l)" = 2 ]; }
wait_until engines_connected 1
wait_until engines_connected 2

# begin TAG N: begins a stream at gateway N and breaks it off after three events.
# Sets software to its version.
begin() {
    BREAK_OFF=9 take_stream "$1" 3 1 "$2"
    software=$(tail -n 1 "$1.events" | cut -d' ' -f3)
}
# take_up TAG N [CURL_OPTIONS...]: takes the stream up at gateway N. Prints the
# status, and whether its events are of the version that began it.
take_up() {
    local tag=$1 n=$2 body
    shift 2
    body=$(gateway_request "$n" POST /stream/x "$tag-again-$RANDOM" --max-time 8 -d x -H 'Model: m' \
        -H 'Token-Usage: 10,20' -H 'Last-Event-Id: 3' -w '\n%{http_code}\n' "$@")
    local others
    others=$(grep '^data: ' <<<"$body" | grep -vc " $software\$")
    echo "$(tail -n 1 <<<"$body") $(grep -c '^data: ' <<<"$body") events, $others of another version"
}

echo "-- a caller at another gateway, at once, several times in a row"
for i in 1 2 3 4 5 6; do
    begin "pair-$i" 1
    take_up "pair-$i" 2 -H "Resumes: pair-$i-1"
done
echo "-- the gateway that began is killed"
begin killed 2
stop gateway2 KILL
take_up killed 1 -H 'Resumes: killed-1'
start_gateway 2
wait_until gateway_ready 2
wait_until gateway_streams 2
echo "-- all control hosts start again"
begin restarted 1
for i in 1 2 3; do stop control$i KILL; done
for i in 1 2 3; do start_control_host $i; done
lease_back() { [ "$(gateway_status 2 POST /stream/x "lease-$RANDOM" -d x -H 'Model: m')" = 200 ]; }
wait_until lease_back
take_up restarted 2 -H 'Resumes: restarted-1'
echo "-- the news is late: the control hosts are paused while the caller is back"
begin late 1
for i in 1 2 3; do kill -STOP "$(pid control$i)"; done
{
    sleep 0.4
    for i in 1 2 3; do kill -CONT "$(pid control$i)"; done
} &
take_up late 2 -H 'Resumes: late-1'
wait $!
echo "-- no valid origin"
begin valid 1
ran() { cat engine-3?.record | grep -c '^ran .*after=3'; }
before=$(ran)
take_up valid 2
take_up valid 2 -H 'Resumes: nobody-knows'
take_up valid 2 -H 'Resumes:'
take_up valid 2 -H 'Resumes: valid-1' -H 'Resumes: valid-1'
take_up valid 2 -H "Resumes: $(printf 'x%.0s' $(seq 2000))"
KEY=key-3 take_up valid 2 -H 'Resumes: valid-1'
KEY=key-3 take_up valid 1 -H 'Resumes: valid-1'
echo "$(($(ran) - before)) ran"
take_up valid 2 -H 'Resumes: valid-1'
echo "-- the only engine of the version ends"
until begin last 1 && [ "$software" = v1 ]; do :; done
stop engine-31 KILL
take_up last 2 -H 'Resumes: last-1'
