# Heads that arrive a byte at a time must not take the descriptors from other
# callers.
run() {
    timeout 40 /usr/bin/python3 platform/soak/hostile_callers.py "$@"
}
run heads
