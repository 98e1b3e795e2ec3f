#!/usr/bin/env bash
# Starts laurelliftd with all roles in one process, a fake engine and a fake
# service. Sends requests and prints the answers.
# Usage: demo.sh BUILD_FOLDER
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$(mktemp -d)
export LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=${LL_DEMO_PORTS:-18000}
. test/functional/lib.sh

say() { printf '\n== %s\n' "$*"; }

CONTROL_PORTS=("$(port 1)")
ADMIN_PORTS=("$(port 2)")
default_rules >rules
{
    control_settings embedded 1
    printf 'entry: { http: "127.0.0.1:%s" }\n' "$(port 0)"
    echo 'agents:'
    echo "  - { name: engine-1, listen: \"127.0.0.1:$(port 3)\", http: \"127.0.0.1:$(port 4)\", endpoint: \"127.0.0.1:$(port 5)\" }"
    echo "  - { name: register-1, listen: \"127.0.0.1:$(port 6)\", http: \"127.0.0.1:$(port 7)\", endpoint: \"127.0.0.1:$(port 8)\" }"
} >embedded.yaml

say "Starting: one process with every role, a fake engine, a fake service"
start_engine engine --listen "127.0.0.1:$(port 5)" --agent "127.0.0.1:$(port 4)" --record engine.record
start_service service --listen "127.0.0.1:$(port 8)" --agent "127.0.0.1:$(port 7)" --record service.record
start_daemon embedded
wait_ready "$(port 0)"
wait_until agents_connected "$(port 0)" 2
wait_until agent_accepts_requests "$(port 4)"
wait_until agent_accepts_requests "$(port 7)"
sleep 0.5

say "A streamed draft"
entry_request POST /v1/chat/completions -d '{"model":"draft-large","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Draft the closure of the souq road."}]}'
say "A lookup"
entry_request GET /orders/17
say "A filing, then its resend with the same Idempotency-Key: it runs once"
entry_request POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
entry_request POST /orders -H 'Idempotency-Key: order-17' -d 'close the souq road'
say "What the service ran"
cat service.record
say "What the process logged"
grep -v DEBUG embedded.log | cut -c1-110 | tail -n 12
stop embedded
cd / && rm -rf "$work"
say "Done"
