# A hot key must move to a slot of its own, and the slot must be freed when
# the key has cooled down. The backend servers check grants: they refuse the
# key's requests if the base partition takes it back with its old epoch.
source scripts/lib.sh
backend_options=--checks-grants
create_run_dir
start_cell a b c || { echo "the cell did not start"; exit 1; }

count_hot_slots() {
    fetch_status a | grep -o '"hot":[0-9]*' | head -n 1 | cut -d: -f2
}

hot_slot_used() {
    [ "$(count_hot_slots)" -ge 1 ]
}

no_hot_slot_used() {
    [ "$(count_hot_slots)" = 0 ]
}

build/apricotload --targets "127.0.0.1:$a_callers,127.0.0.1:$b_callers" \
    --service desk --rate 400 --duration-s 8 --seed 3 --keys 40 --skew 2 \
    --ranks urgent:1:500:book >"$run_dir/load.out" 2>&1 &
load_pid=$!
print_yes_no "the hot key has its own slot within 5 s" \
    wait_until 5 hot_slot_used
wait "$load_pid"
print_yes_no "it returns when it has cooled" wait_until 40 no_hot_slot_used
key=$(cat "$run_dir"/*.runs | awk '{print $2}' | sort | uniq -c | sort -rn |
    awk 'NR == 1 {print $2}')
echo "its booking after the return: $(send_booking "$a_callers" "$key" "$(uuid7)" -H 'Apricot-Attempt: 1')"
print_yes_no "every partition has an owner" all_partitions_owned a
print_yes_no "no booking ran twice" no_run_repeated
