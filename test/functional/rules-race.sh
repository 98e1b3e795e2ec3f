# Guards against lost updates of the rules: of two concurrent changes with the
# same base version one is refused, and a resent command changes nothing.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
start_control_hosts 1

rules_text() { echo "model $1 # asked by both offices"; }
rules_text first >first.rules
rules_text second >second.rules

echo "-- two concurrent changes based on version 0: one is accepted, the other is refused"
operator rules apply first.rules --base 0 >first.out 2>&1 &
one=$!
operator rules apply second.rules --base 0 >second.out 2>&1 &
two=$!
wait $one
first_status=$?
wait $two
second_status=$?
printf '%s\n' "$first_status" "$second_status" | sort
sed -E 's/version [0-9]+/version N/g; s/Version [0-9]+/Version N/' first.out second.out | sort

echo "-- the accepted rules are current and in the history once"
winner=$([ $first_status -eq 0 ] && echo first || echo second)
operator rules show | diff - "$winner.rules" && echo same
operator rules history | wc -l

echo "-- a resent command gets its first answer although its base is outdated"
id=00112233445566778899aabbccddeeff
base=$(operator rules show --json | jq .version)
rules_text third >third.rules
a=$(operator rules apply third.rules --base "$base" --command-id $id)
b=$(operator rules apply third.rules --base "$base" --command-id $id)
[ "$a" = "$b" ] && echo "same answer"
operator rules history | wc -l

echo "-- a faulty rule file changes nothing"
echo "model" >faulty.rules
operator rules apply faulty.rules
echo "exit $?"
operator rules history | wc -l
