# Checks that all sample settings and rules in etc/ are valid.
etc=$(cd "$(dirname "${BASH_SOURCE[0]}")/../../etc" && pwd)
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
cd "$etc"
for file in *.yaml; do
    echo "$file: $("$LL_BUILD/src/daemon/laurelliftd" --check-config "$file" 2>&1)"
done
for file in *.rules; do
    "$LL_BUILD/src/cli/laurellift" rules check "$file"
done
