# Callers that send 64 requests at once and read no response must not make a
# gateway exceed its memory limit, beside the backend server or in front of
# another host's.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
echo "beside the backend server"
run pipelines
echo "through an entry gateway"
run pipelines --through-entry
