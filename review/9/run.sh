#!/usr/bin/env bash
# A machine that has acknowledged the deregistration of a server loses its
# disk and comes back. TROUBLE=0: it goes on running.
# record.txt gets what was sent, answered and run.
HERE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$HERE/../standin-2/lib.sh"

start_system 3
start_server leaving 21 150
start_server staying 22 150
for n in 1 2 3; do
    heartbeat leaving $n ready || finish 2 "A heartbeat failed."
    heartbeat staying $n ready || finish 2 "A heartbeat failed."
done
sleep 1
calls 3 before 10 100
grep -q 'attempt=before' "$WORK/leaving.record" ||
    finish 2 "The server got no request before it left."

wait_in_touch
# The server leaves: it tells control host 3, and goes on serving.
deregister leaving 3 || finish 2 "The deregistration was not acknowledged."
acknowledged=$(now)
sleep 0.5
if [ "$TROUBLE" = 1 ]; then
    stop control-3
    stop gateway-3
    rm -rf "$WORK/control-3.data"
    event "machine 3 lost its disk"
    sleep 1
    start_control 3 false
    start_gateway 3 false
fi
back=$(now)
wait_for 10 gateway_ready 3 || finish 2 "Gateway 3 is not ready."

# Machine 3 is in touch CONTACT_MS after its start; 500 ms are added.
for i in 1 2 3 4 5; do
    heartbeat staying $((i % 2 + 1)) ready
    sleep 1
done
from=$((back + CONTACT_MS + 500))
[ "$from" -gt $((acknowledged + DRAIN_MS)) ] ||
    from=$((acknowledged + DRAIN_MS))
while [ "$(now)" -lt "$from" ]; do
    sleep 0.05
done
for i in 1 2 3; do
    calls 3 "late$i" 10 100
done
stop leaving
count=$(awk -v from="$from" '$1 >= from' "$WORK/leaving.record" | wc -l)
others=$(grep -c 'attempt=late' "$WORK/staying.record")
after=$((from - acknowledged))
event "from $after ms after the acknowledgement: $count requests reached the" \
    "server that had left, $others the other one"
[ "$((count + others))" -gt 0 ] || finish 2 "No late request ran."
[ "$count" -eq 0 ] || finish 1 "DRAIN broken: $count requests reached a server later than $after ms after its deregistration was acknowledged."
finish 0 "DRAIN held."
