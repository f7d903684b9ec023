# A frozen process must not act as owner of its former keys when it resumes.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by c a)
incarnation=$(incarnation_of c a)
kill -STOP "$c_pid"
frozen_at=$(now_ms)
# Sent to the frozen process before its lease expires.
id=$(uuid7)
send_booking "$a_callers" "$key" "$id" >"$run_dir/frozen.out" &
booking_pid=$!
wait_until 5 member_removed c a "$incarnation"
wait_until 5 is_served "$a_callers" "$key"
print_yes_no "served again within 2 s" test $(($(now_ms) - frozen_at)) -lt 2000
wait "$booking_pid"
echo "booking sent to the frozen owner: $(cat "$run_dir/frozen.out")"
echo "its repeat: $(send_booking "$a_callers" "$key" "$id")"
runs_before=$(grep -c " book " "$run_dir/c.runs" 2>/dev/null)
kill -CONT "$c_pid"
print_yes_no "back as a member under a new incarnation" \
    wait_until 5 owns_more_than c a 0
print_yes_no "the new incarnation is higher" \
    test "$(incarnation_of c a)" -gt "$incarnation"
sleep 0.5
print_yes_no "the returned process dispatched nothing old" \
    test "$(grep -c " book " "$run_dir/c.runs")" = "$runs_before"
print_yes_no "no booking ran twice" no_run_repeated
