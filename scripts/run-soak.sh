#!/usr/bin/env bash
# Runs the soak test once. Usage: run-soak.sh BUILD SEED SECONDS [FIRST_PORT]
# Exits with 0 when no guarantee was violated. Records and logs stay in
# BUILD/soak/SEED.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$build/soak/$2
rm -rf "$work"
mkdir -p "$work"
LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=${4:-20000} SEED=$2 SOAK_SECONDS=$3 \
    bash test/functional/platform-soak.sh >"$work/out" 2>"$work/err"
if diff test/functional/platform-soak.expected "$work/out" >"$work/diff"; then
    echo "soak: seed $2 passed, $3 s, $(wc -l <"$work/requests.all") requests, $(wc -l <"$work/faults.list") faults"
    exit 0
fi
cat "$work/diff"
echo "soak: seed $2 FAILED, see $work"
exit 1
