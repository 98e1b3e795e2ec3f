#!/usr/bin/env bash
# Plays the table of deadly requests: each axis varied alone, then random
# combinations. Usage: run-deadly-cells.sh BUILD [COMBINATIONS] [SEED] [JOBS] [KIND]
# KIND is `requests` (default) or `parts`.
# Prints a line for each cell (test/soak/deadly-cell.sh) and exits with 0 when
# no request was sent more than three times later than 4 s after three ends, and
# none with a deadly part after five.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
combinations=${2:-20}
RANDOM=${3:-1}
jobs=${4:-3}
case ${5:-requests} in
requests)
    requests=(look once stream)
    varied=(once stream)
    ;;
parts)
    requests=(first second last double)
    varied=(second)
    ;;
esac
manners=(start-close start-reset start-dark head-close body-close body-reset
    body-dark end-close end-reset later-close)
afters=(new same moved none late left)
senders=(one turn burst again)
losses=(none gateway later host frozen hosts)
traffics=(yes no)
cells=()

for request in "${requests[@]}"; do
    for manner in "${manners[@]}"; do
        cells+=("$request $manner new turn none no")
    done
done
for request in "${varied[@]}"; do
    for after in "${afters[@]:1}"; do
        cells+=("$request start-close $after turn none no")
    done
    for sender in one burst again; do
        cells+=("$request start-close new $sender none yes")
    done
    for lost in "${losses[@]:1}"; do
        cells+=("$request start-close new turn $lost no")
    done
done
for ((i = 0; i < combinations; i++)); do
    cells+=("${requests[RANDOM % ${#requests[@]}]} ${manners[RANDOM % 10]} ${afters[RANDOM % 6]} ${senders[RANDOM % 4]} ${losses[RANDOM % 6]} ${traffics[RANDOM % 2]}")
done

# play_cell INDEX CELL...
play_cell() {
    local work=$build/deadly/$1
    rm -rf "$work"
    mkdir -p "$work"
    LL_BUILD=$build LL_WORK=$work LL_PORT_BASE=$((20000 + $1 % 200 * 40)) \
        REQUEST=$2 MANNER=$3 AFTER=$4 SENDER=$5 LOST=$6 TRAFFIC=$7 \
        timeout 120 bash test/soak/deadly-cell.sh >"$work/out" 2>"$work/err"
    tail -n 1 "$work/out"
}

for index in "${!cells[@]}"; do
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
        wait -n
    done
    # A cell is a list of words.
    # shellcheck disable=SC2086
    play_cell "$index" ${cells[index]} &
done | tee "$build/deadly.table"
wait
bad=$(awk -F'sent late ' '{split($2, part, ","); if (part[1] > 3) print}' "$build/deadly.table" | wc -l)
echo "${#cells[@]} cells, $(wc -l <"$build/deadly.table") with a result, $bad beyond the bound"
[ "$bad" -eq 0 ]
