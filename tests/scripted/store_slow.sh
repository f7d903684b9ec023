# Guards against a slow store that makes a planned stop lose requests or keeps
# a lost host's keys unserved for more than 2 s. Each call takes 150 ms more.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }
store_mode slow 150
(
    for i in $(seq 1 120); do
        book "$a_callers" "job/$((i % 40))" "$(uuid7)" -H 'Apricot-Attempt: 1'
    done >"$run_dir/bookings.out"
) &
load=$!
sleep 0.3
kill -TERM "$b_pid"
wait "$b_pid"
echo "exit status of the stopped process: $?"
wait "$load"
echo "bookings answered: $(grep -c answered "$run_dir/bookings.out")"
say "every partition has an owner" wait_until 5 all_owned a
key=$(key_of d a)
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 serving "$a_callers" "$key"
say "served again within 2 s of the loss" \
    test $(($(now_ms) - killed_at)) -lt 2000
say "no booking ran twice" none_doubled
