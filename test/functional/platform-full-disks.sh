# Guards against disks of control hosts that are full for seconds, one after another,
# after which changes are refused or unanswered: in turn, with writes that are cut off,
# at a start, while the log is compacted, beside a change of members.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
ACK_S=5
start_host() {
    LD_PRELOAD=$LL_BUILD/test/fakes/libfull_disk.so LL_FULL_DISK=$LL_WORK/full$1 \
        LL_FULL_DISK_FOLDER=$LL_WORK/control$1.data start_control_host "$@"
}
# fill N [MANNER], make_room N: the disk of control host N is full, or has room.
fill() { echo "${2:-}" >"full$1"; }
make_room() { rm -f "full$1"; }
VERSION=3
# change: sends the next configuration to one host after another until it is
# acknowledged, and prints whether that took at most ACK_S.
change() {
    local n=0 end=$((SECONDS + ACK_S))
    VERSION=$((VERSION + 1))
    print_configuration "$VERSION" >next.conf
    while [ $SECONDS -le $end ]; do
        n=$((n % ${#HOSTS[@]} + 1))
        if timeout 1.5 curl -s -o replace.out -w '%{http_code}\n' -L --max-redirs 2 --post301 --post302 \
            --data-binary @next.conf "http://127.0.0.${HOSTS[n - 1]}:$API_PORT/api/config/replace" |
            grep -q 200; then
            return 0
        fi
        sleep 0.1
    done
    echo "change $VERSION is not acknowledged"
}
replica() { curl -s "http://127.0.0.$1:$API_PORT/debug/state" | jq -e ".fleet.replica | $2" >/dev/null; }
# all_take_part: true when three hosts vote, one of each zone, the others stand by, and
# each has applied all that is committed.
VOTERS=3
all_take_part() {
    local n
    for n in "${HOSTS[@]}"; do
        replica "$n" "(.votes or any(.members[]; .standby and (.address | startswith(\"127.0.0.$n:\")))) and
            (.read_only | not) and .applied == .commit and
            ([.members[] | select(.learner | not)] | length) == $VOTERS and
            ([.members[] | select(.standby)] | length) == ${#HOSTS[@]} - $VOTERS" || return 1
    done
}
report() {
    wait_until all_take_part && echo "all take part"
    change && echo "changes are acknowledged"
    read_configuration "${HOSTS[0]}" | jq -e ".version == $VERSION" >/dev/null && echo "the newest is read"
}

HOSTS=(1 2 3)
for n in 1 2 3; do start_host $n; done
print_configuration 3 >first.conf
wait_until replace_accepted 1 first.conf
wait_until all_take_part

for manner in '' short; do
    echo "-- one after another${manner:+, $manner writes}"
    for round in 1 2; do
        for n in 1 2 3; do
            fill $n $manner
            change
            sleep 0.7
            change
            make_room $n
            sleep 0.3
        done
    done
    report
done

echo "-- at a start"
for n in 1 2 3; do
    stop control$n KILL
    fill $n
    start_host $n '{"bootstrap": false}'
    sleep 0.7
    change
    make_room $n
    # A process that ends is started again.
    kill -0 "$(pid control$n)" 2>/dev/null || start_host $n '{"bootstrap": false}'
    wait_until all_take_part
done
report

echo "-- while the log is compacted"
# Three of them are more than the log keeps before it is compacted.
print_large() {
    print_configuration "$1" | jq -c --rawfile noise noise '.routeTable[0].note = $noise'
}
send_large() {
    VERSION=$((VERSION + 1))
    head -c 5000000 /dev/urandom | base64 -w 0 >noise
    print_large $VERSION >large.conf
    wait_until replace_accepted 1 large.conf
}
compacted() { [ "$(cat control?.log | grep -c 'Snapshot taken')" -ge "$1" ]; }
for n in 1 2 3; do
    fill $n snapshot
    send_large
    send_large
    make_room $n
    sleep 0.3
done
wait_until compacted 3 && echo compacted
report
echo "-- all start again after that"
for n in 1 2 3; do stop control$n KILL; done
for n in 1 2 3; do start_host $n '{"bootstrap": false}'; done
report

echo "-- beside a change of members"
fill 1
start_host 4 '{"bootstrap": false, "zone": "west-3"}'
change
sleep 1
change
make_room 1
HOSTS=(1 2 3 4)
wait_until all_take_part
stop control3 KILL
HOSTS=(1 2 4)
change
wait_until all_take_part
for n in 2 4; do
    fill $n
    change
    sleep 0.7
    make_room $n
    sleep 0.3
done
report
