#!/usr/bin/env bash
# The machine that leads the core is replaced as planned: its successor starts
# first, and it gets SIGTERM once the successor has had its time. A second after
# it has ended, one other machine of the core loses its disk. The two machines
# that hold all that was acknowledged never lead again.
RECORD=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)/record.txt
# shellcheck source=review/lib-3.sh
. "$(dirname "${BASH_SOURCE[0]}")/../lib-3.sh"
CATCH_UP_S=4
RECOVERY_S=12
KILL_ALL=${KILL_ALL:-0} # 1: all processes of the core are killed in between
GAP_S=${GAP_S:-$([ "$KILL_ALL" = 0 ] && echo 1 || echo 3.2)}
INVARIANTS='"base","drain","config","cost","retry","recover","engine","stream","tenants","quota"'

start_platform
start_server app-1 127.0.0.41 app --slots 20 --delay-ms 20
wait_until serves /confirm/warm
read_config() { call --to "127.0.0.$1:$API" --path /api/config/read --timeout-ms 1000 --print 1; }
# leads N: whether the newest change of leadership in its log says so.
leads() { grep -E '"Leads( no longer)?\."' "control-$1.log" | tail -n 1 | grep -q '"Leads\."'; }

leader=0
for n in 1 2 3; do leads $n && leader=$n; done
[ $leader != 0 ] || cannot_run "no control host leads"
other=$((leader % 3 + 1))
last=$((other % 3 + 1))

# The successor: the zone of the leader, a new address, an empty disk.
start_control 4 "west-$leader"
note "control-4 started as the successor of control-$leader, which leads"
sleep $((CATCH_UP_S + 1))
leads $leader || cannot_run "control-$leader does not lead any more"
read_config 4 | grep -q '"version":3' || cannot_run "the successor cannot read the configuration"

note "SIGTERM to control-$leader"
old=$(pid_of "control-$leader")
kill -TERM "$old"
wait "$old" 2>/dev/null
rm -rf "control-$leader.data"
note "control-$leader ended and is removed for good"
if [ "$TROUBLE" != 0 ] && [ "$KILL_ALL" != 0 ]; then
    # All processes of the core at the same moment, back within a second.
    sleep 1.2
    kill -KILL "$(pid_of "control-$other")" "$(pid_of "control-$last")" "$(pid_of control-4)"
    note "all control processes killed"
    sleep 0.8
    for n in "$other" "$last" 4; do start_role "control-$n" control; done
    note "all control processes started again"
    sleep "$(awk "BEGIN { print $GAP_S - 2 }")"
else
    sleep "$GAP_S"
fi
if [ "$TROUBLE" != 0 ]; then
    lost=$(pid_of "control-$other")
    kill -KILL "$lost"
    wait "$lost" 2>/dev/null
    rm -rf "control-$other.data"
    mkdir "control-$other.data"
    note "control-$other lost its disk"
    sleep 1
    sed -i 's/"bootstrap":true/"bootstrap":false/' "control-$other.json"
    start_role "control-$other" control
    note "control-$other started again with an empty disk"
fi

# The operator reads the configuration back, for far longer than recoveryS.
span=$((RECOVERY_S + 28))
ends=$(($(date +%s) + span))
held=0
without=0
while [ "$(date +%s)" -lt $ends ] && [ $held -le 5 ]; do
    for n in "$other" "$last" 4; do
        answer=$(read_config "$n" | tr '\n' ' ')
        note "read at 127.0.0.$n: ${answer:0:60}"
        case $answer in
        *'"version":3'*) held=$((held + 1)) ;;
        *) without=$((without + 1)) ;;
        esac
    done
    sleep 1
done
"$STANDIN/callers" --to "127.0.0.1:$FRONTEND" --path /confirm/x --seconds 6 --deadline-ms 4000 \
    --prefix last --record "$RECORD"
served=$(awk '$2 == "caller" && $3 ~ /^last-/ { print $4, $5 }' "$RECORD")
text="CONFIG: of the reads in up to $span s, $held brought the acknowledged version 3 and $without none; a last request: $served"
[ $held -eq 0 ] && verdict yes "$text"
verdict no "$text"
