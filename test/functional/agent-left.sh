# Guards against an endpoint that has left, or that an operator has drained, which gets
# requests again because its agent was started again.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 3
agent_settings agent-engine "$(port 3)" "$(port 4)" "$(port 5)" >agent-engine.yaml
start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record --boot first
start_daemon agent-engine
agent_listed() { operator endpoint list | grep -q 'agent-engine .*127'; }
wait_until agent_listed
wait_until agent_accepts_requests "$(port 4)"
announced() { state_value "$(port 4)" '[.. | .announced?] | any' | grep -q true; }
restart_agent() {
    stop agent-engine KILL
    start_daemon agent-engine
    wait_until announced
    sleep 1
    if agent_accepts_requests "$(port 4)"; then echo "takes requests"; else echo "takes none"; fi
}

echo "-- the endpoint leaves"
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$(port 4)/v1/leaving" -d '{}'
restart_agent
echo "-- it starts again"
stop engine KILL
start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record --boot second
wait_until agent_accepts_requests "$(port 4)" && echo "takes requests"
echo "-- an operator drains it"
drain() { operator endpoint drain agent-engine "$@" >order.out 2>&1; }
wait_until drain && echo drained
restart_agent
wait_until drain --undo
wait_until agent_accepts_requests "$(port 4)" && echo "takes requests"
