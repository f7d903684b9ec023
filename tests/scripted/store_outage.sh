# A store outage must not interrupt service, change owners or revert the
# configuration. Meanwhile one host is killed.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }
# A move of partitions that started earlier may still change the record.
wait_until_record_settles a || { echo "the record did not settle"; exit 1; }
key_d=$(find_key_owned_by d a)
key_b=$(find_key_owned_by b a)
incarnation=$(incarnation_of d a)
before=$(fetch_record_version a)
set_store_mode down
sleep 1.5
print_yes_no "served during the outage" is_served "$a_callers" "$key_b"
echo "booking during the outage: $(send_booking "$c_callers" "$key_b" "$(uuid7)" -H 'Apricot-Attempt: 1')"
kill -KILL "$d_pid" "$d_backend_pid" 2>/dev/null
sleep 2
print_yes_no "the lost host stays in the record" \
    test "$(incarnation_of d a)" = "$incarnation"
print_yes_no "the record did not change" \
    test "$(fetch_record_version a)" = "$before"
print_yes_no "other keys are served" is_served "$a_callers" "$key_b"
set_store_mode ok
store_back=$(now_ms)
wait_until 5 member_removed d a "$incarnation"
wait_until 5 is_served "$a_callers" "$key_d"
print_yes_no "its keys are served within 2 s of the store's return" \
    test $(($(now_ms) - store_back)) -lt 2000
print_yes_no "the configuration is still in force" \
    bash -c "curl -s http://127.0.0.1:$a_admin/status | grep -q '\"generation\":1'"
print_yes_no "no booking ran twice" no_run_repeated
