# A slow reader, 16 pipelined requests and a body of 64 MiB must be served by an
# otherwise idle gateway with a low memory limit.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
echo "beside the backend server"
run within-limits
echo "through an entry gateway"
run within-limits --through-entry
