#!/usr/bin/env bash
# Fails when a package includes a header of a package that is not among its
# dependencies.
# Usage: check-layers.sh FOLDER PACKAGE [DEPENDENCY...]
set -euo pipefail

folder=$1
shift
allowed=" $* "
status=0
while IFS=: read -r file line text; do
    package=$(sed -E 's/.*"([a-z]+)\/.*/\1/' <<<"$text")
    if [[ "$allowed" != *" $package "* ]]; then
        echo "$file:$line: package '$1' may not include '$package'" >&2
        status=1
    fi
done < <(grep -nHE '^#include "[a-z]+/' "$folder"/*.[ch] || true)
exit $status
