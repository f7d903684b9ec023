# Large bodies to a backend server that reads slowly must not make a gateway
# exceed its memory limit, also not by bytes that it leaves in the kernel.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
echo "beside the backend server"
run uploads
echo "through an entry gateway"
run uploads --through-entry
