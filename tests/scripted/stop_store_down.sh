# Guards against a planned stop during a store outage that goes on taking work
# or never ends: nothing can be handed over, so its keys wait for the store.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }
key=$(key_of b a)
store_mode down
sleep 1
kill -TERM "$b_pid"
stopped_at=$(now_ms)
sleep 2
runs=$(wc -l <"$run_dir/b.runs")
echo "booking 2 s after the stop: $(book "$a_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
say "no new work after 2 s" test "$(wc -l <"$run_dir/b.runs")" = "$runs"
wait "$b_pid"
echo "exit status: $?"
say "ended within 12 s" test $(($(now_ms) - stopped_at)) -lt 12000
say "the other keys are served" serving "$a_callers" "$(key_of c a)"
store_mode ok
store_back=$(now_ms)
wait_until 5 serving "$a_callers" "$key"
say "its keys are served within 2 s of the store's return" \
    test $(($(now_ms) - store_back)) -lt 2000
say "no booking ran twice" none_doubled
