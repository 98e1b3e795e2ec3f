# Guards against access to the operators' API without a valid key, and against
# malformed commands that change the state.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 1
api="http://127.0.0.1:${ADMIN_PORTS[0]}"

admin_request() { curl -s -o body -w '%{http_code} ' "$@"; jq -r '.error.code // "ok"' body; }

echo "-- no key, a wrong key, another authentication scheme"
admin_request "$api/v1/rules"
admin_request -H 'Authorization: Bearer guess' "$api/v1/rules"
admin_request -H 'Authorization: Basic operator-key' "$api/v1/rules"
admin_request -X POST --data 'model a # asked by nobody' "$api/v1/rules?base=0"
admin_request -X DELETE "$api/v1/quarantine/0000000000000001"
admin_request -X POST "$api/v1/endpoints/engine-1/drain"

echo "-- with a valid key"
key='Authorization: Bearer operator-key'
admin_request -H "$key" "$api/v1/rules"
jq -c '[.version, .text]' body
admin_request -H "$key" "$api/v1/nothing"
admin_request -H "$key" -X DELETE "$api/v1/rules"
admin_request -H "$key" -X POST --data 'model a # asked by nobody' "$api/v1/rules"
admin_request -H "$key" -H 'Command-Id: 12' "$api/v1/rules"
admin_request -H "$key" -X POST "$api/v1/endpoints/engine-1/drain"
admin_request -H "$key" -X POST --data '{"kind":"dance"}' "$api/v1/endpoints/engine-1/order"
admin_request -H "$key" -X POST --data 'not json' "$api/v1/endpoints/engine-1/order"
admin_request -H "$key" -X DELETE "$api/v1/quarantine/xyz"
admin_request -H "$key" -X DELETE "$api/v1/quarantine/0000000000000001"
admin_request -H "$key" -X POST --data $'model a\n\nroute x' "$api/v1/rules?base=0"
jq -c '.error.faults[]' body
admin_request -H "$key" "$api/v1/rules/history"
jq -c .changes body
