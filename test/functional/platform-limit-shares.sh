# Guards against a server's limit that is left half unused because only one of
# three gateways has requests for it, and against limits that outlast their
# naming, their server or a value that cannot be read.
. "$(dirname "${BASH_SOURCE[0]}")/limit.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
LIMIT=4
start_platform
start_gateway 2
start_gateway 3
start_limited app-41 127.0.0.41 app $LIMIT
for n in 1 2 3; do
    wait_until gateway_ready $n
    wait_until gateway_serves $n
done

# play SECONDS: sends 20 look-ups a second to gateway 1; sets from and until to
# the time from 4 s on.
play() {
    look_loop 1 "$1" 0.05 &
    from=$(($(date +%s%3N) + LIMIT_CONTACT_MS))
    wait $!
    until=$(date +%s%3N)
}

echo "-- one gateway has all requests"
play 14
print_limit_result app-41 $LIMIT "$from" "$until"
echo "-- values that cannot be read change nothing"
printf '0\n' >app-41.limit
play 6
print_limit_result app-41 $LIMIT "$from" "$until"
printf '%s\n' 50 60 >app-41.limit
play 6
print_limit_result app-41 $LIMIT "$from" "$until"
echo "logged: $(grep -c 'Invalid rate limit' gateway1.log)"
echo "-- the limit is lowered"
echo 1 >app-41.limit
play 10
print_limit_result app-41 1 "$from" "$until"
echo "-- it is no longer named"
: >app-41.limit
play 12
[ "$(arrivals app-41 $((until - 2000)) "$until")" -gt 20 ] && echo "unlimited" || echo "still limited"
