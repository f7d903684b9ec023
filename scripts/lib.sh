# Functions for scripts that run a small installation on loopback. Source it
# and call cluster_begin first; everything that was started ends with the
# script. Shell variables: run_dir, store_port, <host>_callers, <host>_peers,
# <host>_admin, <host>_backend, <host>_pid, <host>_backend_pid.

lib_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${APRICOT_BUILD:-$lib_root/build}
cluster_pids=()
used_ports=' '
peer_key=demo-shared-key-0123456789
store_pid=
service_ms=${service_ms:-2}

cluster_end() {
    local pid
    for pid in "${cluster_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_RUN_DIR:-}" ] || rm -rf "$run_dir"
}

cluster_begin() {
    run_dir=$(mktemp -d)
    trap cluster_end EXIT
}

# Sets the variable $1 to a port on which nothing listens.
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

# wait_until SECONDS COMMAND...: runs the command until it succeeds.
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

store_up() {
    curl -s -o /dev/null --max-time 1 "http://127.0.0.1:$store_port/control/counts"
}

start_store() {
    free_port store_port
    "$build/apricot-standin-store" --listen "127.0.0.1:$store_port" \
        >"$run_dir/store.out" 2>"$run_dir/store.err" &
    store_pid=$!
    cluster_pids+=("$store_pid")
    wait_until 10 store_up
}

# store_mode MODE [DELAY_MS]: ok, down, slow or lose_answer.
store_mode() {
    curl -s -o /dev/null --max-time 2 -X POST \
        "http://127.0.0.1:$store_port/control?mode=$1&delay_ms=${2:-0}"
}

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

# run_host HOST: starts the process of a host whose settings exist.
run_host() {
    "$build/apricotd" --settings "$run_dir/$1.toml" \
        >>"$run_dir/$1.out" 2>>"$run_dir/$1.log" &
    printf -v "$1_pid" %s $!
    cluster_pids+=($!)
}

run_backend() {
    local host=$1
    shift
    local port="${host}_backend" admin="${host}_admin"
    "$build/apricot-standin-backend" --listen "127.0.0.1:${!port}" \
        --announce-to "127.0.0.1:${!admin}" --service-ms "$service_ms" \
        --run-log "$run_dir/$host.runs" "$@" \
        >>"$run_dir/$host.backend.out" 2>>"$run_dir/$host.backend.err" &
    printf -v "${host}_backend_pid" %s $!
    cluster_pids+=($!)
}

# run_relay HOST: a relay before the peer listener, if <host>_advertised is
# set. SIGUSR1 to <host>_relay_pid cuts it, SIGUSR2 restores it.
run_relay() {
    local advertised="$1_advertised" peers="$1_peers"
    [ -n "${!advertised:-}" ] || return 0
    "$build/apricot-standin-relay" --listen "127.0.0.1:${!advertised}" \
        --to "127.0.0.1:${!peers}" >"$run_dir/$1.relay" 2>&1 &
    printf -v "$1_relay_pid" %s $!
    cluster_pids+=($!)
}

# start_host HOST FAILURE_DOMAIN [BACKEND OPTIONS]: process and backend server.
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

ctl() {
    local admin="$1_admin"
    shift
    "$build/apricotctl" --admin "127.0.0.1:${!admin}" "$@"
}

status_of() {
    local admin="$1_admin"
    curl -s --max-time 2 "http://127.0.0.1:${!admin}/status"
}

# owns HOST: prints how many partitions of the service the host owns, as the
# host $2 sees it.
owns() {
    status_of "$2" | tr ',{' '\n\n' | sed -n "s/^\"$1\":\([0-9]*\).*/\1/p" |
        head -n 1
}

unowned() {
    status_of "$1" | grep -o '"unowned":[0-9]*' | head -n 1 | cut -d: -f2
}

has_share() {
    local count
    count=$(owns "$1" "$2")
    [ -n "$count" ] && [ "$count" -gt "${3:-0}" ]
}

owns_nothing() {
    status_of "$2" | grep -q '"members"' && [ -z "$(owns "$1" "$2")" ]
}

member_gone() {
    status_of "$2" | grep -q '"members"' &&
        ! status_of "$2" | grep -q "\"host\":\"$1\",\"incarnation\":$3"
}

incarnation_of() {
    status_of "$2" | grep -o "\"host\":\"$1\",\"incarnation\":[0-9]*" |
        head -n 1 | grep -o '[0-9]*$'
}

publish_demo() {
    "$build/apricotctl" publish --store "http://127.0.0.1:$store_port" \
        "$lib_root/examples/demo"
}

serving() {
    curl -s --max-time 1 -o /dev/null -w '%{http_code}' \
        -H 'Apricot-Timeout-Ms: 500' \
        "http://127.0.0.1:$1/v1/desk/status/${2:-job/1}" | grep -q 200
}

# say TEXT COMMAND...: prints "TEXT: yes" when the command succeeds, else no.
say() {
    local text=$1
    shift
    if "$@" >/dev/null 2>&1; then
        echo "$text: yes"
    else
        echo "$text: no"
    fi
}

# A UUID of version 7 for the present time.
uuid7() {
    local random
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    printf '%012x' "$(now_ms)" |
        sed "s/\(.\{8\}\)\(.\{4\}\)/\1-\2-7${random:0:3}-8${random:3:3}-${random:6:12}/"
}

# book PORT KEY UUID [CURL OPTIONS]: one non-idempotent request; prints the
# outcome.
book() {
    local port=$1 key=$2 id=$3
    shift 3
    curl -s -i --max-time 5 -X POST -H "Idempotency-Key: $id" \
        -H 'Apricot-Timeout-Ms: 1000' "$@" \
        "http://127.0.0.1:$port/v1/desk/book/$key" |
        tr -d '\r' | sed -n 's/^Apricot-Outcome: //p'
}

owner_of() {
    local admin="$1_admin"
    curl -s --max-time 2 \
        "http://127.0.0.1:${!admin}/where?service=desk&key=$2" |
        sed -n 's/.*"owner":"\([^"]*\)".*/\1/p'
}

# key_of OWNER HOST: a key that the host $2 says OWNER owns.
key_of() {
    local i
    for i in $(seq 1 400); do
        if [ "$(owner_of "$2" "job/$i")" = "$1" ]; then
            echo "job/$i"
            return
        fi
    done
    return 1
}

# Idempotency keys that ran more than once on any backend server.
doubled_runs() {
    cat "$run_dir"/*.runs | awk '$3 == "book" {print $4}' | sort | uniq -d |
        wc -l
}

none_doubled() {
    [ "$(doubled_runs)" -eq 0 ]
}

all_owned() {
    [ "$(unowned "$1")" = 0 ]
}

# start_cell HOST...: the store (backend servers get $backend_options), the hosts in three failure domains in turn
# and the demo configuration; waits until all of them own keys.
start_cell() {
    local host domain=0
    start_store || return 1
    for host in "$@"; do
        # shellcheck disable=SC2086 # options are separate words
        start_host "$host" "domain-$((domain++ % 3))" ${backend_options:-}
    done
    publish_demo >/dev/null || return 1
    for host in "$@"; do
        wait_until 15 has_share "$host" "$1" 20 || return 1
    done
    wait_until 5 all_owned "$1"
}
