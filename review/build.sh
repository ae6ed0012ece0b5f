#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs (standard library only), so nothing has to be
# compiled: this checks that Python can read them.
set -eu
cd "$(dirname "$0")"
for file in common/harness.py ./*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
