# Without an operator's key nothing is shown and nothing changes.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control 1
api="http://127.0.0.1:${ADMIN_PORTS[0]}"

ask() { curl -s -o body -w '%{http_code} ' "$@"; jq -r '.error.code // "ok"' body; }

echo "-- no key, a wrong key, a key in another form"
ask "$api/v1/rules"
ask -H 'Authorization: Bearer guess' "$api/v1/rules"
ask -H 'Authorization: Basic operator-key' "$api/v1/rules"
ask -X POST --data 'model a # asked by nobody' "$api/v1/rules?base=0"
ask -X DELETE "$api/v1/quarantine/0000000000000001"
ask -X POST "$api/v1/endpoints/engine-1/drain"

echo "-- with the key"
key='Authorization: Bearer operator-key'
ask -H "$key" "$api/v1/rules"
jq -c '[.version, .text]' body
ask -H "$key" "$api/v1/nothing"
ask -H "$key" -X DELETE "$api/v1/rules"
ask -H "$key" -X POST --data 'model a # asked by nobody' "$api/v1/rules"
ask -H "$key" -H 'Command-Id: 12' "$api/v1/rules"
ask -H "$key" -X POST "$api/v1/endpoints/engine-1/drain"
ask -H "$key" -X POST --data '{"kind":"dance"}' "$api/v1/endpoints/engine-1/order"
ask -H "$key" -X POST --data 'not json' "$api/v1/endpoints/engine-1/order"
ask -H "$key" -X DELETE "$api/v1/quarantine/xyz"
ask -H "$key" -X DELETE "$api/v1/quarantine/0000000000000001"
ask -H "$key" -X POST --data $'model a\n\nroute x' "$api/v1/rules?base=0"
jq -c '.error.faults[]' body
ask -H "$key" "$api/v1/rules/history"
jq -c .changes body
