# A store write that took effect must not be treated as failed because its
# response was lost. All responses to transactions are lost for a while.
source scripts/lib.sh
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by b a)
set_store_mode lose_answer
run_ctl a drain b >/dev/null
sleep 1
set_store_mode ok
print_yes_no "the drained host gave everything away" \
    wait_until 5 owns_nothing b a
print_yes_no "every partition has an owner" all_partitions_owned a
print_yes_no "its keys are served" wait_until 2 is_served "$a_callers" "$key"
run_ctl a undrain b >/dev/null
print_yes_no "it owns keys again" wait_until 10 owns_more_than b a 20
print_yes_no "no booking ran twice" no_run_repeated
