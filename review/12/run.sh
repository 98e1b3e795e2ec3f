#!/usr/bin/env bash
# A gateway whose clients read their event streams slowly exceeds the memory of
# its machine and is killed; what it was doing for others is lost.
RECORD=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)/record.txt
# shellcheck source=review/lib-3.sh
. "$(dirname "${BASH_SOURCE[0]}")/../lib-3.sh"
SLOW=150   # clients that read an event stream
EVENTS=670 # of a stream: the longest of driver-say
ORDINARY=20

start_platform
for n in 1 2; do
    start_server "pool-$n" "127.0.0.$((30 + n))" pool --slots 80 --events $EVENTS --event-bytes 50 \
        --gap-ms 20
done
start_server app-1 127.0.0.41 app --slots 20 --delay-ms 300
wait_until serves /confirm/warm
enforce_memory gateway-1 gateway 88 &
echo $! >>pids

# Ordinary clients send one request after the other over kept connections.
callers confirm --to "127.0.0.1:$FRONTEND" --path /confirm/x --callers $ORDINARY --ramp-ms 600 --kept 1 \
    --deadline-ms 4000 --seconds 18
rate=200
[ "$TROUBLE" = 0 ] && rate=0
callers say --to "127.0.0.1:$FRONTEND" --path /stream/x --callers $SLOW --ramp-ms 2000 --rate $rate \
    --rcvbuf 2048 --deadline-ms 15000 --seconds 17
wait "$(pid_of confirm)" 2>/dev/null
sleep 0.5

peak=$(cat gateway-1.peak)
killed=$(cat gateway-1.killed 2>/dev/null || echo 0)
# Requests over kept connections that a server runs and that end without an
# answer; each line of `runs` names the request.
lost=$(awk '$4 == "runs" { runs[$5] = 1 }
    $2 == "caller" && $4 == "closed" && ($3 in runs) && $3 ~ /^confirm-/ { lost++ }
    END { print lost + 0 }' "$RECORD")
streams=$(grep -c ' caller say-.* cut ' "$RECORD")
text="LOST: $lost requests over kept connections were passed on to a sound server and their connections closed without an answer (3 are allowed); $streams streams cut; gateway killed $killed times for its memory, last peak $peak kB of 90112 kB"
[ "$lost" -gt 3 ] && verdict yes "$text"
verdict no "$text"
