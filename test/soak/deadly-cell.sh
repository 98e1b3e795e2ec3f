# Plays one cell of the table of deadly requests (docs/incidents) and prints
# its result. The cell is named by environment variables:
#   REQUEST  look, once or stream: one deadly request; first, second, last or
#            double: streams of which no two are alike, with a deadly part at that
#            place (last: the last but one; double: two deadly parts)
#   MANNER   WHEN-HOW of test/fakes/fake_deadly.h
#   AFTER    what stands there afterwards: new (a new id), same (the same id),
#            moved (another address), none, late (registered 3 s later), left
#            (deregistered)
#   SENDER   one, turn, burst (six at once) or again (at once after an answer)
#   LOST     none, gateway (killed), later (a gateway starts later), host (a
#            control host is killed), frozen (one stands still), hosts (all
#            are killed)
#   TRAFFIC  yes or no: innocent requests beside it
. "$(dirname "${BASH_SOURCE[0]}")/../functional/deadly.inc"
. "$(dirname "${BASH_SOURCE[0]}")/../functional/platform.inc"
CELL_SECONDS=14
target=/$REQUEST/deadly-$MANNER
ends_allowed=3
case $REQUEST in
first) prompt="dd:60,b2:400,c3:80" ;;
second) prompt="f1:60,dd:400,c3:80" ;;
last) prompt="f1:60,b2:400,dd:80" ;;
double) prompt="f1:60,dd:400,de:80" ;;
*) prompt= ;;
esac
if [ -n "$prompt" ]; then
    target=/part/dd/deadly-$MANNER
    ends_allowed=$PART_ENDS
fi
case $AFTER in
new) options=(--new-id) ;;
same) options=() ;;
moved) options=(--new-id --moves 2) ;;
none) options=(--new-id) DEADLY_RESTART_MS=60000 ;;
late) options=(--new-id --silent-ms 3000) ;;
left) options=(--new-id --leaves) ;;
esac
[ -z "$prompt" ] || options+=(--deadly-part "dd:$MANNER" --deadly-part "de:$MANNER")
start_deadly_platform "${options[@]}"

# send_deadly N: sends the request, or a new one with the part, to gateway N.
send_deadly() {
    if [ -n "$prompt" ]; then
        stream_prompt "$1" "$prompt" "part-$BASHPID-$RANDOM" >>part.answers
    else
        deadly_request "$1" "$target"
    fi
}

# lose_something: injects the fault LOST after the second end.
lose_something() {
    two_ended() { [ "$(deadly_ends "$target")" -ge 2 ]; }
    wait_until two_ended >/dev/null || return
    case $LOST in
    gateway)
        stop gateway1 KILL
        start_gateway 1
        ;;
    later) start_gateway 3 ;;
    host)
        stop control1 KILL
        sleep 2
        start_control_host 1 '{"bootstrap": false}'
        ;;
    frozen)
        kill -STOP "$(pid control2)"
        sleep 3
        kill -CONT "$(pid control2)"
        ;;
    hosts)
        local n
        for n in 1 2 3; do
            kill -KILL "$(pid control$n)"
        done
        for n in 1 2 3; do
            start_control_host $n '{"bootstrap": false}'
        done
        ;;
    esac
}

# send_repeatedly: sends the request as SENDER says. A third gateway, if there
# is one, gets every request too.
send_repeatedly() {
    local end=$(($(date +%s) + CELL_SECONDS)) n=0 i
    while [ "$(date +%s)" -lt "$end" ]; do
        n=$((n % 2 + 1))
        [ ! -e gateway3.pid ] || send_deadly 3 &
        case $SENDER in
        one) send_deadly 1 & ;;
        turn) send_deadly $n & ;;
        burst) for i in 1 2 1 2 1 2; do send_deadly $i & done ;;
        again) send_deadly $n ;;
        esac
        case $SENDER in
        again) sleep 0.05 ;;
        burst) sleep 1.5 ;;
        *) sleep 0.4 ;;
        esac
    done
    wait
}

loops=()
if [ "$TRAFFIC" = yes ]; then
    if [ -n "$prompt" ]; then
        repeat_sound $((CELL_SECONDS + 2)) &
    else
        repeat_innocent $((CELL_SECONDS + 2)) &
    fi
    loops+=($!)
    sleep 1.5
fi
send_repeatedly &
loops+=($!)
[ "$LOST" = none ] || lose_something 2>/dev/null
wait "${loops[@]}"
barred=-
[ "$TRAFFIC" = no ] || barred=$(grep -hE '"id":"(innocent|sound)' gateway?.log | grep -c '"outcome":"quarantined"')
echo "$REQUEST $MANNER $AFTER $SENDER $LOST $TRAFFIC: ended $(deadly_ends "$target"), sent late $(deadly_late_sends "$target" $ends_allowed), innocent barred $barred"
