# Guards against service files with faults that are published, in whole or in
# part, and against faults reported without file, line, field and fix.
. scripts/lib.sh
cluster_begin
start_store
export APRICOT_STORE=http://127.0.0.1:$store_port
services=$run_dir/services

show() {
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

show check "$services"
show publish "$services"
show config show
show check --json "$services"

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
show publish "$services"
show config show
rm "$services/c-desk.toml"
show check "$services"
show check "$run_dir/none"
