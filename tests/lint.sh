#!/bin/bash
# Runs clang-tidy with the checks of .clang-tidy over all sources of src/, and over the headers of src/ and
# include/ that they use. Any finding fails it.
# Usage: tests/lint.sh [BUILD]   BUILD (build-tests) was configured with -DCMAKE_EXPORT_COMPILE_COMMANDS=ON.
# LINT_JOBS: processes at a time; one a core where it is not set.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build-tests}
if ! test -f "$build/compile_commands.json"; then
  echo "$build/compile_commands.json is missing: configure with -DCMAKE_EXPORT_COMPILE_COMMANDS=ON" >&2
  exit 2
fi
# Without the counts of what was left out in headers of others.
find src -name '*.cpp' -print0 | sort -z |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" \
    2> >(grep -v '^[0-9]* warnings\? generated\.$' >&2)
