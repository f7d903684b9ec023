# Functions for scripts that run a cell on loopback. A script sources this file
# and calls create_run_dir first; all processes that the functions start are
# killed when the script exits. The functions set these variables: run_dir,
# store_port, store_pid, and for each host <host>_callers, <host>_peers,
# <host>_admin and <host>_backend (ports), <host>_pid, <host>_backend_pid and
# <host>_relay_pid. They read service_ms, log_level, caller_token, admin_token,
# backend_options and <host>_advertised (port of a relay). With KEEP_RUN_DIR
# set, run_dir is not deleted. APRICOT_BUILD replaces the build directory.

root_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${APRICOT_BUILD:-$root_dir/build}
started_pids=()
used_ports=' '
peer_key=demo-shared-key-0123456789
store_pid=
service_ms=${service_ms:-2}

clean_up() {
    local pid
    for pid in "${started_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_RUN_DIR:-}" ] || rm -rf "$run_dir"
}

create_run_dir() {
    run_dir=$(mktemp -d)
    trap clean_up EXIT
}

# free_port VARIABLE: sets the variable to a port on which nothing listens and
# that was not chosen before.
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 12000))
        case $used_ports in *" $port "*) continue ;; esac
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            used_ports+="$port "
            printf -v "$1" %s "$port"
            return
        fi
    done
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after the given time.
wait_until() {
    local limit=$(($(date +%s%N) + $1 * 1000000000))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(date +%s%N)" -lt "$limit" ] || return 1
        sleep 0.05
    done
}

now_ms() {
    echo $(($(date +%s%N) / 1000000))
}

store_responds() {
    curl -s -o /dev/null --max-time 1 "http://127.0.0.1:$store_port/control/counts"
}

start_store() {
    free_port store_port
    "$build/apricot-standin-store" --listen "127.0.0.1:$store_port" \
        >"$run_dir/store.out" 2>"$run_dir/store.err" &
    store_pid=$!
    started_pids+=("$store_pid")
    wait_until 10 store_responds
}

# set_store_mode MODE [DELAY_MS]: sets the failure mode of the stand-in store
# to ok, down, slow or lose_answer.
set_store_mode() {
    curl -s -o /dev/null --max-time 2 -X POST \
        "http://127.0.0.1:$store_port/control?mode=$1&delay_ms=${2:-0}"
}

# write_settings HOST FAILURE_DOMAIN: writes the settings file of a host whose
# ports are set.
write_settings() {
    local host=$1 domain=$2
    local advertised="${host}_advertised"
    local callers="${host}_callers" peers="${host}_peers" admin="${host}_admin"
    cat > "$run_dir/$host.toml" <<SETTINGS
host = "$host"
cell = "demo"
failure_domain = "$domain"
region = "local"

[listen]
callers = "127.0.0.1:${!callers}"
peers = "127.0.0.1:${!peers}"
admin = "127.0.0.1:${!admin}"

[advertise]
peers = "127.0.0.1:${!advertised:-${!peers}}"

[store]
endpoints = ["http://127.0.0.1:$store_port"]
timeout_ms = 500

[security]
peer_key = "$peer_key"
caller_token = "${caller_token:-}"
admin_token = "${admin_token:-}"

[log]
level = "${log_level:-info}"
SETTINGS
}

# run_host HOST: starts the process of a host whose settings are written.
run_host() {
    "$build/apricotd" --settings "$run_dir/$1.toml" \
        >>"$run_dir/$1.out" 2>>"$run_dir/$1.log" &
    printf -v "$1_pid" %s $!
    started_pids+=($!)
}

# run_backend HOST [OPTIONS]: starts the stand-in backend server of a host.
run_backend() {
    local host=$1
    shift
    local port="${host}_backend" admin="${host}_admin"
    "$build/apricot-standin-backend" --listen "127.0.0.1:${!port}" \
        --announce-to "127.0.0.1:${!admin}" --service-ms "$service_ms" \
        --run-log "$run_dir/$host.runs" "$@" \
        >>"$run_dir/$host.backend.out" 2>>"$run_dir/$host.backend.err" &
    printf -v "${host}_backend_pid" %s $!
    started_pids+=($!)
}

# run_relay HOST: starts a relay in front of the peer listener if
# <host>_advertised is set. SIGUSR1 to <host>_relay_pid cuts it, SIGUSR2
# restores it.
run_relay() {
    local advertised="$1_advertised" peers="$1_peers"
    [ -n "${!advertised:-}" ] || return 0
    "$build/apricot-standin-relay" --listen "127.0.0.1:${!advertised}" \
        --to "127.0.0.1:${!peers}" >"$run_dir/$1.relay" 2>&1 &
    printf -v "$1_relay_pid" %s $!
    started_pids+=($!)
}

# start_host HOST FAILURE_DOMAIN [BACKEND OPTIONS]: chooses the ports of a host
# and starts its relay, process and backend server.
start_host() {
    local host=$1 domain=$2
    shift 2
    free_port "${host}_callers"
    free_port "${host}_peers"
    free_port "${host}_admin"
    free_port "${host}_backend"
    write_settings "$host" "$domain"
    run_relay "$host"
    run_host "$host"
    run_backend "$host" --service desk "$@"
}

# run_ctl HOST ARGUMENTS...: runs apricotctl with the admin address of a host.
run_ctl() {
    local admin="$1_admin"
    shift
    "$build/apricotctl" --admin "127.0.0.1:${!admin}" "$@"
}

fetch_status() {
    local admin="$1_admin"
    curl -s --max-time 2 "http://127.0.0.1:${!admin}/status"
}

# count_owned HOST VIEWER: prints the number of partitions of the service that
# HOST owns according to VIEWER; nothing if it owns none.
count_owned() {
    fetch_status "$2" | tr ',{' '\n\n' | sed -n "s/^\"$1\":\([0-9]*\).*/\1/p" |
        head -n 1
}

# count_unowned VIEWER: prints the number of partitions without an owner.
count_unowned() {
    fetch_status "$1" | grep -o '"unowned":[0-9]*' | head -n 1 | cut -d: -f2
}

# owns_more_than HOST VIEWER [COUNT]: whether HOST owns more than COUNT
# partitions, 0 by default, according to VIEWER.
owns_more_than() {
    local count
    count=$(count_owned "$1" "$2")
    [ -n "$count" ] && [ "$count" -gt "${3:-0}" ]
}

# owns_nothing HOST VIEWER: fails also if VIEWER does not respond.
owns_nothing() {
    fetch_status "$2" | grep -q '"members"' &&
        [ -z "$(count_owned "$1" "$2")" ]
}

# member_removed HOST VIEWER INCARNATION: whether the record no longer holds
# this incarnation of HOST; fails also if VIEWER does not respond.
member_removed() {
    fetch_status "$2" | grep -q '"members"' &&
        ! fetch_status "$2" | grep -q "\"host\":\"$1\",\"incarnation\":$3"
}

# incarnation_of HOST VIEWER: prints the incarnation of HOST in the record.
incarnation_of() {
    fetch_status "$2" | grep -o "\"host\":\"$1\",\"incarnation\":[0-9]*" |
        head -n 1 | grep -o '[0-9]*$'
}

# Prints the version of the record according to VIEWER.
fetch_record_version() {
    fetch_status "$1" | grep -o '"record_version":[0-9]*' | cut -d: -f2
}

# wait_until_record_settles VIEWER: waits until the record has not changed for
# 3 s; fails after 30 s. A partition that has moved may move again after 2 s.
wait_until_record_settles() {
    local limit=$(($(now_ms) + 30000)) changed version last=
    changed=$(now_ms)
    while [ $(($(now_ms) - changed)) -lt 3000 ]; do
        [ "$(now_ms)" -lt "$limit" ] || return 1
        version=$(fetch_record_version "$1")
        if [ -z "$version" ] || [ "$version" != "$last" ]; then
            last=$version
            changed=$(now_ms)
        fi
        sleep 0.05
    done
}

publish_demo() {
    "$build/apricotctl" publish --store "http://127.0.0.1:$store_port" \
        "$root_dir/examples/demo"
}

# is_served PORT [KEY]: whether a request for the key gets status 200 from the
# caller listener on PORT.
is_served() {
    curl -s --max-time 1 -o /dev/null -w '%{http_code}' \
        -H 'Apricot-Timeout-Ms: 500' \
        "http://127.0.0.1:$1/v1/desk/status/${2:-job/1}" | grep -q 200
}

# print_yes_no TEXT COMMAND...: prints "TEXT: yes" if the command succeeds,
# else "TEXT: no".
print_yes_no() {
    local text=$1
    shift
    if "$@" >/dev/null 2>&1; then
        echo "$text: yes"
    else
        echo "$text: no"
    fi
}

# Prints a UUID of version 7 with the current time.
uuid7() {
    local random
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    printf '%012x' "$(now_ms)" |
        sed "s/\(.\{8\}\)\(.\{4\}\)/\1-\2-7${random:0:3}-8${random:3:3}-${random:6:12}/"
}

# send_booking PORT KEY UUID [CURL OPTIONS]: sends one non-idempotent request
# and prints its outcome.
send_booking() {
    local port=$1 key=$2 id=$3
    shift 3
    curl -s -i --max-time 5 -X POST -H "Idempotency-Key: $id" \
        -H 'Apricot-Timeout-Ms: 1000' "$@" \
        "http://127.0.0.1:$port/v1/desk/book/$key" |
        tr -d '\r' | sed -n 's/^Apricot-Outcome: //p'
}

# fetch_owner VIEWER KEY: prints the owner of the key according to VIEWER.
fetch_owner() {
    local admin="$1_admin"
    curl -s --max-time 2 \
        "http://127.0.0.1:${!admin}/where?service=desk&key=$2" |
        sed -n 's/.*"owner":"\([^"]*\)".*/\1/p'
}

# find_key_owned_by OWNER VIEWER: prints a key that OWNER owns according to
# VIEWER.
find_key_owned_by() {
    local i
    for i in $(seq 1 400); do
        if [ "$(fetch_owner "$2" "job/$i")" = "$1" ]; then
            echo "job/$i"
            return
        fi
    done
    return 1
}

# Prints the number of idempotency keys that ran more than once, over the run
# logs of all backend servers.
count_repeated_runs() {
    cat "$run_dir"/*.runs | awk '$3 == "book" {print $4}' | sort | uniq -d |
        wc -l
}

no_run_repeated() {
    [ "$(count_repeated_runs)" -eq 0 ]
}

# all_partitions_owned VIEWER: whether every partition has an owner.
all_partitions_owned() {
    [ "$(count_unowned "$1")" = 0 ]
}

# start_cell HOST...: starts the store and the hosts, which are spread over
# three failure domains; the backend servers get $backend_options. Publishes
# the demo configuration and waits until every host owns more than 20
# partitions.
start_cell() {
    local host domain=0
    start_store || return 1
    for host in "$@"; do
        # shellcheck disable=SC2086 # splits the options into words
        start_host "$host" "domain-$((domain++ % 3))" ${backend_options:-}
    done
    publish_demo >/dev/null || return 1
    for host in "$@"; do
        wait_until 15 owns_more_than "$host" "$1" 20 || return 1
    done
    wait_until 5 all_partitions_owned "$1"
}
