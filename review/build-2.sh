#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. They need
# a C compiler only. The programs go below target/, as those of the build of
# the deploy file do.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -pthread \
    -o target/review-2/standin review/standin-2/standin.c
