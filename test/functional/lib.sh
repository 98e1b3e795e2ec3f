# Helpers of the scripted runs. A script starts processes with `spawn`, waits
# for them with `wait_ready`, and prints its observations. All processes that
# it started are killed when it exits.
set -uo pipefail
cd "$LL_WORK"

PIDS=()

# port N: the TCP port with index N (0 to 39) in the range of this script.
port() { echo $((LL_PORT_BASE + $1)); }

# spawn NAME PROGRAM ARGS...: starts a program that logs to NAME.log. Its
# process id is stored in $LAST_PID and NAME.pid.
spawn() {
    local name=$1 program=$2
    shift 2
    "$program" "$@" >>"$name.log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
    echo "$LAST_PID" >"$name.pid"
}

start_daemon() { spawn "$1" "$LL_BUILD/src/daemon/laurelliftd" "$1.yaml"; }
start_engine() { local n=$1; shift; spawn "$n" "$LL_BUILD/test/fakes/fake_engine" "$@"; }
start_service() { local n=$1; shift; spawn "$n" "$LL_BUILD/test/fakes/fake_service" "$@"; }

# stop NAME [SIGNAL]: sends SIGNAL (default TERM) to a process and waits until
# it exits.
stop() {
    local pid
    pid=$(cat "$1.pid")
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
}

kill_all_processes() {
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
}
trap kill_all_processes EXIT

# wait_until COMMAND...: repeats the command until it succeeds, for about 20 s.
wait_until() {
    for _ in $(seq 400); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.05
    done
    echo "timed out waiting for: $*"
    return 1
}

http_ok() { curl -fs "$1"; }

# wait_ready HTTP_PORT: waits until the entry has a rule lease.
wait_ready() { wait_until http_ok "http://127.0.0.1:$1/readyz"; }

# state_value PORT JQ_FILTER: prints one value of the state dump of a process.
state_value() { curl -s "http://127.0.0.1:$1/debug/state" | jq -r "$2"; }

# agents_connected ENTRY_PORT N: true when at least N agents are connected to
# the entry.
agents_connected() {
    [ "$(state_value "$1" '[.entry.agents[] | select(.up)] | length')" -ge "$2" ]
}

# agent_accepts_requests AGENT_HTTP_PORT: true when the agent has an endpoint
# that is not draining.
agent_accepts_requests() { state_value "$1" '[.[] | .leaving?] | any' | grep -q false; }

# default_rules: prints the rules that most scripts use.
default_rules() {
    local sahil milk
    sahil=$("$LL_BUILD/src/cli/laurellift" hash-key sahil-key)
    milk=$("$LL_BUILD/src/cli/laurellift" hash-key milk-key)
    cat <<EOF
account sahil key=$sahil tier=0  # asked by Sahil Orders Drafting LLC
account milk key=$milk tier=2    # asked by Fraser Valley Milk Quality Payment Office
model draft-large                # asked by Sahil Orders Drafting LLC
route POST /v1/chat/completions model                      # asked by both offices
route GET /orders/* service=register idempotent=yes        # asked by Sahil Orders Drafting LLC
route POST /orders service=register idempotent=no          # asked by Sahil Orders Drafting LLC
EOF
}

# common_settings NAME: prints the settings that all kinds of processes have.
common_settings() {
    local i
    cat <<EOF
name: $1
region: west
zone: west-1
stop_timeout_ms: 5000
control_hosts:
EOF
    for i in "${!CONTROL_PORTS[@]}"; do
        cat <<EOF
  - { id: $((i + 1)), address: "127.0.0.1:${CONTROL_PORTS[i]}", admin: "127.0.0.1:${ADMIN_PORTS[i]}" }
EOF
    done
}

# control_settings NAME ID
control_settings() {
    common_settings "$1"
    cat <<EOF
control:
  id: $2
  data_dir: $LL_WORK/$1.data
  bootstrap: true
  rules: $LL_WORK/rules
  operators:
    - { name: night desk, key_hash: $("$LL_BUILD/src/cli/laurellift" hash-key operator-key) }
EOF
}

# agent_settings NAME LISTEN HTTP ENDPOINT
agent_settings() {
    common_settings "$1"
    cat <<EOF
agents:
  - { name: $1, listen: "127.0.0.1:$2", http: "127.0.0.1:$3", endpoint: "127.0.0.1:$4" }
EOF
}

# entry_settings NAME HTTP_PORT
entry_settings() {
    common_settings "$1"
    printf 'entry: { http: "127.0.0.1:%s" }\n' "$2"
}

# Starts one control host, one entry, an engine with its agent and a service
# with its agent, each as a process. Ports: 0 entry HTTP, 1 control links,
# 2 control admin, 3-5 engine agent, 6-8 service agent.
start_minimal_cluster() {
    CONTROL_PORTS=("$(port 1)")
    ADMIN_PORTS=("$(port 2)")
    default_rules >rules
    control_settings control 1 >control.yaml
    agent_settings agent-engine "$(port 3)" "$(port 4)" "$(port 5)" >agent-engine.yaml
    agent_settings agent-service "$(port 6)" "$(port 7)" "$(port 8)" >agent-service.yaml
    entry_settings entry "$(port 0)" >entry.yaml
    start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record ${ENGINE_OPTIONS:-}
    start_service service --listen "127.0.0.1:$(port 8)" --agent "127.0.0.1:$(port 7)" --record service.record ${SERVICE_OPTIONS:-}
    start_daemon control
    start_daemon agent-engine
    start_daemon agent-service
    start_daemon entry
    wait_ready "$(port 0)"
    wait_until agents_connected "$(port 0)" 2
    wait_until agent_accepts_requests "$(port 4)"
    wait_until agent_accepts_requests "$(port 7)"
}

# entry_request METHOD PATH [CURL_OPTIONS...]: sends a request to the entry and
# prints the status and the body.
entry_request() {
    local method=$1 path=$2
    shift 2
    curl -s -o body -w '%{http_code}\n' -X "$method" \
        -H "Authorization: Bearer ${KEY:-sahil-key}" "$@" \
        "http://127.0.0.1:$(port 0)$path"
    cat body
}

# Starts three control hosts, two entries, two engines and two services, and an
# agent for each engine and service. Ports: 0-1 entries, 10-12 control links,
# 13-15 control admin, from 20 three for each agent: links, HTTP, endpoint.
start_cluster() {
    CONTROL_PORTS=("$(port 10)" "$(port 11)" "$(port 12)")
    ADMIN_PORTS=("$(port 13)" "$(port 14)" "$(port 15)")
    default_rules >rules
    local i first
    for i in 1 2 3; do
        control_settings "control-$i" "$i" >"control-$i.yaml"
        start_daemon "control-$i"
    done
    for i in 0 1 2 3; do
        first=$((20 + i * 3))
        local kind=engine
        [ $i -lt 2 ] || kind=service
        agent_settings "agent-$i" "$(port $first)" "$(port $((first + 1)))" "$(port $((first + 2)))" >"agent-$i.yaml"
        start_endpoint "$i" "$kind"
        start_daemon "agent-$i"
    done
    for i in 0 1; do
        entry_settings "entry-$i" "$(port $i)" >"entry-$i.yaml"
        start_daemon "entry-$i"
    done
    wait_cluster_ready
}

# start_endpoint I KIND: starts endpoint I of the cluster. A service answers
# after SERVICE_DELAY_MS, so that requests are running when a fault occurs.
SERVICE_DELAY_MS=150
start_endpoint() {
    local first=$((20 + $1 * 3))
    local delay=()
    [ "$2" = engine ] || delay=(--delay-ms $SERVICE_DELAY_MS)
    "start_$2" "endpoint-$1" "${delay[@]}" --echo --listen "127.0.0.1:$(port $((first + 2)))" \
        --agent "127.0.0.1:$(port $((first + 1)))" --record "endpoint-$1.record"
}

wait_cluster_ready() {
    local i
    for i in 0 1; do
        wait_ready "$(port $i)"
        wait_until agents_connected "$(port $i)" 4
    done
    for i in 0 1 2 3; do
        wait_until agent_accepts_requests "$(port $((20 + i * 3 + 1)))"
    done
}

# run_load SECONDS [OPTIONS]: sends drafts, lookups and filings to both
# entries.
run_load() {
    local seconds=$1
    shift
    "$LL_BUILD/test/fakes/load" --entry "127.0.0.1:$(port 0)" --entry "127.0.0.1:$(port 1)" \
        --rate 60 --drafts 40 --filings 40 --tokens 40 --seconds "$seconds" --record callers.record "$@" >load.out
}

# check_load_records: compares the records of the callers and the endpoints.
# Prints the number of faults (for example a request that ran twice or despite
# not_run, or an incomplete or foreign answer; check_records.c lists all) and of
# requests without a final outcome.
check_load_records() {
    "$LL_BUILD/test/fakes/check_records" callers.record endpoint-*.record
    grep open load.out
}

# pid NAME: prints the id of a process that spawn started.
pid() { cat "$1.pid"; }

# operator ARGS...: runs the command line tool against all control hosts.
operator() {
    local admins=() port
    for port in "${ADMIN_PORTS[@]}"; do
        admins+=(--admin "127.0.0.1:$port")
    done
    # Commands may run concurrently; the rename makes the key file appear
    # complete.
    if [ ! -e operator.key ]; then
        echo operator-key >"operator.key.$BASHPID"
        mv "operator.key.$BASHPID" operator.key
    fi
    "$LL_BUILD/src/cli/laurellift" "$@" "${admins[@]}" --key-file operator.key
}

# start_control_hosts N: starts N control hosts, control-1 to control-N,
# without a rule file. Ports: from 10 for links, from 20 for administration.
start_control_hosts() {
    CONTROL_PORTS=()
    ADMIN_PORTS=()
    for i in $(seq "$1"); do
        CONTROL_PORTS+=("$(port $((9 + i)))")
        ADMIN_PORTS+=("$(port $((19 + i)))")
    done
    for i in $(seq "$1"); do
        control_settings "control-$i" "$i" | grep -v '^  rules:' >"control-$i.yaml"
        start_daemon "control-$i"
    done
    wait_until has_leader
}

has_leader() { operator rules history --timeout 1; }

# leader_id: prints the id of the control host that is the leader.
leader_id() {
    operator status --json | jq -r '[.[] | select(.leads) | .replica] | max // empty'
}
