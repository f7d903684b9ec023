# Publishing an unchanged configuration must not create a generation, must
# not overwrite the publication of another operator, and must not be reported
# as done while the store is down.
. scripts/lib.sh
create_run_dir
start_store
export APRICOT_STORE=http://127.0.0.1:$store_port

# run_and_print ARGUMENTS...: runs apricotctl and prints the command, its output
# and its exit status. Replaces what differs between runs: times, user, host,
# and the error of the stand-in store, which fails in two ways.
run_and_print() {
    echo "\$ apricotctl $*"
    "$build/apricotctl" "$@" 2>&1 |
        sed 's/20[0-9-]*T[0-9:]*Z/TIME/; s/[^ ]*@[^ ,]*/USER@HOST/
            s/\(unavailable: \|read the store: \).*/\1.../'
    echo "exit ${PIPESTATUS[0]}"
}

run_and_print publish examples/kayalpuram
run_and_print publish examples/kayalpuram
run_and_print publish examples/kitakaze
run_and_print publish examples/demo --based-on 0
run_and_print config show rentals
sed 's/0\.8/0.7/' examples/kayalpuram/pack-desk.toml >"$run_dir/desk.toml"
"$build/apricotctl" publish "$run_dir"
run_and_print publish examples/kayalpuram --based-on 2
run_and_print config history pack-desk
run_and_print config show none
set_store_mode down
run_and_print publish examples/kitakaze
run_and_print config show
