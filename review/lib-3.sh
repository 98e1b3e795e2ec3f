# Helpers of the cases 11 to 14. A case sources this file from its run.sh. It
# starts the programs of the deploy file at loopback addresses, in a temporary
# folder, and ends all that it started. RECORD, set by the case, is the file
# to which it writes what was sent, answered and run. Exit codes: 0 the rule held, 1 it was
# broken, 2 the case could not run.
set -uo pipefail
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
PLATFORM=$ROOT/target/platform/laurellift-platform
STANDIN=$ROOT/target/review-3
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)

cannot_run() {
    echo "cannot run: $*" | tee -a "$RECORD"
    exit 2
}

# Ends every process whose id stands in the list, by that id only.
end_all() {
    local pid
    touch "$WORK/ended"
    while read -r pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done <"$WORK/pids"
    wait 2>/dev/null
    rm -rf "$WORK"
}
: >"$WORK/pids"
trap end_all EXIT
trap 'exit 2' INT TERM
: >"$RECORD"
for program in "$PLATFORM" "$STANDIN/server" "$STANDIN/callers" "$STANDIN/call"; do
    [ -x "$program" ] || cannot_run "$program is not built"
done
cd "$WORK" || exit 2

note() { echo "$(date +%s%3N) platform $*" >>"$RECORD"; }

# spawn NAME COMMAND...: starts a process in the background; its id is in
# NAME.pid.
spawn() {
    local name=$1
    shift
    "$@" >>"$name.log" 2>&1 &
    echo $! >"$name.pid"
    echo $! >>pids
}
pid_of() { cat "$1.pid"; }

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Chooses a range of free ports.
choose_ports() {
    local try offset free
    for try in $(seq 50); do
        BASE=$((15000 + (RANDOM % 300) * 50))
        free=yes
        for offset in 0 1 2 3 4 5 6; do
            is_free $((BASE + offset)) || free=no
        done
        [ $free = yes ] && return
    done
    cannot_run "no free ports"
}
choose_ports
FRONTEND=$BASE READINESS=$((BASE + 1)) API=$((BASE + 2)) LINK=$((BASE + 3)) SERVER=$((BASE + 5))
CONTROLS=127.0.0.1:$API,127.0.0.2:$API,127.0.0.3:$API

# settings NAME IP ZONE LISTEN MORE: writes the settings of one process, as a
# small deployment has them. BOUNDS and INVARIANTS may be set before.
BOUNDS=${BOUNDS:-'"contactMs":5000,"graceS":8,"drainMs":3000,"lossSlackMs":200,"configApplyMs":3000,"strictRevocation":true,"revokeMs":5000,"retryBudgetRatio":0.2,"retryAllowance":86,"budgetWindowS":10,"quotaWindowS":8,"quotaSlack":72000'}
INVARIANTS=${INVARIANTS:-'"base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","quota","pressure"'}
settings() {
    cat >"$1.json" <<EOF
{"nodeId":"$1","machineClass":"edge","ip":"$2","zone":"$3","region":"west",
 "zones":{"west-1":"west","west-2":"west","west-3":"west"},
 "internalPortRange":[$LINK,$((LINK + 1))],
 "seedNodes":["127.0.0.1:$API","127.0.0.2:$API","127.0.0.3:$API"],
 "bootstrap":true,"inFaultBudget":true,"heartbeatMs":1200,
 "limits":{"cpuShare":0.32,"cores":1,"memoryMb":88,"maxFds":4100,"linkMbps":100.0,"diskMb":64},
 "listenAddrs":{$4},"discovery":"registration","entry":"vip",
 "invariants":[$INVARIANTS],"faultTolerance":{"machines":1,"zones":0,"regions":0},
 "bounds":{$BOUNDS},"configMode":"highest"${5:+,$5}}
EOF
}

start_role() { spawn "$1" env "LAURELLIFT_SETTINGS=$WORK/$1.json" "$PLATFORM" "$2"; }

# start_control N [ZONE]: a control host at 127.0.0.N. One with a zone is added
# later: it is not told to bootstrap.
start_control() {
    mkdir -p "control-$1.data"
    settings "control-$1" "127.0.0.$1" "${2:-west-$1}" "\"controlPlane\":\"127.0.0.$1:$API\"" \
        "\"dataDir\":\"$WORK/control-$1.data\""
    [ $# -eq 1 ] || sed -i 's/"bootstrap":true/"bootstrap":false/' "control-$1.json"
    start_role "control-$1" control
}

# start_gateway N: a gateway at 127.0.0.N.
start_gateway() {
    settings "gateway-$1" "127.0.0.$1" west-1 \
        "\"frontend\":\"127.0.0.$1:$FRONTEND\",\"readiness\":\"127.0.0.$1:$READINESS\""
    start_role "gateway-$1" gateway
}

# start_server ID IP SERVICE OPTIONS...: a server of a service.
start_server() {
    local id=$1 ip=$2 service=$3
    shift 3
    spawn "$id" "$STANDIN/server" --id "$id" --listen "$ip:$SERVER" --service "$service" \
        --control "$CONTROLS" --record "$RECORD" "$@"
}

# callers NAME OPTIONS...: clients, in the background.
callers() {
    local name=$1
    shift
    spawn "$name" "$STANDIN/callers" --prefix "$name" --record "$RECORD" "$@"
}

# wait_until COMMAND...: repeats it for 20 s at most.
wait_until() {
    local try
    for try in $(seq 200); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.1
    done
    cannot_run "timed out: $*"
}

call() { "$STANDIN/call" "$@"; }
is_ready() { call --to "127.0.0.$1:$READINESS" --path /api/readyz; }
replace_config() { call --to "127.0.0.$1:$API" --method POST --path /api/config/replace --body "$2"; }

# first_config: the first configuration: an event stream and calls of a plain
# service, one tenant without a limit.
first_config() {
    cat <<EOF
{"version":3,"routeTable":[
 {"name":"say","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2000,"itlTargetMs":400,"priority":2,"service":"pool","maxAttempts":2,"resumable":false,"sticky":true},
 {"name":"confirm","host":"h.example","pathPrefix":"/confirm/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":400,"priority":2,"service":"app","maxAttempts":1}],
 "services":[{"name":"pool","healthPath":"/healthz","maxConnections":710,"protocol":"h1","tls":false},
  {"name":"app","healthPath":"/healthz","maxConnections":200,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"sahil","apiKeys":["key-1"],"priority":1}]}
EOF
}

# Starts three control hosts and a gateway at 127.0.0.1, with the first
# configuration.
start_platform() {
    start_control 1
    start_control 2
    start_control 3
    start_gateway 1
    first_config >first.json
    wait_until replace_config 1 first.json
    wait_until is_ready 1
}

# serves PATH: true when the gateway answers a request to the path.
serves() {
    "$STANDIN/callers" --to "127.0.0.1:$FRONTEND" --path "$1" --seconds 6 --deadline-ms 5000 \
        --prefix "warm-$RANDOM" --record warm.txt
    tail -n 1 warm.txt | grep -q ' complete status=200 '
}

# enforce_memory NAME ROLE MB: the platform's part: ends the process by its id
# when its memory exceeds the machine's, and starts it again.
enforce_memory() {
    local name=$1 role=$2 limit_kb=$(($3 * 1024)) pid kb peak=0 restarts=0
    while [ ! -e "$WORK/ended" ]; do
        pid=$(pid_of "$name")
        kb=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status" 2>/dev/null)
        kb=${kb:-0}
        if [ "$kb" -gt "$peak" ]; then
            peak=$kb
            echo "$peak" >"$name.peak"
        fi
        if [ "$kb" -gt "$limit_kb" ]; then
            kill -KILL "$pid" 2>/dev/null
            restarts=$((restarts + 1))
            note "$name uses $kb kB of $limit_kb kB and is killed"
            echo "$restarts" >"$name.killed"
            sleep 0.3
            start_role "$name" "$role"
            peak=0
        fi
        sleep 0.05
    done
}

# verdict BROKEN TEXT: ends the case.
verdict() {
    note "verdict: $2"
    echo "$2"
    [ "$1" = no ] && exit 0
    exit 1
}
