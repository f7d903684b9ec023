# An operator must learn of the errors in a configuration of apricot-gateway,
# and of what it changes, before the configuration is sent, also when the store
# does not respond.
. scripts/lib.sh
create_run_dir
cd "$run_dir" || exit 1

# run_and_print ARGUMENTS...: runs apricotctl and prints the command, its output
# and its exit status. Replaces the port, and the reason that libcurl gives for
# a failed connection.
run_and_print() {
    echo "\$ apricotctl $*" | sed "s|$store_port|PORT|"
    "$build/apricotctl" "$@" 2>&1 |
        sed "s|$store_port|PORT|; s|\(store http[^ ]*: \)Co[^\"]*|\1...|"
    echo "exit ${PIPESTATUS[0]}"
}

# run_platform_store [OPTIONS]: starts the stand-in of the platform's store.
run_platform_store() {
    [ -z "$store_pid" ] || kill "$store_pid"
    free_port store_port
    /usr/bin/python3 "$root_dir/platform/soak/run_store.py" \
        --port "$store_port" "$@" >store.out 2>&1 &
    store_pid=$!
    started_pids+=("$store_pid")
    export APRICOT_STORE=http://127.0.0.1:$store_port
    wait_until 10 curl -s -o /dev/null "$APRICOT_STORE"
}

cat >old.json <<'JSON'
{"version": "00000007",
 "routes": [
  {"name": "desk", "host": "desk.example", "prefix": "/desk/",
   "kind": "idempotent", "timeoutS": 2, "sloS": 0.5, "priority": 0,
   "attempts": 2, "service": "desk"},
  {"name": "print", "host": "desk.example", "prefix": "/print/",
   "kind": "non_idempotent", "timeoutS": 8, "sloS": 4, "priority": 1,
   "attempts": 1, "service": "bench"}],
 "services": [
  {"name": "desk", "sharded": true, "warmS": 4, "maxConns": 100},
  {"name": "bench", "maxConns": 100}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
  "headerTimeoutS": 5, "idleTimeoutS": 30}}
JSON
sed 's/00000007/00000008/; s/0\.5/0.4/; s/"print"/"press"/; s/1048576/2097152/
    s/"bench", "max/"bench", "coldStartS": 20, "coldPerS": 4, "max/' \
    old.json >new.json
cat >wrong.json <<'JSON'
{"version": "00000007",
 "routes": [
  {"name": "desk", "host": "desk.example", "prefix": "/desk",
   "kind": "idempotent", "timeoutS": 2, "sloS": 5, "priority": 0,
   "atempts": 2, "service": "desks"},
  {"name": "put", "host": "desk.example", "prefix": "/put/",
   "kind": "upload", "timeoutS": 30, "sloS": 10, "priority": 1,
   "attempts": 1, "split": [
    {"service": "desk", "weight": 0},
    {"service": "desk", "weight": 4294967296}]}],
 "services": [
  {"name": "desk", "sharded": true},
  {"name": "bench", "coldPerS": 4}],
 "limits": {"maxHeaderBytes": 0, "maxBodyBytes": 0,
  "headerTimeoutS": 5, "idleTimeoutS": 3}}
JSON
echo '{"version": 7' >broken.json
export APRICOT_STORE=
store_port=unset

run_and_print config check old.json
run_and_print config check wrong.json
run_and_print config check broken.json
run_and_print config check new.json --against old.json
run_and_print --json config check new.json --against old.json
run_and_print config check old.json --against old.json
run_and_print config check new.json --against broken.json
run_and_print config check none.json
run_and_print config check new.json --against store
run_and_print config check
run_and_print config show --against old.json

run_platform_store --config old.json
run_and_print config check new.json --against store
run_and_print config check wrong.json --against store --json
run_platform_store
run_and_print config check new.json --against store
run_platform_store --config old.json --mode busy
run_and_print config check wrong.json --against store
kill "$store_pid"
wait "$store_pid" 2>/dev/null
run_and_print config check new.json --against store
run_and_print config check wrong.json --against store --json
