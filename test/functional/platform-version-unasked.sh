# Guards against streams that are joined from two versions because a gateway which
# is cut off for a moment takes the only version that it knows for that of a stream.
# Servers of another version may have joined meanwhile: silence of the others does
# not mean that nobody knows the stream. The others stand still here.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=4
SOLE_S=61
start_platform
for i in 31 32; do
    start_server engine-$i 127.0.0.$i engines --software v1 --events $EVENTS
done
wait_until gateway_streams 1
sleep $SOLE_S

# Time that the callers have. The gateway asks for a third of it, so that the others
# stand still for less than the 1.5 s after which their links are lost, also if they
# were last heard 0.5 s before.
DEADLINE_MS=1500

# take_up ID [CURL_OPTIONS...]: takes a stream up whose origin nobody knows; prints
# status and versions.
take_up() {
    curl -s -X POST -H 'Host: h.example' -H 'Authorization: Bearer key-1' -H "Attempt-Id: $1" \
        -H "Deadline-Ms: $DEADLINE_MS" -H 'Model: m' -H 'Last-Event-Id: 2' -d x --max-time 4 \
        -w '\n%{http_code}\n' "${@:2}" "http://127.0.0.1:$FRONTEND_PORT/stream/x" |
        awk '$1 == "data:" { print $3 } NF == 1 && $1 ~ /^[0-9]+$/ { print }' | sort -u | tr '\n' ' '
    echo
}
stand_still() { for host in 1 2 3; do kill "-$1" "$(pid control$host)"; done; }
# cut ID [CURL_OPTIONS...]: take_up() while the control hosts stand still.
cut() {
    stand_still STOP
    take_up "$@"
    stand_still CONT
    sleep 2
}
echo "-- asked and answered"
take_up unnamed-before
take_up unknown-before -H 'Resumes: nobody-knows'
echo "-- nobody answers"
cut unnamed
cut unknown -H 'Resumes: nobody-knows'
echo "links lost: $(grep -c '"Control host lost."' gateway1.log)"
echo "-- they answer again"
take_up unnamed-after
take_up unknown-after -H 'Resumes: nobody-knows'
