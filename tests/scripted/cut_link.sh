# A process that the other entries cannot reach, but that still renews its
# lease, keeps its keys: they must not run anywhere else, and a request that
# is reported as not run must not have run.
source scripts/lib.sh
create_run_dir
free_port relay
d_advertised=$relay
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by d a)
id=$(uuid7)
echo "before the cut: $(send_booking "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
kill -USR1 "$d_relay_pid"
cut_id=$(uuid7)
echo "sent into the cut: $(send_booking "$a_callers" "$key" "$cut_id" -H 'Apricot-Attempt: 1')"
sleep 3
refused_id=$(uuid7)
echo "after the link broke: $(send_booking "$a_callers" "$key" "$refused_id" -H 'Apricot-Attempt: 1')"
print_yes_no "the owner is still the owner" test "$(fetch_owner a "$key")" = d
echo "through the owner's own entry: $(send_booking "$d_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
kill -USR2 "$d_relay_pid"
print_yes_no "served again after the cut" \
    wait_until 5 is_served "$a_callers" "$key"
print_yes_no "the booking before the cut is in the run logs" \
    grep -qis "$id" "$run_dir"/*.runs
print_yes_no "the refused booking did not run" \
    test "$(cat "$run_dir"/*.runs | grep -ci "$refused_id")" = 0
echo "repeat of the first booking: $(send_booking "$a_callers" "$key" "$id")"
print_yes_no "no booking ran twice" no_run_repeated
