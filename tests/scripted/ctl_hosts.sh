# The commands of apricotctl must agree with the admin interface of real
# processes.
source scripts/lib.sh
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(find_key_owned_by b a)

# run_command ARGUMENTS...: runs apricotctl on host a, keeps the output in
# ctl.out and prints the exit status.
run_command() {
    run_ctl a "$@" >"$run_dir/ctl.out" 2>&1
    echo "$1: exit $?"
}

owns_no_partition() {
    ! owns_more_than "$1" a
}

run_command status
print_yes_no "the status lists three hosts" \
    test "$(grep -c '^[abc]  .* active ' "$run_dir/ctl.out")" = 3
run_command where desk "$key"
print_yes_no "the owner is b" grep -q 'owner b,' "$run_dir/ctl.out"
run_command dump c
print_yes_no "the dump is that of c" grep -q '"host": "c",' "$run_dir/ctl.out"
run_command move desk "$key" c
run_command where desk "$key"
print_yes_no "the owner is c" grep -q 'owner c,' "$run_dir/ctl.out"
run_command drain b
print_yes_no "the drained host owns nothing within 5 s" \
    wait_until 5 owns_no_partition b
run_command move desk "$key" b
run_command undrain b
print_yes_no "the host owns partitions again within 5 s" \
    wait_until 5 owns_more_than b a
run_command move desk "$key" nowhere
run_command move nothing "$key" b
run_command remove-host b
print_yes_no "the host is still a member" \
    grep -q '"host":"b"' <(fetch_status a)
kill -KILL "$b_pid"
set_store_mode down
run_command remove-host b --confirm-dead
set_store_mode ok
print_yes_no "the removal is carried out when the store is back" \
    wait_until 10 owns_no_partition b
