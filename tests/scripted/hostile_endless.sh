# Responses without end that no caller reads must not make a gateway exceed
# its memory limit.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
echo "beside the backend server"
run endless
echo "through an entry gateway"
run endless --through-entry
