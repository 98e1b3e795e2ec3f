#!/usr/bin/env bash
# A configuration takes all keys away: its list of tenants is empty. A request
# with a key that was taken away, sent later than revokeMs after the
# acknowledgement, may not run, and no key may reach a server.
# What was sent, answered and run goes to record.txt beside this file.
. "$(dirname "$0")/../standin/lib.sh"
REVOKE_S=5

configuration() { # VERSION TENANTS
    cat <<EOF
{"version": $1,
 "routeTable": [
  {"name": "filing", "host": "h.example", "pathPrefix": "/filing/",
   "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
   "priority": 2, "service": "app", "maxAttempts": 1, "public": false}],
 "services": [{"name": "app", "healthPath": "/healthz", "maxConnections": 390,
               "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [$2]}
EOF
}

# change VERSION TENANTS: sends a configuration until it is acknowledged.
change() {
    configuration "$1" "$2" >"$WORK/configuration"
    wait_for 20 operator 1 /api/config/replace "$WORK/configuration" ||
        give_up "configuration $1 was not acknowledged"
    note "operator version=$1 tenants=[$2] acknowledged"
}

# request ID KEY: sends a filing.
request() {
    local status
    note "client id=$1 sends POST /filing/order with $2"
    status=$(printf 'POST /filing/order HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 7\r\nConnection: close\r\n\r\norder=1' "$1" "$2" |
        "$STANDIN" raw --to "127.0.0.1:$FRONT" | head -n 1 | cut -d' ' -f2)
    note "client id=$1 receives $status"
    [ "$status" = 200 ]
}

choose_ports
for host in 1 2 3; do start_control $host; done
start_gateway 1
start_server 1 app
OFFICE='{"name": "office", "apiKeys": ["key-1"], "priority": 1, "unit": "request", "ratePerS": 0, "burst": 0}'
CLERKS='{"name": "clerks", "apiKeys": ["key-2"], "priority": 1, "unit": "request", "ratePerS": 0, "burst": 0}'
change 1 "$OFFICE"
wait_for 20 ready 1 || give_up "the gateway is not ready"
before() { request "before-$RANDOM" key-1; }
wait_for 20 before || give_up "the gateway does not serve"

if [ "$TROUBLE" = 1 ]; then change 2 ""; else change 2 "$CLERKS"; fi
sleep $((REVOKE_S + 1))
for i in 1 2 3; do
    request "revoked-$i" key-1
    request "unknown-$i" key-9
done
sleep 0.3
revoked=$(grep -c ' run id=revoked-' "$RECORD")
unknown=$(grep -c ' run id=unknown-' "$RECORD")
passed_on=$(grep -c ' run id=.* key=yes ' "$RECORD")
result="run with the key that was taken away: $revoked of 3, with a key that no configuration held: $unknown of 3, keys passed on: $passed_on"
[ $((revoked + unknown + passed_on)) = 0 ] && finish 0 "held: $result"
finish 1 "broken: $result"
