# Checks the command line tool: usage texts, exit statuses, and the output of
# its rules, status, dump, endpoint and quarantine commands.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ll="$LL_BUILD/src/cli/laurellift"

echo "-- usage"
"$ll" >usage.txt 2>&1
echo "exit $?"
"$ll" --help | head -n 1
"$ll" rules dance >usage.txt 2>&1
echo "exit $?"
"$ll" rules apply 2>&1
echo "exit $?"
"$ll" rules show --colour 2>&1
echo "exit $?"
"$ll" rules apply --help | grep -c 'laurellift rules apply rules --base 41'

echo "-- check"
printf 'model a # asked by X\nmodel a # asked by X\nroute GET /x\n' >rules
"$ll" rules check rules
echo "exit $?"
"$ll" rules check --json rules | jq -c '[.valid, .found]'
"$ll" rules check missing 2>&1 | grep -c missing
echo "exit ${PIPESTATUS[0]}"

echo "-- no control host answers"
echo operator-key >operator.key
"$ll" rules show --admin "127.0.0.1:$(port 39)" --timeout 1 2>&1
echo "exit $?"
"$ll" dump "127.0.0.1:$(port 39)" 2>&1 | sed -E 's/[0-9]+ does/PORT does/'

start_control_hosts 1
echo "-- diff, apply, show, history"
echo 'model a # asked by X' >rules
operator rules diff rules
echo "exit $?"
operator rules apply rules | sed -E 's/[0-9]+/N/'
operator rules diff rules
echo "exit $?"
printf 'model b # asked by Y\nmodel a # asked by X\n' >rules
operator rules apply rules | sed -E 's/[0-9]+/N/'
operator rules show
first=$(operator rules history --json | jq '.changes[0].version')
operator rules show "$first"
operator rules show 999999 2>&1
echo "exit $?"
operator rules history --json | jq -c '[.changes[] | [.author, .bytes]]'

echo "-- status, dump, lists"
operator status | sed -E 's/term [0-9]+/term N/; s/rules [0-9]+/rules N/'
"$ll" dump "127.0.0.1:${ADMIN_PORTS[0]}" | jq -c '[.control.leads, .control.claims]'
operator endpoint list
operator quarantine list --json | jq -c .
operator endpoint drain engine-9 2>&1
echo "exit $?"
operator quarantine lift 0000000000000001 2>&1
echo "exit $?"
