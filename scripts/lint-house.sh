#!/usr/bin/env bash
# House rules that the formatter and clang-tidy do not cover:
#  - a source opens with a Doxygen comment that says what it is for
#  - no source is longer than MAX_LINES
#  - static functions are lower_case, public ones Prefix_MixedCase
#  - names of the platform stand in platform/ alone, decisions never there
#  - no folder of one machine is named anywhere
set -euo pipefail
cd "$(dirname "$0")/.."
readonly MAX_LINES=600
status=0
findings=$(mktemp)
trap 'rm -f "$findings"' EXIT

complain() {
    echo "$1: $2" >&2
    status=1
}

while read -r file; do
    head -n 2 "$file" | grep -q '^/\*\*' || complain "$file" "no opening Doxygen comment"
    [ "$(wc -l <"$file")" -le $MAX_LINES ] || complain "$file" "longer than $MAX_LINES lines"
    # Function definitions stand with their name in the first column.
    awk -v file="$file" '
        /^[A-Za-z_][A-Za-z0-9_]*\(/ && previous ~ /^[A-Za-z]/ {
            name = $0
            sub(/\(.*/, "", name)
            if (previous ~ /^static / && name ~ /[A-Z]/)
                print file ":" NR ": static function " name " is not lower_case"
            if (previous !~ /^static / && name !~ /^[A-Z][A-Za-z0-9]*_[A-Z]/ && name !~ /^(main|LLVMFuzzer.*)$/)
                print file ":" NR ": public function " name " is not Prefix_MixedCase"
        }
        { previous = $0 }' "$file"
done < <(scripts/list-sources.sh) >"$findings"
if [ -s "$findings" ]; then
    cat "$findings" >&2
    status=1
fi

# Names of the platform stand in platform/ alone, and nothing there decides.
PLATFORM_NAMES='Attempt-Id|Server-Seal|[^-]Deadline-Ms|Expect-Instance|Not-Executed|Token-Usage|Prefix-Hash|Load-Report|Kv-(Hold|From|Fetch|Backup)|Pin-Ms|routeTable|pathPrefix|maxAttempts|heartbeatAddr|seedNodes|listenAddrs|/api/(readyz|instances|config|report|hold|kv)'
if grep -rnE "$PLATFORM_NAMES" --include='*.[ch]' --include='*.proto' src; then
    complain "src" "a name of the platform stands outside platform/"
fi
if grep -rn '#include "sched/' platform; then
    complain "platform" "a decision header is included"
fi

if grep -rnE '(^|[^a-z.])/(work|root)/' --include='*' src platform deploy test scripts docs etc Makefile README.md .ci 2>/dev/null |
    grep -v 'scripts/lint-house.sh'; then
    complain "paths" "a folder of one machine is named"
fi
exit $status
