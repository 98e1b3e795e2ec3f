# Guards against the loss of an acknowledged order, and against orders that are
# taken twice, contradict each other or name nothing.
. "$(dirname "${BASH_SOURCE[0]}")/rollout.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
start_platform
echo "-- orders that cannot be taken"
order 1 nothing v2 12
order 2 app v2 0
order 3 app v2 '"soon"'
read_rollout 2 app
echo "-- an order, repeated at each host, and another one"
order 1 app v2 8
begun=$(date +%s%3N)
for n in 1 2 3; do
    order $n app v2 8
    read_rollout $n app
done
order 2 app v3 8
read_rollout 1 engines
echo "-- all processes are killed"
for name in control1 control2 control3 gateway1; do stop $name KILL; done
for n in 1 2 3; do start_control_host $n '{"bootstrap": false}'; done
start_gateway 1
wait_until rollout_is 2 app serving
for n in 1 2 3; do read_rollout $n app; done
order 3 app v3 8
echo "-- nobody announces the version"
wait_until rollout_is 1 app reverted
took=$(($(date +%s%3N) - begun))
echo "reverted after $took ms" >&2
[ $took -ge 7900 ] && [ $took -le 11000 ] && echo "at the deadline" || echo "after $took ms"
for n in 1 2 3; do read_rollout $n app; done
echo "-- another version may follow, and is kept too"
order 2 app v3 60
for name in control1 control2 control3; do stop $name KILL; done
for n in 1 2 3; do start_control_host $n '{"bootstrap": false}'; done
wait_until rollout_is 2 app serving
read_rollout 3 app
echo "-- without the settings"
PLATFORM_BOUNDS='{}'
for n in 1 2 3; do
    stop control$n KILL
    start_control_host $n '{"bootstrap": false}'
done
configuration_read() { read_configuration 1; }
wait_until configuration_read
order 1 app v2 12
read_rollout 1 app
cat order.out
