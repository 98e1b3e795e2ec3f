# Guards against a filing that runs twice when its caller resends it after a
# kill of control, or after a kill of the entry that sent it.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
SERVICE_OPTIONS="--delay-ms 1500"
start_minimal_cluster

file_order() { entry_request POST /orders -H "Idempotency-Key: $1" -d "$2"; }
print_outcome() { jq -r '.error.outcome // "ran"' body; }
# links_connected: true when the entry and both agents have a link to control.
links_connected() { [ "$(state_value "$(port 2)" '.control.links | length')" = 3 ]; }
# no_claim_running: true when all claims have ended.
no_claim_running() { [ "$(state_value "$(port 2)" .control.claims_running)" = 0 ]; }

echo "-- a filing, then control is killed, then a resend"
file_order order-1 'close the souq road'
wait_until no_claim_running
stop control KILL
start_daemon control
wait_until links_connected
wait_ready "$(port 0)"
wait_until agents_connected "$(port 0)" 2
file_order order-1 'close the souq road'
echo "-- the same key with another body, after the restart"
file_order order-1 'open the souq road' >answer
head -n 1 answer
print_outcome

echo "-- the entry is killed while a filing runs, then a resend"
file_order order-2 'limit the school road' >lost.out 2>&1 &
both_orders_ran() { [ "$(wc -l <service.record)" -ge 2 ]; }
wait_until both_orders_ran
stop entry KILL
start_daemon entry
wait_ready "$(port 0)"
wait_until agents_connected "$(port 0)" 2
file_order order-2 'limit the school road' >answer
head -n 1 answer
print_outcome

echo "-- the claim ends as lost: the outcome is unknown and the filing does not run again"
wait_until no_claim_running
file_order order-2 'limit the school road' >answer
head -n 1 answer
print_outcome
sort service.record
