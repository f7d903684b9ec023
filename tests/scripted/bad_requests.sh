# Guards against bad input of callers that is not refused with a clear 4xx, or
# that reaches a backend server.
source scripts/lib.sh
cluster_begin
caller_token=caller-secret-for-the-test
start_cell a b || { echo "the cell did not start"; exit 1; }
base="http://127.0.0.1:$a_callers"
authorized=(-H "Authorization: Bearer $caller_token")
sleep 0.5
before=$(cat "$run_dir"/*.runs 2>/dev/null | wc -l)

# try NAME CURL ARGUMENTS: prints status, outcome and reason.
try() {
    local name=$1 answer
    shift
    answer=$(curl -s -i --max-time 5 "$@" | tr -d '\r')
    echo "$name: $(sed -n '1s/[^ ]* \([0-9]*\).*/\1/p' <<<"$answer")" \
        "$(sed -n 's/^Apricot-Outcome: //p' <<<"$answer")" \
        "$(sed -n 's/.*"reason":"\([^"]*\)".*/\1/p' <<<"$answer")" |
        sed 's/ *$//'
}

head -c 70000 /dev/zero | tr '\0' x >"$run_dir/large"
try "no token" "$base/v1/desk/status/job/1"
try "wrong token" -H 'Authorization: Bearer guess' "$base/v1/desk/status/job/1"
try "no key" "${authorized[@]}" "$base/v1/desk/status"
try "no such path" "${authorized[@]}" "$base/v2/desk/status/job/1"
try "unknown service" "${authorized[@]}" "$base/v1/mill/status/job/1"
try "key of no pattern" "${authorized[@]}" "$base/v1/desk/status/wig/1"
try "unknown rank" "${authorized[@]}" -H 'Apricot-Rank: royal' \
    "$base/v1/desk/status/job/1"
try "bad timeout" "${authorized[@]}" -H 'Apricot-Timeout-Ms: soon' \
    "$base/v1/desk/status/job/1"
try "other method" "${authorized[@]}" -X DELETE "$base/v1/desk/status/job/1"
try "no idempotency key" "${authorized[@]}" -X POST "$base/v1/desk/book/job/1"
try "random uuid" "${authorized[@]}" -X POST \
    -H 'Idempotency-Key: 0d9f5b1c-7a4e-4c1b-9a57-3f1d2c4b5a69' \
    "$base/v1/desk/book/job/1"
try "key from the future" "${authorized[@]}" -X POST \
    -H 'Idempotency-Key: 0fffffff-ffff-7000-8000-000000000000' \
    "$base/v1/desk/book/job/1"
try "large body" "${authorized[@]}" -X POST --data-binary "@$run_dir/large" \
    "$base/v1/desk/status/job/1"
echo "runs at the backend servers: $(($(cat "$run_dir"/*.runs | wc -l) - before))"
try "a sound request" "${authorized[@]}" "$base/v1/desk/status/job/1"
