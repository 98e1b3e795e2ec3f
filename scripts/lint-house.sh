#!/usr/bin/env bash
# Checks the code rules that clang-format and clang-tidy do not cover:
#  - each source starts with a Doxygen comment
#  - each source has at most MAX_LINES lines
#  - static functions are named lower_case, public ones Prefix_MixedCase
#  - names of the platform are used only in platform/, and sched/ headers are
#    not included there
#  - no absolute path of a development machine is used
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
    # In a function definition the name starts in the first column.
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

# Names of the platform are used only in platform/, which makes no scheduling
# decisions.
PLATFORM_NAMES='Attempt-Id|Server-Seal|Server-Limit|[^-]Deadline-Ms|Expect-Instance|Not-Executed|Token-Usage|Prefix-Hash|Load-Report|Server-Leaving|Kv-(Hold|From|Fetch|Backup)|Pin-Ms|routeTable|pathPrefix|maxAttempts|heartbeatAddr|seedNodes|listenAddrs|/api/(readyz|instances|config|report|hold|kv)'
if grep -rnE "$PLATFORM_NAMES" --include='*.[ch]' --include='*.proto' src; then
    complain "src" "a name of the platform is used outside platform/"
fi
if grep -rn '#include "sched/' platform; then
    complain "platform" "a header of sched/ is included"
fi

if grep -rnE '(^|[^a-z.])/(work|root)/' --include='*' src platform deploy test scripts docs etc Makefile README.md .ci 2>/dev/null |
    grep -v 'scripts/lint-house.sh'; then
    complain "paths" "an absolute path of a development machine is used"
fi
exit $status
