#!/usr/bin/env bash
# A tenant's limit is lifted, and the machine that acknowledged the change
# freezes for a moment. No request of a non_idempotent route may run twice, none
# that was refused may have run, and no gateway may end.
# What was sent, answered and run goes to record.txt beside this file.
. "$(dirname "$0")/../standin/lib.sh"
GATEWAYS="1 2"
ROUNDS=4
FREEZE_S=1.1
LIMITED=5 # requests a second

configuration() { # VERSION RATE
    cat <<EOF
{"version": $1,
 "routeTable": [
  {"name": "once", "host": "h.example", "pathPrefix": "/once/",
   "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
   "priority": 2, "service": "app", "maxAttempts": 1, "public": false},
  {"name": "look", "host": "h.example", "pathPrefix": "/look/",
   "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300,
   "priority": 2, "service": "app", "maxAttempts": 2, "public": true}],
 "services": [{"name": "app", "healthPath": "/healthz", "maxConnections": 390,
               "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "office", "apiKeys": ["key-1"], "priority": 1,
              "unit": "request", "ratePerS": $2, "burst": $2}]}
EOF
}

# change VERSION RATE: sends a configuration until it is acknowledged.
change() {
    configuration "$1" "$2" >"$WORK/configuration"
    wait_for 15 operator 1 /api/config/replace "$WORK/configuration" ||
        give_up "configuration $1 was not acknowledged"
    note "operator version=$1 ratePerS=$2 acknowledged by control-$ANSWERED_BY"
}

# Sets $TWICE, $REFUSED_RAN and $ENDED from what servers and clients recorded.
check() {
    local gateway
    grep -o ' run id=[^ ]*' "$RECORD" | sed 's/.*id=//' | sort >"$WORK/runs"
    grep -E ' client id=[^ ]* status=(408|421|429|503) ' "$RECORD" |
        sed 's/.* id=\([^ ]*\) .*/\1/' | sort -u >"$WORK/refused"
    TWICE=$(uniq -d "$WORK/runs" | wc -l)
    REFUSED_RAN=$(uniq "$WORK/runs" | comm -12 - "$WORK/refused" | wc -l)
    ENDED=0
    for gateway in $GATEWAYS; do
        kill -0 "$(pid_of "gateway-$gateway")" 2>/dev/null || ENDED=$((ENDED + 1))
    done
}

choose_ports
for host in 1 2 3; do start_control $host; done
for gateway in $GATEWAYS; do start_gateway "$gateway"; done
start_server 1 app --delay-ms 1200 --slots 60
start_server 2 app --delay-ms 1200 --slots 60
change 1 $LIMITED
for gateway in $GATEWAYS; do
    wait_for 20 ready "$gateway" || give_up "gateway $gateway is not ready"
    wait_for 20 answers "$gateway" "warm-$gateway-$RANDOM" /look/x ||
        give_up "gateway $gateway does not serve"
done
for gateway in $GATEWAYS; do
    spawn "load-$gateway" "$STANDIN" load --to "127.0.0.$gateway:$FRONT" \
        --prefix "g$gateway" --connections 20 --think-ms 20 --seconds 60 \
        --record "$RECORD"
done

version=1
for round in $(seq $ROUNDS); do
    change $((++version)) $LIMITED
    sleep 3
    change $((++version)) 0
    if [ "$TROUBLE" = 1 ]; then
        leader=$(pid_of "control-$ANSWERED_BY")
        kill -STOP "$leader"
        note "freeze control-$ANSWERED_BY"
        sleep $FREEZE_S
        kill -CONT "$leader"
        note "wake control-$ANSWERED_BY"
    else
        sleep $FREEZE_S
    fi
    sleep 4
    check
    note "round $round: ran twice: $TWICE, refused and ran: $REFUSED_RAN, gateways ended: $ENDED"
    [ $((TWICE + ENDED)) = 0 ] || break
done
uniq -d "$WORK/runs" | sed "s/^/$(now_ms) ran twice: /" >>"$RECORD"
uniq "$WORK/runs" | comm -12 - "$WORK/refused" |
    sed "s/^/$(now_ms) refused and ran: /" >>"$RECORD"
result="ran twice: $TWICE, refused and ran: $REFUSED_RAN, gateways ended by themselves: $ENDED, after $round rounds"
[ $((TWICE + REFUSED_RAN + ENDED)) = 0 ] && finish 0 "held: $result"
finish 1 "broken: $result"
