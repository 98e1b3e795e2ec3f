# Guards against streams that are refused for want of knowledge though their service
# has had one version for longer than any stream lasts, and against such a guess
# once there is a second version.
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
EVENTS=4
SOLE_S=61
start_platform
for i in 31 32; do
    start_server engine-$i 127.0.0.$i engines --software v1 --events $EVENTS
done
wait_until gateway_streams 1
begun=$(date +%s)
# take_up ID: takes a stream up whose origin nobody knows; prints status and
# versions.
take_up() {
    gateway_request 1 POST /stream/x "$1" -d x -H 'Model: m' -H 'Last-Event-Id: 2' --max-time 4 \
        -w '\n%{http_code}\n' "${@:2}" | awk '$1 == "data:" { print $3 } NF == 1 && $1 ~ /^[0-9]+$/ { print }' | sort -u | tr '\n' ' '
    echo
}
echo "-- one version, but not for long"
take_up early -H 'Resumes: nobody-knows'
sleep $((begun + SOLE_S - $(date +%s)))
echo "-- one version for long"
take_up unnamed
take_up unknown -H 'Resumes: nobody-knows'
echo "-- a second one"
start_server engine-33 127.0.0.33 engines --software v2 --events $EVENTS
listed() { grep -q '"Endpoint changed.".*"id":"engine-33"' gateway1.log; }
wait_until listed
take_up mixed -H 'Resumes: nobody-knows'
