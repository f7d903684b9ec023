#!/bin/sh
# The stand-ins are Python files without dependencies: nothing is compiled.
# Fails where the scripts could not run.
cd "$(dirname "$0")" || exit 1
for python in /usr/bin/python3 python3; do
    command -v "$python" >/dev/null 2>&1 || continue
    for file in standins/*.py [1-5]/case.py; do
        "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$file" || exit 1
    done
    exit 0
done
echo "no python3" >&2
exit 1
