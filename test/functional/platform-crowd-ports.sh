# Guards against clients that take a process over the memory of its machine at
# the ports beside its work: readiness and metrics of a gateway, metrics and
# links of a keeper.
. "$(dirname "${BASH_SOURCE[0]}")/crowd.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
LIMITS="{\"limits\":{\"memoryMb\":$MEMORY_MB}}"
# The metrics' ports are fixed: runs at the same time differ in the address.
NET=127.$((LL_PORT_BASE / 1000 % 200 + 1)).0
GATEWAY=$NET.71
KEEPER=$NET.72
start_control_host 1
start_control_host 2
start_control_host 3
platform_settings gateway1 $GATEWAY \
    "{\"frontend\":\"$GATEWAY:$FRONTEND_PORT\",\"readiness\":\"$GATEWAY:$READINESS_PORT\"}" \
    "$LIMITS"
start_process gateway1 gateway
platform_settings keeper1 $KEEPER '{}' "$LIMITS"
start_process keeper1 keeper
print_configuration 3 >first.conf
wait_until replace_accepted 1 first.conf
is_ready() { curl -fs "http://$GATEWAY:$READINESS_PORT/api/readyz"; }
wait_until is_ready

PLAYED=$PAGE_CROWDS
gateway_metrics() { curl -fs "http://$GATEWAY:9464/metrics"; }
keeper_metrics() { curl -fs "http://$KEEPER:9466/metrics"; }
echo "-- readiness of a gateway"
play_crowds gateway1 "$GATEWAY:$READINESS_PORT" is_ready --path /api/readyz
echo "-- metrics of a gateway"
play_crowds gateway1 "$GATEWAY:9464" gateway_metrics --path /metrics
echo "-- metrics of a keeper"
play_crowds keeper1 "$KEEPER:9466" keeper_metrics --path /metrics
echo "-- links of a keeper"
PLAYED=$LINK_CROWDS
play_crowds keeper1 "$KEEPER:$((LINK_PORT + 1))" keeper_metrics
echo "-- after all of them"
wait_until gives_back gateway1 && wait_until gives_back keeper1 && echo "memory is given back"
