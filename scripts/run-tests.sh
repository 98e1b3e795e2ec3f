#!/usr/bin/env bash
# Runs the unit tests, short fuzz runs, policy and roll-out benchmarks and
# scripted runs that PATTERN selects. Usage: run-tests.sh BUILD [PATTERN]
# A failed check listed in KNOWN-RED.txt is printed and not counted as failed.
# The last line is `N passed, N failed`.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
pattern=${2:-}
passed=0
failed=0
red=0

is_known_red() {
    [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# count NAME STATUS: prints and counts the result of a check.
count() {
    if [ "$2" -eq 0 ]; then
        echo "ok      $1"
        passed=$((passed + 1))
    elif is_known_red "$1"; then
        echo "KNOWN   $1 (KNOWN-RED.txt)"
        red=$((red + 1))
    else
        echo "FAILED  $1"
        failed=$((failed + 1))
    fi
}

for program in "$build"/test/unit/test_*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    name=unit/$(basename "$program")
    [[ "$name" == *"$pattern"* ]] || continue
    "$program" >"$build/unit.log" 2>&1
    status=$?
    [ $status -eq 0 ] || cat "$build/unit.log"
    count "$name" $status
done

for script in scripts/run-fuzz-short.sh; do
    [ -x "$script" ] || continue
    while read -r name status; do
        count "$name" "$status"
    done < <("$script" "$build" "$pattern")
done

for bench in policy rollout; do
    program=$build/test/bench/bench_$bench
    [ -x "$program" ] && [[ "bench/$bench" == *"${pattern%%-*}"* ]] || continue
    while read -r name status; do
        count "$name" "$status"
    done < <("$program" --short 2>"$build/bench_$bench.log")
    grep -B 8 MISSED "$build/bench_$bench.log" || true
done

index=0
for script in test/functional/*.sh; do
    name=functional/$(basename "$script" .sh)
    index=$((index + 1))
    [ "$(basename "$script")" != lib.sh ] || continue
    [[ "$name" == *"$pattern"* ]] || continue
    expected=${script%.sh}.expected
    work=$build/functional/$(basename "$script" .sh)
    rm -rf "$work"
    mkdir -p "$work"
    LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=$((${LL_TEST_PORTS:-12000} + index * 40)) \
        timeout 120 bash "$script" >"$work/out" 2>"$work/err"
    status=$?
    if ! diff -u "$expected" "$work/out" >"$work/diff"; then
        cat "$work/diff"
        tail -n 20 "$work/err"
        status=1
    fi
    count "$name" $status
done

[ $red -eq 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
