#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -O1 -Wall -Wextra -pthread -o target/review/standin review/standin/standin.c
