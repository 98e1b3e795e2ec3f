# Guards against an answer that an endpoint writes late on a kept connection, and
# that would be taken for the answer to the request which runs there: the agent
# sends each request over a connection of its own.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
SERVICE_OPTIONS="--ports"
start_minimal_cluster
for i in 1 2 3 4 5; do
    curl -s -o body -w '%{http_code}\n' -H 'Authorization: Bearer sahil-key' "http://127.0.0.1:$(port 0)/orders/$i"
done
echo "requests: $(grep -c '^ran' service.record), connections: $(grep '^from' service.record | sort -u | wc -l)"
