#!/usr/bin/env bash
# Builds the fuzz targets with clang, AddressSanitizer and UBSan.
# Usage: fuzz-build.sh FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
flags="-fsanitize=address,undefined,fuzzer-no-link -fno-sanitize-recover=all"
if [ ! -f "$1/build.ninja" ]; then
    cmake -S . -B "$1" -G Ninja -DCMAKE_C_COMPILER=clang -DLL_FUZZ=ON \
        -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_C_FLAGS="$flags" >/dev/null
fi
cmake --build "$1" --target fuzzers >"$1/fuzz-build.log" 2>&1 || {
    tail -n 40 "$1/fuzz-build.log" >&2
    exit 1
}
