# A short seeded run of the fault soak; `make soak` runs others.
. "$(dirname "${BASH_SOURCE[0]}")/../soak/soak.inc"
. "$(dirname "${BASH_SOURCE[0]}")/platform.inc"
run_soak "${SEED:-1}" "${SOAK_SECONDS:-15}"
print_soak_results
