# The keys of a lost host must be served again, and a booking that it ran
# must not run again at the new owner.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by d a)
id=$(uuid7)
echo "first booking: $(send_booking "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
incarnation=$(incarnation_of d a)
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 member_removed d a "$incarnation"
wait_until 5 is_served "$a_callers" "$key"
print_yes_no "served again within 2 s" test $(($(now_ms) - killed_at)) -lt 2000
print_yes_no "every partition has an owner" all_partitions_owned a
echo "repeat of the booking: $(send_booking "$a_callers" "$key" "$id")"
echo "new booking: $(send_booking "$b_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
print_yes_no "no booking ran twice" no_run_repeated
