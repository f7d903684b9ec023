# During a store outage keys cannot be handed over. A planned stop in that
# time must still refuse new requests and end, and its keys must be served
# again when the store is back.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by b a)
set_store_mode down
sleep 1
kill -TERM "$b_pid"
stopped_at=$(now_ms)
sleep 2
runs=$(wc -l <"$run_dir/b.runs")
echo "booking 2 s after the stop: $(send_booking "$a_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
print_yes_no "no new work after 2 s" \
    test "$(wc -l <"$run_dir/b.runs")" = "$runs"
wait "$b_pid"
echo "exit status: $?"
print_yes_no "ended within 12 s" test $(($(now_ms) - stopped_at)) -lt 12000
print_yes_no "the other keys are served" \
    is_served "$a_callers" "$(find_key_owned_by c a)"
set_store_mode ok
store_back=$(now_ms)
wait_until 5 is_served "$a_callers" "$key"
print_yes_no "its keys are served within 2 s of the store's return" \
    test $(($(now_ms) - store_back)) -lt 2000
print_yes_no "no booking ran twice" no_run_repeated
