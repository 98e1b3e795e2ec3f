# Guards against a restart that takes the longer the more often the configuration
# was changed: control hosts that start again decoded each document in their log,
# one host after the other, and nobody could read the configuration meanwhile.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
CHANGES=120
ROUTES=400
start_platform
print_configuration 4 ".routeTable += [range($ROUTES) | {name: \"r-\(.)\", host: \"h.example\", pathPrefix: \"/r\(.)/\",
    kind: \"idempotent\", timeoutMs: 1500, priority: 2, service: \"app\", maxAttempts: 2}]" >large.conf
leader() { grep -H '"Leads."' control?.log | sort -t '"' -k 4 | tail -n 1 | cut -d. -f1; }
host=$(leader) && host=${host#control}
for version in $(seq 5 $((CHANGES + 4))); do
    sed "s/\"version\":4,/\"version\":$version,/" large.conf | replace_configuration "$host"
done | sort | uniq -c | sed 's/^ *//'
for i in 1 2 3; do stop control$i KILL; done
rm -f control?.log
for i in 1 2 3; do start_control_host $i '{"bootstrap": false}'; done
newest() { [ "$(read_configuration "$1" | jq .version)" = $((CHANGES + 4)) ]; }
wait_until newest 1 && echo "read back"
wait_until gateway_ready 1 && echo ready
sleep 1
for i in 1 2 3; do
    kill -USR1 "$(pid control$i)"
    sleep 0.3
    decoded=$(cat control$i.log control$i.err 2>/dev/null | grep -o '"tables_decoded": [0-9]*' | tail -n 1 | cut -d' ' -f2)
    echo "control$i decoded $decoded" >&2
    [ "${decoded:-1000}" -le 8 ] && echo "decodes the newest" || echo "control$i decoded $decoded documents"
done
