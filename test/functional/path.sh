# Checks one request of each kind from the caller to the endpoint, with all
# roles as separate processes: a streamed draft, a lookup, a filing and its
# resend.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_minimal_cluster

echo "-- draft"
entry_request POST /v1/chat/completions -d '{"model":"draft-large","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"close the souq road"}]}'
echo "-- lookup"
entry_request GET /orders/17
echo "-- filing"
entry_request POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
echo "-- resend"
entry_request POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
echo "-- the same key with another body"
entry_request POST /orders -H 'Idempotency-Key: order-17' -d 'open the souq road'
echo "-- requests that ran"
cat engine.record service.record
