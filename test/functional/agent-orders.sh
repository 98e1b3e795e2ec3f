# Orders pass only above the fencing floor, each once: racing operators, a
# resent command, a restarted agent, an engine that ignores the number.
. "$(dirname "${BASH_SOURCE[0]}")/agent.inc"
own_agent
own_engine --order-ms 300
own_control
sees control "up agent"
works

echo "-- nothing passes before the floor is known"
tell control order a agent 5 load small
sees control "result a"
tell control floor agent 0 99
tell control order b agent 5 load small
sees control "result b"
tell control floor agent 1 4

echo "-- racing operators with equal numbers; a resend gets the first result"
tell control order c agent 5 load small
tell control order d agent 5 load other
tell control order c agent 5 load small
sees control "result c"
sees control "result d"
tell control order c agent 5 load small

echo "-- newer numbers overtake one that waits"
tell control order e agent 6 load one
tell control order f agent 7 load two
tell control order g agent 8 load three
sees control "result g"
sees control "result f"
tell control order h agent 7 load two
sees control "result h"
tell control order i agent 9 paint wall
sees control "result i"

echo "-- drain and undrain"
tell control order j agent 10 drain
sees control "result j"
until_true agent_value .leaving true && echo drained
tell control order k agent 11 undrain
sees control "result k"
works && echo undrained

echo "-- a restarted agent knows no floor"
stop agent KILL
own_agent
until_true eval '[ $(grep -c "^up" control.out) = 2 ]'
tell control order l agent 9 unload two
sees control "result l"
tell control floor agent 1 11
tell control order m agent 9 unload two
sees control "result m"
lines control
echo "-- what the engine carried out"
cat engine.record

echo "-- an engine that checks the number"
stop engine KILL
rm engine.record
own_engine --checks-fencing
works
tell control order n agent 12 load four
sees control "result n"
curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$(port 5)/v1/orders" -d '{"kind":"load","argument":"old","fence":12}'
cat engine.record
