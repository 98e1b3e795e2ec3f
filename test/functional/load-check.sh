# Runs a short load without faults, and compares the records of callers and
# endpoints.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ENGINE_OPTIONS=--echo SERVICE_OPTIONS=--echo start_minimal_cluster

"$LL_BUILD/test/fakes/load" --entry "127.0.0.1:$(port 0)" --rate 60 --seconds 3 \
    --deadline-ms 20000 --record callers.record >load.out
"$LL_BUILD/test/fakes/check_records" callers.record engine.record service.record
grep open load.out
