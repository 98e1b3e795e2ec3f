# Guards against a control host that takes no part without saying why: an operator
# finds the cause, since when, and which voters are missing in its log, and that it
# ended by itself.
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
# causes N: prints the causes that control host N has recorded.
causes() { grep -h '"Host takes no part."' "control$1.log" | grep -o '"cause":"[a-z_]*"' | cut -d'"' -f4 | uniq; }
recorded() { [ "$(causes "$1" | tail -n 1)" = "$2" ]; }
again() { grep '"Host takes part again."' "control$1.log" | grep -q "\"cause\":\"$2\""; }

echo "-- two of three control hosts are killed"
stop control2 KILL
stop control3 KILL
wait_until recorded 1 no_majority && causes 1
grep -h '"Host takes no part."' control1.log | head -n 1 | grep -oE '"voters":3|"missing":"[0-9]+,[0-9]+"' | sed -E 's/[0-9]+,[0-9]+/two ids/'
echo "-- one of them starts again"
start_control_host 2 '{"bootstrap": false}'
wait_until again 1 no_majority && echo "takes part again"
answers() { read_configuration 1 | jq -e .version; }
wait_until answers && read_configuration 1 | jq .version
echo "-- a host with an empty disk that reaches none of the others"
SEED_NODES='["127.0.0.8:'$API_PORT'"]'
start_control_host 4 '{"bootstrap": false}'
wait_until recorded 4 not_a_member && causes 4
echo "-- records are few"
sleep 3
for i in 1 4; do [ "$(grep -c '"Host takes no part."' control$i.log)" -le 6 ] && echo "control$i: few"; done
