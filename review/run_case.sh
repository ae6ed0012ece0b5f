#!/bin/sh
# Runs the case in the folder $1. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$1" || exit 2
[ -x ../../build/gateway ] || { echo "build/gateway is missing" >&2; exit 2; }
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
exec python3 -B case.py
