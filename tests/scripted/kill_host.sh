# Guards against a lost host whose keys stay unserved, and against a booking
# that runs again at the new owner.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(key_of d a)
id=$(uuid7)
echo "first booking: $(book "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
incarnation=$(incarnation_of d a)
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 member_gone d a "$incarnation"
wait_until 5 serving "$a_callers" "$key"
say "served again within 2 s" test $(($(now_ms) - killed_at)) -lt 2000
say "every partition has an owner" all_owned a
echo "repeat of the booking: $(book "$a_callers" "$key" "$id")"
echo "new booking: $(book "$b_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
say "no booking ran twice" none_doubled
