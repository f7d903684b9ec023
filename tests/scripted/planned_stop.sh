# A planned stop must not interrupt requests, lose outcomes or accept new
# requests.
source scripts/lib.sh
service_ms=20
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by b a)
id=$(uuid7)
echo "booking before the stop: $(send_booking "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
# Steady bookings through a process that keeps running.
(
    for i in $(seq 1 150); do
        send_booking "$a_callers" "job/$((i % 40))" "$(uuid7)" -H 'Apricot-Attempt: 1'
    done >"$run_dir/bookings.out"
) &
load_pid=$!
sleep 0.5
kill -TERM "$b_pid"
stopped_at=$(now_ms)
wait "$b_pid"
echo "exit status of the stopped process: $?"
print_yes_no "stopped within 4 s" test $(($(now_ms) - stopped_at)) -lt 4000
wait "$load_pid"
echo "bookings answered: $(grep -c answered "$run_dir/bookings.out")"
echo "bookings with another outcome: $(grep -vc answered "$run_dir/bookings.out")"
echo "repeat of the first booking: $(send_booking "$a_callers" "$key" "$id")"
print_yes_no "every partition has an owner" all_partitions_owned a
print_yes_no "no booking ran twice" no_run_repeated
