# Guards against a publication that is repeated for nothing, that overwrites
# another operator's, or that is reported as done while the store is down.
. scripts/lib.sh
cluster_begin
start_store
export APRICOT_STORE=http://127.0.0.1:$store_port

# Times, the user and the host differ between runs, and so does the way in
# which the stand-in store fails.
show() {
    echo "\$ apricotctl $*"
    "$build/apricotctl" "$@" 2>&1 |
        sed 's/20[0-9-]*T[0-9:]*Z/TIME/; s/[^ ]*@[^ ,]*/USER@HOST/
            s/\(unavailable: \|read the store: \).*/\1.../'
    echo "exit ${PIPESTATUS[0]}"
}

show publish examples/kayalpuram
show publish examples/kayalpuram
show publish examples/kitakaze
show publish examples/demo --based-on 0
show config show rentals
sed 's/0\.8/0.7/' examples/kayalpuram/pack-desk.toml >"$run_dir/desk.toml"
"$build/apricotctl" publish "$run_dir"
show publish examples/kayalpuram --based-on 2
show config history pack-desk
show config show none
store_mode down
show publish examples/kitakaze
show config show
