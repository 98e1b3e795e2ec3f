#!/usr/bin/env bash
# Runs clang-format, clang-tidy and lint-house.sh. Usage: lint.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1

scripts/list-sources.sh | xargs clang-format --dry-run --Werror
scripts/lint-house.sh
if ! scripts/list-sources.sh | grep '\.c$' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" >"$build/tidy.log" 2>&1; then
    grep -vE 'warnings? (generated|treated)' "$build/tidy.log"
    echo "lint: clang-tidy found problems" >&2
    exit 1
fi
echo "lint: clean"
