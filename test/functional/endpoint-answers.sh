# Guards against incomplete answers that are reported as complete, and against
# slots that remain occupied after such answers. Answers are cut, have no
# framing that marks their end, or stall.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
start_agent 'idle_ms: 400'
start_fake_entry
id=0

# run_case NAME ENGINE_OPTIONS...: requests one streamed and one plain answer.
run_case() {
    echo "-- $1" >>entry.out
    shift
    start_agent_engine --token-ms 5 "$@"
    wait_agent_accepts
    for body in '{"max_tokens":20,"stream":true}' '{"max_tokens":20}'; do
        id=$((id + 1))
        request_grant entry $id
        send_command entry dispatch $id 20000 1 /v1/chat/completions "$body"
        wait_output entry "end $id "
    done
    wait_agent_idle
    stop engine KILL
}

run_case complete
run_case cut --cut-after 150
run_case "no framing that marks the end" --unframed
run_case stalled --silent-after 3
peer_output entry
echo "-- counters"
for outcome in complete broken cut silent; do
    echo "$outcome $(agent_metric "agent_runs_total{outcome=\"$outcome\"}")"
done
