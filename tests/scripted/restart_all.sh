# A cell must start again after all of its processes were lost at once, and a
# single process must be able to replace its own earlier incarnation.
source scripts/lib.sh
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }
id=$(uuid7)
echo "booking: $(send_booking "$a_callers" job/1 "$id" -H 'Apricot-Attempt: 1')"
version=$(fetch_status a | grep -o '"record_version":[0-9]*' | cut -d: -f2)
kill -KILL "$a_pid" "$b_pid" "$c_pid" 2>/dev/null
run_host a
run_host b
run_host c
started_at=$(now_ms)
print_yes_no "served again within 5 s" \
    wait_until 5 is_served "$a_callers" job/1
print_yes_no "every host owns keys again" wait_until 15 eval \
    'owns_more_than a a 20 && owns_more_than b a 20 && owns_more_than c a 20'
print_yes_no "the configuration is in force" \
    wait_until 5 bash -c "curl -s http://127.0.0.1:$c_admin/status |
        grep -q '\"generation\":1'"
print_yes_no "the record went on from its last version" test \
    "$(fetch_status a | grep -o '"record_version":[0-9]*' | cut -d: -f2)" \
    -gt "$version"
echo "repeat of the booking: $(send_booking "$b_callers" job/1 "$id")"

echo "-- one process is left, then it is killed too"
kill -TERM "$b_pid"
wait "$b_pid"
kill -TERM "$c_pid"
wait "$c_pid"
kill -KILL "$a_pid" 2>/dev/null
run_host a
print_yes_no "served again within 5 s" \
    wait_until 5 is_served "$a_callers" job/1
print_yes_no "no booking ran twice" no_run_repeated
