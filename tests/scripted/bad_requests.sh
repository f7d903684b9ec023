# Invalid requests of callers must be refused with a 4xx status and a reason,
# and must not reach a backend server.
source scripts/lib.sh
create_run_dir
caller_token=caller-secret-for-the-test
start_cell a b || { echo "the cell did not start"; exit 1; }
base="http://127.0.0.1:$a_callers"
authorized=(-H "Authorization: Bearer $caller_token")
sleep 0.5
runs_before=$(cat "$run_dir"/*.runs 2>/dev/null | wc -l)

# send_request NAME CURL_ARGUMENTS...: prints status, outcome and reason.
send_request() {
    local name=$1 response
    shift
    response=$(curl -s -i --max-time 5 "$@" | tr -d '\r')
    echo "$name: $(sed -n '1s/[^ ]* \([0-9]*\).*/\1/p' <<<"$response")" \
        "$(sed -n 's/^Apricot-Outcome: //p' <<<"$response")" \
        "$(sed -n 's/.*"reason":"\([^"]*\)".*/\1/p' <<<"$response")" |
        sed 's/ *$//'
}

head -c 70000 /dev/zero | tr '\0' x >"$run_dir/large"
send_request "no token" "$base/v1/desk/status/job/1"
send_request "wrong token" -H 'Authorization: Bearer guess' "$base/v1/desk/status/job/1"
send_request "no key" "${authorized[@]}" "$base/v1/desk/status"
send_request "no such path" "${authorized[@]}" "$base/v2/desk/status/job/1"
send_request "unknown service" "${authorized[@]}" "$base/v1/mill/status/job/1"
send_request "key of no pattern" "${authorized[@]}" "$base/v1/desk/status/wig/1"
send_request "unknown rank" "${authorized[@]}" -H 'Apricot-Rank: royal' \
    "$base/v1/desk/status/job/1"
send_request "bad timeout" "${authorized[@]}" -H 'Apricot-Timeout-Ms: soon' \
    "$base/v1/desk/status/job/1"
send_request "other method" "${authorized[@]}" -X DELETE "$base/v1/desk/status/job/1"
send_request "no idempotency key" "${authorized[@]}" -X POST "$base/v1/desk/book/job/1"
send_request "random uuid" "${authorized[@]}" -X POST \
    -H 'Idempotency-Key: 0d9f5b1c-7a4e-4c1b-9a57-3f1d2c4b5a69' \
    "$base/v1/desk/book/job/1"
send_request "key from the future" "${authorized[@]}" -X POST \
    -H 'Idempotency-Key: 0fffffff-ffff-7000-8000-000000000000' \
    "$base/v1/desk/book/job/1"
send_request "large body" "${authorized[@]}" -X POST --data-binary "@$run_dir/large" \
    "$base/v1/desk/status/job/1"
echo "runs at the backend servers: $(($(cat "$run_dir"/*.runs | wc -l) - runs_before))"
send_request "a sound request" "${authorized[@]}" "$base/v1/desk/status/job/1"
