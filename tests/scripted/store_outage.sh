# Guards against a store outage that stops service, moves ownership or undoes
# the configuration; a host is killed and another one restarted meanwhile.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key_d=$(key_of d a)
key_b=$(key_of b a)
incarnation=$(incarnation_of d a)
before=$(status_of a | grep -o '"record_version":[0-9]*')
store_mode down
sleep 1.5
say "served during the outage" serving "$a_callers" "$key_b"
echo "booking during the outage: $(book "$c_callers" "$key_b" "$(uuid7)" -H 'Apricot-Attempt: 1')"
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
sleep 2
say "the lost host stays in the record" \
    test "$(incarnation_of d a)" = "$incarnation"
say "the record did not change" \
    test "$(status_of a | grep -o '"record_version":[0-9]*')" = "$before"
say "other keys are served" serving "$a_callers" "$key_b"
store_mode ok
store_back=$(now_ms)
wait_until 5 member_gone d a "$incarnation"
wait_until 5 serving "$a_callers" "$key_d"
say "its keys are served within 2 s of the store's return" \
    test $(($(now_ms) - store_back)) -lt 2000
say "the configuration is still in force" \
    bash -c "curl -s http://127.0.0.1:$a_admin/status | grep -q '\"generation\":1'"
say "no booking ran twice" none_doubled
