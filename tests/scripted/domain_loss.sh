# Guards against the loss of a failure domain that leaves keys unserved for
# more than 2 s: a third of the hosts is killed at once.
source scripts/lib.sh
cluster_begin
start_cell a b c d e f || { echo "the cell did not start"; exit 1; }
sleep 1.5 # witness lists settle
key_a=$(key_of a b)
key_d=$(key_of d b)
gone_a=$(incarnation_of a b)
gone_d=$(incarnation_of d b)
kill -KILL "$a_pid" "$a_backend_pid" "$d_pid" "$d_backend_pid" 2>/dev/null
killed_at=$(now_ms)
wait_until 5 serving "$b_callers" "$key_a"
wait_until 5 serving "$c_callers" "$key_d"
say "keys of both lost hosts are served within 2 s" \
    test $(($(now_ms) - killed_at)) -lt 2000
say "both are out of the record" \
    wait_until 2 eval 'member_gone a b $gone_a && member_gone d b $gone_d'
say "every partition has an owner" all_owned b
say "no booking ran twice" none_doubled
