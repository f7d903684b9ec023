# After the loss of a failure domain, a third of the hosts at once, its keys
# must be served again within 2 s.
source scripts/lib.sh
create_run_dir
start_cell a b c d e f || { echo "the cell did not start"; exit 1; }
sleep 1.5 # until the witness lists no longer change
key_a=$(find_key_owned_by a b)
key_d=$(find_key_owned_by d b)
incarnation_a=$(incarnation_of a b)
incarnation_d=$(incarnation_of d b)
kill -KILL "$a_pid" "$a_backend_pid" "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 is_served "$b_callers" "$key_a"
wait_until 5 is_served "$c_callers" "$key_d"
print_yes_no "keys of both lost hosts are served within 2 s" \
    test $(($(now_ms) - killed_at)) -lt 2000
print_yes_no "both are out of the record" \
    wait_until 2 eval 'member_removed a b $incarnation_a && member_removed d b $incarnation_d'
print_yes_no "every partition has an owner" all_partitions_owned b
print_yes_no "no booking ran twice" no_run_repeated
