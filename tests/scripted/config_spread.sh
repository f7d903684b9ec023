# Guards against a configuration that is not in force everywhere within 5 s,
# that goes back, or that one of two racing publishers loses without a word.
source scripts/lib.sh
cluster_begin
start_cell a b c d || { echo "the cell did not start"; exit 1; }

in_force() {
    local host
    for host in "${@:2}"; do
        status_of "$host" | grep -q "^[^[]*\"generation\":$1," || return 1
    done
}

# variant NAME TARGET_MS: the demo's file with another target.
variant() {
    mkdir -p "$run_dir/$1"
    sed "s/target_ms = 1000/target_ms = $2/" examples/demo/desk.toml \
        >"$run_dir/$1/desk.toml"
}

publish() {
    build/apricotctl publish --store "http://127.0.0.1:$store_port" "$@"
}

variant one 1100
published_at=$(now_ms)
publish "$run_dir/one" >/dev/null
echo "exit status: $?"
say "in force on every process within 5 s" wait_until 5 in_force 2 a b c d

echo "-- a frozen process catches up"
kill -STOP "$d_pid"
variant two 1200
publish "$run_dir/two" >/dev/null
say "in force on the others" wait_until 5 in_force 3 a b c
kill -CONT "$d_pid"
say "in force on the one that returned" wait_until 5 in_force 3 d

echo "-- two publishers from the same base"
variant left 1300
variant right 1400
publish --based-on 3 "$run_dir/left" >"$run_dir/left.out" 2>&1 &
left=$!
publish --based-on 3 "$run_dir/right" >"$run_dir/right.out" 2>&1 &
right=$!
wait "$left"
left_status=$?
wait "$right"
right_status=$?
echo "exit statuses, sorted: $(printf '%s\n' "$left_status" "$right_status" |
    sort | tr '\n' ' ')"
say "the other one is told who won" \
    grep -q "@" "$run_dir/left.out" "$run_dir/right.out"
say "one generation more, everywhere" wait_until 5 in_force 4 a b c d

echo "-- the store is down"
store_mode down
variant three 1500
publish "$run_dir/three" >"$run_dir/down.out" 2>&1
echo "exit status: $?"
sleep 0.5
say "nothing went back" in_force 4 a b c d
kill -KILL "$b_pid" 2>/dev/null
run_host b
say "a restarted process has it from its peers" wait_until 5 in_force 4 b
