# Servers that misbehave: what a caller gets, and what runs again.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform

# with_fault KIND COUNT: an app server whose first COUNT requests go wrong.
n=0
with_fault() {
    n=$((n + 1))
    server "app-$n" 127.0.0.2 app --fault "$1" --fault-count "$2"
    until_true known "app-$n"
}
known() { grep -q "\"Endpoint changed.\".*\"id\":\"$1\"" gateway1.log; }
gone() {
    stop "app-$n" KILL
    curl -s -X POST -d '{}' \
        "http://127.0.0.1:$API/api/instances/app-$n/deregister" >/dev/null
}

for fault in cut extra unframed error shed no-seal wrong-id; do
    echo "-- $fault"
    with_fault $fault 1
    status 1 POST /once/a "$fault-once" -d body
    status 1 GET /look/a "$fault-look"
    status 1 GET /look/a "$fault-next"
    cut -d' ' -f2 "app-$n.record" | sort | uniq -c | sed 's/^ *//'
    gone
done

echo "-- a stream that breaks inside an event goes on elsewhere"
keeper 1
keeper 4
server engine-a 127.0.0.1 engines --fault cut --fault-count 1
until_true known engine-a
sleep 0.5
server engine-b 127.0.0.4 engines
until_true known engine-b
for i in 1 2 3 4; do
    ask 1 POST /stream/a "stream-$i" -H 'Model: m' -d prompt |
        grep -c '^id: [1-4]$'
done
grep -h 'after=[0-9]' engine-?.record | wc -l
