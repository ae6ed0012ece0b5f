#!/bin/bash
# Runs clang-tidy with the checks of .clang-tidy on all sources in src/ and on the headers in src/ and
# include/ that they use. Fails on any finding.
#
#   bash tests/lint.sh [BUILD]
#
# BUILD (default: build-tests) must be configured with -DCMAKE_EXPORT_COMPILE_COMMANDS=ON. LINT_JOBS sets the
# number of parallel processes (default: one per core).
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build-tests}
if ! test -f "$build/compile_commands.json"; then
  echo "$build/compile_commands.json is missing: configure with -DCMAKE_EXPORT_COMPILE_COMMANDS=ON" >&2
  exit 2
fi
# The grep removes the lines in which clang-tidy counts suppressed warnings of third-party headers.
find src -name '*.cpp' -print0 | sort -z |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" \
    2> >(grep -v '^[0-9]* warnings\? generated\.$' >&2)
