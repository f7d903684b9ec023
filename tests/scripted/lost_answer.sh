# Guards against a write of the store that is taken for failed although it
# took effect: every answer to a transaction is lost for a while.
source scripts/lib.sh
cluster_begin
start_cell a b c || { echo "the cell did not start"; exit 1; }
key=$(key_of b a)
store_mode lose_answer
ctl a drain b >/dev/null
sleep 1
store_mode ok
say "the drained host gave everything away" \
    wait_until 5 owns_nothing b a
say "every partition has an owner" all_owned a
say "its keys are served" wait_until 2 serving "$a_callers" "$key"
ctl a undrain b >/dev/null
say "it owns keys again" wait_until 10 has_share b a 20
say "no booking ran twice" none_doubled
