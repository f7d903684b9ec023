#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")" || exit 2
for python in /usr/bin/python3 python3; do
    command -v "$python" >/dev/null 2>&1 && exec "$python" -B case.py
done
echo "the case could not run: no python3"
exit 2
