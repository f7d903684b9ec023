# Guards against a process that cannot be reached by the entries but renews
# its lease: its keys must not run anywhere else, and refusals must be true.
source scripts/lib.sh
cluster_begin
free_port relay
d_advertised=$relay
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(key_of d a)
id=$(uuid7)
echo "before the cut: $(book "$a_callers" "$key" "$id" -H 'Apricot-Attempt: 1')"
kill -USR1 "$d_relay_pid"
lost=$(uuid7)
echo "sent into the cut: $(book "$a_callers" "$key" "$lost" -H 'Apricot-Attempt: 1')"
sleep 3
refused=$(uuid7)
echo "after the link broke: $(book "$a_callers" "$key" "$refused" -H 'Apricot-Attempt: 1')"
say "the owner is still the owner" test "$(owner_of a "$key")" = d
echo "through the owner's own entry: $(book "$d_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
kill -USR2 "$d_relay_pid"
say "served again after the cut" wait_until 5 serving "$a_callers" "$key"
say "the booking before the cut is in the run logs" \
    grep -qis "$id" "$run_dir"/*.runs
say "the refused booking did not run" \
    test "$(cat "$run_dir"/*.runs | grep -ci "$refused")" = 0
echo "repeat of the first booking: $(book "$a_callers" "$key" "$id")"
say "no booking ran twice" none_doubled
