# With a slow store, where each call takes 150 ms more, a planned stop must
# not lose requests, and the keys of a lost host must be served again within
# 2 s.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }
set_store_mode slow 150
(
    for i in $(seq 1 120); do
        send_booking "$a_callers" "job/$((i % 40))" "$(uuid7)" -H 'Apricot-Attempt: 1'
    done >"$run_dir/bookings.out"
) &
load_pid=$!
sleep 0.3
kill -TERM "$b_pid"
wait "$b_pid"
echo "exit status of the stopped process: $?"
wait "$load_pid"
echo "bookings answered: $(grep -c answered "$run_dir/bookings.out")"
print_yes_no "every partition has an owner" wait_until 5 all_partitions_owned a
key=$(find_key_owned_by d a)
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 is_served "$a_callers" "$key"
print_yes_no "served again within 2 s of the loss" \
    test $(($(now_ms) - killed_at)) -lt 2000
print_yes_no "no booking ran twice" no_run_repeated
