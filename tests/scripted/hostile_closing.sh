# Responses that end a connection and are not read must not take the descriptors
# from other callers.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
run closing
