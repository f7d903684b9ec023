#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
exec /usr/bin/python3 "$(dirname "$0")/run.py"
