# Guards against requests that an agent sends to its endpoint while it rests.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
SERVICE_OPTIONS="--rest-s 2 --rest-every 10 --delay-ms 5" start_minimal_cluster
loops=()
for i in $(seq 120); do
    entry_request GET "/orders/$i" -m 4 -H 'X-Laurellift-Deadline-Ms: 3000' -o "body.$i" -w '%{http_code}\n' >>answers &
    loops+=($!)
    sleep 0.07
done
wait "${loops[@]}"
most=$(awk '$1 == "arrived" { time[++n] = $2 }
    $1 == "rests" { begin[++r] = $2 }
    END {
        for (i = 1; i <= r; i++) {
            count = 0
            for (j = 1; j <= n; j++) count += time[j] > begin[i] + 500 && time[j] < begin[i] + 2000
            if (count > most) most = count
        }
        print most + 0
    }' service.record)
echo "$most in a rest, $(grep -c ^rests service.record) rests, $(grep -c ^arrived service.record) arrived; $(grep -E '^[0-9]+$' answers | sort | uniq -c | tr '\n' ' ')" >&2
[ "$most" -le 2 ] && echo "left in peace" || echo "disturbed"
[ "$(grep -c ^arrived service.record)" -ge 15 ] && echo "used" || echo "idle"
