#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
# Writes record.txt in this folder, whatever the outcome.
cd "$(dirname "$0")" || exit 2
echo "could not run: the script did not start" > record.txt || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case-2.py
