# The whole path as separate processes: a streamed draft, a lookup, a filing
# and its resend.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_path

echo "-- draft"
call POST /v1/chat/completions -d '{"model":"draft-large","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"close the souq road"}]}'
echo "-- lookup"
call GET /orders/17
echo "-- filing"
call POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
echo "-- resend"
call POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
echo "-- same key, another body"
call POST /orders -H 'Idempotency-Key: order-17' -d 'open the souq road'
echo "-- what ran"
cat engine.record service.record
