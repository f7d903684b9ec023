# A host whose backend server is gone must give up its keys although its
# process is alive, and must do so without waiting for its lease to expire.
source scripts/lib.sh
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by c a)
incarnation=$(incarnation_of c a)
kill -KILL "$c_backend_pid" 2>/dev/null
lost_at=$(now_ms)
echo "read at once: $(curl -s -i --max-time 3 -H 'Apricot-Timeout-Ms: 2000' \
    "http://127.0.0.1:$a_callers/v1/desk/status/$key" | tr -d '\r' |
    sed -n 's/^Apricot-Outcome: //p')"
print_yes_no "served again within 1 s" test $(($(now_ms) - lost_at)) -lt 1000
print_yes_no "the host owns nothing" wait_until 2 owns_nothing c a
print_yes_no "the host is still the same member" \
    test "$(incarnation_of c a)" = "$incarnation"
run_backend c --service desk
print_yes_no "it owns keys again with a new backend" \
    wait_until 10 owns_more_than c a 20
print_yes_no "no booking ran twice" no_run_repeated
