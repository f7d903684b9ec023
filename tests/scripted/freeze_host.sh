# Guards against a frozen process that goes on as owner when it returns.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(key_of c a)
incarnation=$(incarnation_of c a)
kill -STOP "$c_pid"
frozen_at=$(now_ms)
# Reaches the frozen process before its lease has lapsed.
id=$(uuid7)
book "$a_callers" "$key" "$id" >"$run_dir/frozen.out" &
booking=$!
wait_until 5 member_gone c a "$incarnation"
wait_until 5 serving "$a_callers" "$key"
say "served again within 2 s" test $(($(now_ms) - frozen_at)) -lt 2000
wait "$booking"
echo "booking sent to the frozen owner: $(cat "$run_dir/frozen.out")"
echo "its repeat: $(book "$a_callers" "$key" "$id")"
runs_before=$(grep -c " book " "$run_dir/c.runs" 2>/dev/null)
kill -CONT "$c_pid"
say "back as a member under a new incarnation" \
    wait_until 5 has_share c a 0
say "the new incarnation is higher" \
    test "$(incarnation_of c a)" -gt "$incarnation"
sleep 0.5
say "the returned process dispatched nothing old" \
    test "$(grep -c " book " "$run_dir/c.runs")" = "$runs_before"
say "no booking ran twice" none_doubled
