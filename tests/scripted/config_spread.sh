# A published configuration must be in force on every process within 5 s and
# never be replaced by an older one. Of two publishers with the same base,
# the one that loses must be told so.
source scripts/lib.sh
create_run_dir
start_cell a b c d || { echo "the cell did not start"; exit 1; }

# in_force GENERATION HOST...: whether the hosts have the generation in force.
in_force() {
    local host
    for host in "${@:2}"; do
        fetch_status "$host" | grep -q "^[^[]*\"generation\":$1," || return 1
    done
}

# write_variant NAME TARGET_MS: writes the demo's service file with another
# target to the directory NAME.
write_variant() {
    mkdir -p "$run_dir/$1"
    sed "s/target_ms = 1000/target_ms = $2/" examples/demo/desk.toml \
        >"$run_dir/$1/desk.toml"
}

publish() {
    build/apricotctl publish --store "http://127.0.0.1:$store_port" "$@"
}

write_variant one 1100
published_at=$(now_ms)
publish "$run_dir/one" >/dev/null
echo "exit status: $?"
print_yes_no "in force on every process within 5 s" \
    wait_until 5 in_force 2 a b c d

echo "-- a frozen process catches up"
kill -STOP "$d_pid"
write_variant two 1200
publish "$run_dir/two" >/dev/null
print_yes_no "in force on the others" wait_until 5 in_force 3 a b c
kill -CONT "$d_pid"
print_yes_no "in force on the one that returned" wait_until 5 in_force 3 d

echo "-- two publishers from the same base"
write_variant left 1300
write_variant right 1400
publish --based-on 3 "$run_dir/left" >"$run_dir/left.out" 2>&1 &
left_pid=$!
publish --based-on 3 "$run_dir/right" >"$run_dir/right.out" 2>&1 &
right_pid=$!
wait "$left_pid"
left_status=$?
wait "$right_pid"
right_status=$?
echo "exit statuses, sorted: $(printf '%s\n' "$left_status" "$right_status" |
    sort | tr '\n' ' ')"
print_yes_no "the other one is told who won" \
    grep -q "@" "$run_dir/left.out" "$run_dir/right.out"
print_yes_no "one generation more, everywhere" wait_until 5 in_force 4 a b c d

echo "-- the store is down"
set_store_mode down
write_variant three 1500
publish "$run_dir/three" >"$run_dir/down.out" 2>&1
echo "exit status: $?"
sleep 0.5
print_yes_no "nothing went back" in_force 4 a b c d
kill -KILL "$b_pid" 2>/dev/null
run_host b
print_yes_no "a restarted process has it from its peers" \
    wait_until 5 in_force 4 b
