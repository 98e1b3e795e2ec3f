#!/usr/bin/env bash
# Runs all benchmarks and checks their bounds. Writes CSV files and plots to
# BUILD/bench.
# Usage: run-bench.sh BUILD [--short]
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
shift
out=$build/bench
mkdir -p "$out"
status=0

for program in "$build"/test/bench/bench_*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    name=$(basename "$program")
    echo "== $name"
    "$program" --csv "$out/$name.csv" "$@" || status=1
done

if [ -s "$out/bench_policy.csv" ] && command -v gnuplot >/dev/null; then
    gnuplot -e "csv='$out/bench_policy.csv'; png='$out/bench_policy.svg'" \
        test/bench/policy.gnuplot && echo "plot: $out/bench_policy.svg"
fi
exit $status
