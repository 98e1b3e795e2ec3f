#!/usr/bin/env bash
# Lists the hand-written C sources and headers, one per line.
set -euo pipefail
cd "$(dirname "$0")/.."
find src platform test -name '*.[ch]' -not -path '*/generated/*' | sort
