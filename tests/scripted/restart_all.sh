# Guards against a cell that cannot start again after all of its processes
# were lost at once, and against a lone process that cannot replace its own
# earlier incarnation.
source scripts/lib.sh
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }
id=$(uuid7)
echo "booking: $(book "$a_callers" job/1 "$id" -H 'Apricot-Attempt: 1')"
version=$(status_of a | grep -o '"record_version":[0-9]*' | cut -d: -f2)
kill -KILL "$a_pid" "$b_pid" "$c_pid" 2>/dev/null
run_host a
run_host b
run_host c
started_at=$(now_ms)
say "served again within 5 s" wait_until 5 serving "$a_callers" job/1
say "every host owns keys again" wait_until 15 eval \
    'has_share a a 20 && has_share b a 20 && has_share c a 20'
say "the configuration is in force" \
    wait_until 5 bash -c "curl -s http://127.0.0.1:$c_admin/status |
        grep -q '\"generation\":1'"
say "the record went on from its last version" test \
    "$(status_of a | grep -o '"record_version":[0-9]*' | cut -d: -f2)" \
    -gt "$version"
echo "repeat of the booking: $(book "$b_callers" job/1 "$id")"

echo "-- one process is left, then it is killed too"
kill -TERM "$b_pid"
wait "$b_pid"
kill -TERM "$c_pid"
wait "$c_pid"
kill -KILL "$a_pid" 2>/dev/null
run_host a
say "served again within 5 s" wait_until 5 serving "$a_callers" job/1
say "no booking ran twice" none_doubled
