#!/usr/bin/env bash
# A client offers an upgrade of the protocol (RFC 9110, 7.8), as clients that
# prefer HTTP/2 do with each request, and sends its body with a length. Each
# request may run only with the body that its client sent, and no text inside a
# body may run as a request.
# What was sent, answered and run goes to record.txt beside this file.
. "$(dirname "$0")/../standin/lib.sh"

configuration() {
    cat <<EOF
{"version": 1,
 "routeTable": [
  {"name": "filing", "host": "h.example", "pathPrefix": "/filing/",
   "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
   "priority": 2, "service": "app", "maxAttempts": 1, "public": false},
  {"name": "look", "host": "h.example", "pathPrefix": "/look/",
   "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
   "priority": 2, "service": "app", "maxAttempts": 2, "public": false}],
 "services": [{"name": "app", "healthPath": "/healthz", "maxConnections": 390,
               "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "office", "apiKeys": ["key-1"], "priority": 1,
              "unit": "request", "ratePerS": 0, "burst": 0}]}
EOF
}

# send ID BODY: sends a filing with this body.
send() {
    local upgrade=""
    [ "$TROUBLE" = 0 ] ||
        upgrade=$'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n'
    note "client id=$1 sends POST /filing/order with $((${#2})) bytes of body"
    printf 'POST /filing/order HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n%s' \
        "$1" "$upgrade" "${#2}" "$2" |
        "$STANDIN" raw --to "127.0.0.1:$FRONT" --wait-ms 1500 >"$WORK/answer"
    tr -d '\r' <"$WORK/answer" | grep -a '^HTTP/1.1 \|^Attempt-Id' |
        while read -r line; do note "client id=$1 receives $line"; done
}

choose_ports
for host in 1 2 3; do start_control $host; done
start_gateway 1
start_server 1 app
configuration >"$WORK/configuration"
wait_for 20 operator 1 /api/config/replace "$WORK/configuration" ||
    give_up "the configuration was not acknowledged"
wait_for 20 ready 1 || give_up "the gateway is not ready"
wait_for 20 answers 1 "warm-$RANDOM" /look/x || give_up "the gateway does not serve"

send filing-1 'order=road-closure-17'
# A complaint that quotes a request, as a client may file it.
send filing-2 $'POST /filing/order HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: quoted-1\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: 21\r\n\r\norder=road-closure-99'
sleep 0.5

grep ' run id=' "$RECORD" | grep -v ' id=warm-' >"$WORK/runs"
changed=$(grep ' id=filing-' "$WORK/runs" | grep -c ' body=$')
smuggled=$(grep -c ' id=quoted-' "$WORK/runs")
count=$(grep -c ' id=filing-' "$WORK/runs")
result="filings run: $count, with another body: $changed, requests run that no client sent: $smuggled"
[ $((changed + smuggled)) = 0 ] || finish 1 "broken: $result"
[ "$count" = 2 ] || finish 2 "not run: $result"
finish 0 "held: $result"
