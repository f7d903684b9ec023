# Guards against keys that stay with a host whose backend server is gone while
# its process is alive, and against a full wait for the lease in that case.
source scripts/lib.sh
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(key_of c a)
incarnation=$(incarnation_of c a)
kill -KILL "$c_backend_pid" 2>/dev/null
lost_at=$(now_ms)
echo "read at once: $(curl -s -i --max-time 3 -H 'Apricot-Timeout-Ms: 2000' \
    "http://127.0.0.1:$a_callers/v1/desk/status/$key" | tr -d '\r' |
    sed -n 's/^Apricot-Outcome: //p')"
say "served again within 1 s" test $(($(now_ms) - lost_at)) -lt 1000
say "the host owns nothing" wait_until 2 owns_nothing c a
say "the host is still the same member" \
    test "$(incarnation_of c a)" = "$incarnation"
run_backend c --service desk
say "it owns keys again with a new backend" wait_until 10 has_share c a 20
say "no booking ran twice" none_doubled
