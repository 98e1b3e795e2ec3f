# Runs the soak test with one seed for a short time; `make soak` runs it with
# others.
. "$(dirname "${BASH_SOURCE[0]}")/../soak/soak.inc"
. "$(dirname "${BASH_SOURCE[0]}")/deadly.inc"
. "$(dirname "${BASH_SOURCE[0]}")/limit.inc"
. "$(dirname "${BASH_SOURCE[0]}")/rest.inc"
. "$(dirname "${BASH_SOURCE[0]}")/streams.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
run_soak "${SEED:-1}" "${SOAK_SECONDS:-15}"
print_soak_results
