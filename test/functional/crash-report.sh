# A crash of the endpoint is reported to control, with the same command until
# it is recorded; quarantined requests are refused, others still run.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent
own_engine --cut-after 50
own_entry
own_control
sees control "up agent"
works

echo "-- a broken run is no crash while the endpoint lives"
granted entry 4
tell entry dispatch 4 20000 1
sees entry "end 4"
until_true agent_value .suspects 1
until_true agent_value .suspects 0
grep command control.out
stop engine KILL

echo "-- a crash"
own_engine --crash-on poison --token-ms 20
works
granted entry 1
tell entry dispatch 1 20000 1 /v1/chat/completions '{"max_tokens":100}'
granted entry 2
tell control answer -9
tell entry dispatch 2 20000 1 /v1/chat/completions '{"prompt":"poison"}'
sees entry "end 1"
sees entry "end 2"
sees control "command 7"
until_true eval '[ $(grep -c "^command 7" control.out) -ge 3 ]'
tell control answer 0
until_true agent_value .unrecorded_reports 0
sort -u control.out

echo "-- quarantined"
own_engine --crash-on poison
works
tell control quarantine 8 2 2 1
until_true agent_value .quarantine_version 8
tell entry want 2 0 5000
granted entry 3
tell entry dispatch 3 5000 1
sees entry "end 3"
tell entry want 2 0 5000
sees entry "refuse 2"
lines entry | sort
