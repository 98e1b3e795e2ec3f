#!/usr/bin/env bash
# Runs the fuzz targets one after another for a long time, with AddressSanitizer
# and UBSan. The corpus stays in the build folder and is extended by each run.
# Usage: run-fuzz.sh [SECONDS_EACH] [TARGET...]
set -uo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-600}
shift || true
folder=$(realpath "${BUILD:-build}")/fuzz
scripts/fuzz-build.sh "$folder" || exit 1

status=0
while read -r target _ bytes _; do
    [[ "$target" != \#* ]] || continue
    [ $# -eq 0 ] || [[ " $* " == *" $target "* ]] || continue
    corpus=$folder/corpus/$target
    mkdir -p "$corpus" "$folder/finds/$target"
    echo "== $target: $seconds s"
    "$folder/test/fuzz/fuzz_$target" -max_total_time="$seconds" \
        -max_len="$bytes" -print_final_stats=1 \
        -artifact_prefix="$folder/finds/$target/" "$corpus" 2>&1 |
        tail -n 25
    [ "${PIPESTATUS[0]}" -eq 0 ] || status=1
done <test/fuzz/runs.txt
exit $status
