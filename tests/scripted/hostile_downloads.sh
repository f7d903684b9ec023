# Responses that are read very slowly on many connections must not make a
# gateway exceed its memory limit.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
echo "beside the backend server"
run downloads
echo "through an entry gateway"
run downloads --through-entry
