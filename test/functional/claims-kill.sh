# A filing runs once: through a kill of control, and through a kill of the
# entry that ran it.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
SERVICE_OPTIONS="--delay-ms 1500"
start_path

file() { call POST /orders -H "Idempotency-Key: $1" -d "$2"; }
outcome() { jq -r '.error.outcome // "ran"' body; }
links_up() { [ "$(state "$(port 2)" '.control.links | length')" = 3 ]; }
# none_running: every claim has ended.
none_running() { [ "$(state "$(port 2)" .control.claims_running)" = 0 ]; }

echo "-- a filing, a kill of control, the resend"
file order-1 'close the souq road'
until_true none_running
stop control KILL
daemon control
until_true links_up
wait_ready "$(port 0)"
until_true agents_up "$(port 0)" 2
file order-1 'close the souq road'
echo "-- the same key with another body, after the restart"
file order-1 'open the souq road' >answer
head -n 1 answer
outcome

echo "-- the entry is killed while its filing runs"
file order-2 'limit the school road' >lost.out 2>&1 &
ran_twice() { [ "$(wc -l <service.record)" -ge 2 ]; }
until_true ran_twice
stop entry KILL
daemon entry
wait_ready "$(port 0)"
until_true agents_up "$(port 0)" 2
file order-2 'limit the school road' >answer
head -n 1 answer
outcome

echo "-- its claim is lost in the end: the outcome is unknown, it never reruns"
until_true none_running
file order-2 'limit the school road' >answer
head -n 1 answer
outcome
sort service.record
