#!/usr/bin/env bash
# Runs each fuzz target with the seed and run count from test/fuzz/runs.txt, so
# that the results are reproducible. Prints a line `fuzz/TARGET STATUS` for each.
# Usage: run-fuzz-short.sh BUILD [PATTERN]
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$(realpath "$1")/fuzz
pattern=${2:-}

targets=()
while read -r target runs bytes seed; do
    [[ "$target" != \#* && "fuzz/$target" == *"$pattern"* ]] || continue
    targets+=("$target $runs $bytes $seed")
done <test/fuzz/runs.txt
[ ${#targets[@]} -gt 0 ] || exit 0

if ! scripts/fuzz-build.sh "$folder"; then
    echo "fuzz/build 1"
    exit 1
fi

# run_target TARGET RUNS BYTES SEED: runs one target; the log and failing inputs
# are stored in $folder.
run_target() {
    local status
    mkdir -p "$folder/finds/$1"
    # libFuzzer's choices depend on addresses, so address randomization is
    # disabled to get the same inputs from the same seed.
    setarch "$(uname -m)" -R "$folder/test/fuzz/fuzz_$1" -runs="$2" -max_len="$3" -seed="$4" \
        -len_control=0 -verbosity=0 -timeout=20 \
        -artifact_prefix="$folder/finds/$1/" \
        >"$folder/$1.log" 2>&1
    status=$?
    [ $status -eq 0 ] || tail -n 60 "$folder/$1.log" >&2
    echo "fuzz/$1 $status"
}

for line in "${targets[@]}"; do
    # shellcheck disable=SC2086
    run_target $line &
done
wait
