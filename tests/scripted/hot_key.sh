# Guards against a hot key that stays with the other keys of its owner, and
# against a slot that is kept for ever.
source scripts/lib.sh
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }

hot_slots() {
    status_of a | grep -o '"hot":[0-9]*' | head -n 1 | cut -d: -f2
}

has_hot() {
    [ "$(hot_slots)" -ge 1 ]
}

none_hot() {
    [ "$(hot_slots)" = 0 ]
}

build/apricotload --targets "127.0.0.1:$a_callers,127.0.0.1:$b_callers" \
    --service desk --rate 400 --duration-s 8 --seed 3 --keys 40 --skew 2 \
    --ranks urgent:1:500:book >"$run_dir/load.out" 2>&1 &
load=$!
say "the hot key has its own slot within 5 s" wait_until 5 has_hot
wait "$load"
say "it returns when it has cooled" wait_until 40 none_hot
say "every partition has an owner" all_owned a
say "no booking ran twice" none_doubled
