# Guards against a planned stop that cuts off requests, forgets outcomes or
# goes on taking work.
source scripts/lib.sh
service_ms=20
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(key_of b a)
id=$(uuid7)
echo "booking before the stop: $(book "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
# Steady bookings through the processes that stay.
(
    for i in $(seq 1 150); do
        book "$a_callers" "job/$((i % 40))" "$(uuid7)" -H 'Apricot-Attempt: 1'
    done >"$run_dir/bookings.out"
) &
load=$!
sleep 0.5
kill -TERM "$b_pid"
stopped_at=$(now_ms)
wait "$b_pid"
echo "exit status of the stopped process: $?"
say "stopped within 4 s" test $(($(now_ms) - stopped_at)) -lt 4000
wait "$load"
echo "bookings answered: $(grep -c answered "$run_dir/bookings.out")"
echo "bookings with another outcome: $(grep -vc answered "$run_dir/bookings.out")"
echo "repeat of the first booking: $(book "$a_callers" "$key" "$id")"
say "every partition has an owner" all_owned a
say "no booking ran twice" none_doubled
