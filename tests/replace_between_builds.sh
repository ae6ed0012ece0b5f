#!/bin/bash
# Replaces a running gateway of one build by a gateway of another, under load on loopback, and fails if a request went
# without a final answer, if a connection broke otherwise than by a close between requests, or if the old process did not
# hand over its listener, its list of hosts and what it had learned. Takes some 15 s; not a part of CI.
#
#   bash tests/replace_between_builds.sh OLD_PROGRAM NEW_PROGRAM
set -euo pipefail
if [ $# -ne 2 ]; then
  sed -n '2,6s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
exec timeout --kill-after=5 60 python3 "$(dirname "$0")/replace_between_builds.py" "$1" "$2"
