# Guards against verbs of apricotctl that no longer agree with the admin
# interface of real processes.
source scripts/lib.sh
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(key_of b a)

run() {
    ctl a "$@" >"$run_dir/ctl.out" 2>&1
    echo "$1: exit $?"
}

no_share() {
    ! has_share "$1" a
}

run status
say "the status lists three hosts" \
    test "$(grep -c '^[abc]  .* active ' "$run_dir/ctl.out")" = 3
run where desk "$key"
say "the owner is b" grep -q 'owner b,' "$run_dir/ctl.out"
run dump c
say "the dump is that of c" grep -q '"host": "c",' "$run_dir/ctl.out"
run move desk "$key" c
run where desk "$key"
say "the owner is c" grep -q 'owner c,' "$run_dir/ctl.out"
run drain b
say "the drained host owns nothing within 5 s" wait_until 5 no_share b
run move desk "$key" b
run undrain b
say "the host owns partitions again within 5 s" wait_until 5 has_share b a
run move desk "$key" nowhere
run move nothing "$key" b
run remove-host b
say "the host is still a member" grep -q '"host":"b"' <(status_of a)
kill -KILL "$b_pid"
store_mode down
run remove-host b --confirm-dead
store_mode ok
say "the removal is carried out when the store is back" \
    wait_until 10 no_share b
