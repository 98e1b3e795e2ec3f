#!/usr/bin/env bash
# Prints the results of measured days by kind of request and by zone, and their
# prices, as Markdown tables. Usage: day-table.sh REPORT.json...
# `fleetbench run ... --report FILE` writes such a report.
set -euo pipefail
[ $# -gt 0 ] || { echo "usage: day-table.sh REPORT.json..." >&2; exit 2; }

echo "| day | group | asked | on time | late | refused | failed | not owed | worth |"
echo "|---|---|---|---|---|---|---|---|---|"
for report in "$@"; do
    jq -r --arg day "$(basename "$report" .json)" \
        '(.classes + .zones)[] | [$day, .name, .n, .in_aim, .late, .refused,
         .failed, .not_owed, .worth] | "| " + (map(tostring) | join(" | ")) + " |"' \
        "$report"
done
echo
echo "| day | price | part of the day |"
echo "|---|---|---|"
for report in "$@"; do
    jq -r --arg day "$(basename "$report" .json)" \
        '.prices[] | select(.[2] >= 0.0005) | "| \($day) | \(.[0]) | \(.[2]) |"' \
        "$report"
done
