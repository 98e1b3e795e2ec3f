# Plots the goodput of the top tier, the goodput of all tiers and the wasted
# prefill for each case and policy.
# Variables: csv is the input file, written by bench_policy --csv; png is the
# output file, in SVG format.
set datafile separator comma
set terminal svg size 1400,900 dynamic
set output png
set multiplot layout 3,1
set style data points
set key outside right
set xtics rotate by -25
set yrange [0:1.05]
policies = "laurellift random round-robin least-stale"
pick(name, column) = sprintf("< grep -E '^case|,%s,' %s", name, csv)
set title "Goodput, top tier"
plot for [p in policies] pick(p, 3) using 0:3:xtic(1) every ::1 pt 7 title p
set title "Goodput, all"
plot for [p in policies] pick(p, 11) using 0:11:xtic(1) every ::1 pt 7 title p
set title "Wasted prefill"
set yrange [0:*]
plot for [p in policies] pick(p, 13) using 0:13:xtic(1) every ::1 pt 7 title p
unset multiplot
