# Service files with errors must not be published, not even in part, and each
# error must be reported with file, line, field and fix.
. scripts/lib.sh
create_run_dir
start_store
export APRICOT_STORE=http://127.0.0.1:$store_port
services=$run_dir/services

# run_and_print ARGUMENTS...: runs apricotctl and prints the command, its output
# and its exit status.
run_and_print() {
    echo "\$ apricotctl $*" | sed "s|$run_dir|DIR|g"
    "$build/apricotctl" "$@" 2>&1 | sed "s|$run_dir|DIR|g"
    echo "exit ${PIPESTATUS[0]}"
}

mkdir "$services"
cat >"$services/a-bench.toml" <<'END'
service = "bench"
keys = ["pack/*"]

[[rank]]
name = "sheet"
target_ms = 60
worth = 20
END
cat >"$services/b-desk.toml" <<'END'
service = "desk"
keys = ["job/*"]
movecost = 0.8

[limits]
queue = 0

[[rank]]
name = "urgent"
worth = 10
END
echo 'service = "desk' >"$services/c-desk.toml"

run_and_print check "$services"
run_and_print publish "$services"
run_and_print config show
run_and_print check --json "$services"

cat >"$services/b-desk.toml" <<'END'
service = "desk"
keys = ["job/*"]
ramp_s = 10

[[rank]]
name = "urgent"
target_ms = 50
worth = 10
END
cat >"$services/c-desk.toml" <<'END'
service = "desk"
ramp_s = 20
END
run_and_print publish "$services"
run_and_print config show
rm "$services/c-desk.toml"
run_and_print check "$services"
run_and_print check "$run_dir/none"
