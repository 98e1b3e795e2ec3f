# Helpers of the scripts in review/6 and later: a small deployment of the
# project's own programs on loopback addresses, and the record of a run.
# A script sets HERE to its folder and sources this file.
set -uo pipefail

ROOT=$(cd "$HERE/../.." && pwd)
PLATFORM=$ROOT/target/platform/laurellift-platform
STANDIN=$ROOT/target/review-2/standin
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
EVENTS=$WORK/events
declare -A PIDS=()

NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
PORT=$((20000 + RANDOM % 9000))
FRONTEND=$PORT
READINESS=$((PORT + 1))
CONTROL=$((PORT + 2))
LINKS=$((PORT + 4))
SERVER=$((PORT + 10))

# The bounds of the site file sites/sahil-tro.toml and of its sheet.
MEMORY_MB=110
CONTACT_MS=4000
DRAIN_MS=3000
CONFIG_APPLY_MS=3000

# end_process PID: kills a process and waits for its end.
end_process() {
    kill -KILL "$1" 2>/dev/null
    while kill -0 "$1" 2>/dev/null; do
        sleep 0.01
    done
}

# Ends the processes that the script started. STARTED holds the ids of those
# that a subshell started again.
STARTED=$WORK/started
cleanup() {
    local pid
    for pid in "${PIDS[@]}" $(cat "$STARTED" 2>/dev/null); do
        end_process "$pid"
    done
    if [ -n "${KEEP_LOGS:-}" ]; then
        mkdir -p "$KEEP_LOGS" && cp "$WORK"/*.log "$KEEP_LOGS"
    fi
    rm -rf "$WORK"
}
trap cleanup EXIT

now() { "$STANDIN" now; }

# event TEXT: adds a line to the record.
event() { echo "$(now) $*" >>"$EVENTS"; }

# write_record: writes record.txt, with times in seconds since the first line.
write_record() {
    cat "$EVENTS" "$WORK"/*.record 2>/dev/null | sort -n -s -k1,1 |
        awk 'NR == 1 { start = $1 }
             { printf "%8.3f", ($1 - start) / 1000; $1 = ""; print }' \
            >"$HERE/record.txt"
}

# finish STATUS TEXT: ends the run. 0: held, 1: broken, 2: could not run.
finish() {
    event "result $1: $2"
    write_record
    echo "$2"
    exit "$1"
}

[ -x "$PLATFORM" ] && [ -x "$STANDIN" ] ||
    { echo "The programs are not built."; exit 2; }

# settings NAME N LISTEN MORE: writes the settings of a process of machine N.
settings() {
    local name=$1 n=$2 listen=$3 more=$4
    cat >"$WORK/$name.json" <<EOF
{"nodeId": "$name", "role": "$name", "machineClass": "edge",
 "ip": "$NET.$n", "zone": "zone-$n", "region": "region-1",
 "zones": {"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1"},
 "listenAddrs": $listen, "internalPortRange": [$LINKS, $((LINKS + 5))],
 "seedNodes": ["$NET.1:$CONTROL", "$NET.2:$CONTROL", "$NET.3:$CONTROL"],
 "inFaultBudget": true, "discovery": "registration", "entry": "vip",
 "heartbeatMs": 1200, "configMode": "highest",
 "limits": {"cpuShare": 0.45, "cores": 1, "memoryMb": $MEMORY_MB,
            "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
 "invariants": ["base", "drain", "config", "cost", "retry", "recover",
                "engine", "stream", "tenants", "quota"],
 "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
 "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": $CONTACT_MS,
            "ackMs": 5000, "catchUpS": 4, "drainMs": $DRAIN_MS, "graceS": 8,
            "lossSlackMs": 200, "configApplyMs": $CONFIG_APPLY_MS,
            "downgradeSlackMs": 250, "maxSkewMs": 6000,
            "strictRevocation": true, "revokeMs": 5000,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10,
            "retryAllowance": 62, "quotaWindowS": 8, "quotaOverage": 0.1,
            "quotaSlack": 110000, "recoveryS": 12, "eventDelayMs": 400,
            "retryAfterS": 7.1}, $more}
EOF
}

# start NAME ROLE: starts a process as the deploy file says.
start() {
    (cd "$ROOT" && exec env LAURELLIFT_SETTINGS="$WORK/$1.json" \
        target/platform/laurellift-platform "$2") >>"$WORK/$1.log" 2>&1 &
    PIDS[$1]=$!
    echo $! >>"$STARTED"
    disown
    event "start $1"
}

# stop NAME: kills a process and waits for its end.
stop() {
    end_process "${PIDS[$1]}"
    event "killed $1"
}

# start_control N BOOTSTRAP
start_control() {
    mkdir -p "$WORK/control-$1.data"
    settings "control-$1" "$1" "{\"controlPlane\": \"$NET.$1:$CONTROL\"}" \
        "\"dataDir\": \"$WORK/control-$1.data\", \"bootstrap\": $2"
    start "control-$1" control
}

# start_gateway N BOOTSTRAP
start_gateway() {
    settings "gateway-$1" "$1" "{\"frontend\": \"$NET.$1:$FRONTEND\",
        \"readiness\": \"$NET.$1:$READINESS\"}" "\"bootstrap\": $2"
    start "gateway-$1" gateway
}

# start_server NAME N DELAY_MS [SERVICE]: starts a server at address N.
start_server() {
    "$STANDIN" server "$NET.$2:$SERVER" "$1" "$3" "$WORK/$1.record" \
        >>"$WORK/$1.log" 2>&1 &
    PIDS[$1]=$!
    disown
    BORN[$1]=$(now)
    SEQUENCE[$1]=0
    SERVICE[$1]=${4:-app}
    ADDRESS[$1]=$NET.$2:$SERVER
    event "start server $1 at ${ADDRESS[$1]}"
}
declare -A BORN=() SEQUENCE=() ADDRESS=() SERVICE=()

# api N METHOD PATH [BODY]: calls control host N; prints status and body.
api() {
    local n=$1
    shift
    "$STANDIN" api "$NET.$n:$CONTROL" "$@"
}

# heartbeat NAME N STATE: sends a heartbeat of a server to control host N.
heartbeat() {
    SEQUENCE[$1]=$((SEQUENCE[$1] + 1))
    local answer
    answer=$(api "$2" POST "/api/instances/$1/heartbeat" \
        "{\"service\": \"${SERVICE[$1]}\",
          \"address\": \"${ADDRESS[$1]}\", \"zone\": \"zone-1\", \"version\": \"v1\", \"slots\": 6,
          \"state\": \"$3\", \"coldRemainingMs\": 0,
          \"sequence\": ${SEQUENCE[$1]}, \"born\": ${BORN[$1]}}")
    local status=$?
    event "heartbeat $1 state=$3 sequence=${SEQUENCE[$1]} to control-$2:" \
        "${answer%% *}"
    return $status
}

# deregister NAME N: deregisters a server at control host N.
deregister() {
    SEQUENCE[$1]=$((SEQUENCE[$1] + 1))
    local answer
    answer=$(api "$2" POST "/api/instances/$1/deregister" \
        "{\"sequence\": ${SEQUENCE[$1]}, \"born\": ${BORN[$1]}}")
    local status=$?
    event "deregister $1 at control-$2: ${answer%% *}"
    return $status
}

# configuration VERSION KEYS: prints a configuration.
configuration() {
    cat <<EOF
{"version": $1, "routeTable": [{"name": "r-file", "host": "h.example",
  "pathPrefix": "/file/", "kind": "non_idempotent", "timeoutMs": 3000,
  "targetLatencyMs": 200, "priority": 2, "service": "app", "maxAttempts": 1,
  "public": false, "sticky": false, "resumable": false},
 {"name": "r-pay", "host": "h.example", "pathPrefix": "/pay/",
  "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 200,
  "priority": 2, "service": "pay", "maxAttempts": 1, "public": false,
  "sticky": false, "resumable": false},
 {"name": "r-look", "host": "h.example", "pathPrefix": "/look/",
  "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 200,
  "priority": 2, "service": "app", "maxAttempts": 2, "public": false,
  "sticky": false, "resumable": false}],
 "services": [{"name": "app", "healthPath": "/healthz",
  "maxConnections": 130, "protocol": "h1", "tls": false},
 {"name": "pay", "healthPath": "/healthz", "maxConnections": 130,
  "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "hule930", "apiKeys": $2, "priority": 1}]}
EOF
}

gateway_ready() { "$STANDIN" ready "$NET.$1:$READINESS" >/dev/null; }
configure() {
    api 1 POST /api/config/replace "$(configuration "$1" "$2")" >/dev/null
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
    local end=$(($(now) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

# start_system GATEWAYS: three control hosts, gateways, a configuration.
start_system() {
    local n
    : >"$EVENTS"
    started=$(now)
    for n in 1 2 3; do
        start_control $n true
    done
    for n in $(seq "$1"); do
        start_gateway "$n" true
    done
    wait_for 15 configure 7 '["key-1", "key-0"]' || finish 2 "The configuration was not accepted."
    event "configuration 7 acknowledged"
    for n in $(seq "$1"); do
        wait_for 10 gateway_ready "$n" || finish 2 "Gateway $n is not ready."
    done
}

# wait_in_touch: waits until all machines have run for longer than CONTACT_MS.
wait_in_touch() {
    while [ "$(now)" -lt $((started + CONTACT_MS + 1000)) ]; do
        sleep 0.05
    done
}

# calls GATEWAY PREFIX COUNT BYTES [PATH]: sends requests at once and waits for
# the answers.
calls() {
    "$STANDIN" calls "$NET.$1:$FRONTEND" "$2" "$3" "$4" "${5:-/file/a}" \
        "$WORK/clients.record"
}
