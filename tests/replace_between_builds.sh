#!/bin/bash
# Replaces a running gateway of one build by that of another, under load on loopback. Fails if a request has
# no final response, if a connection ends except by a close between requests, or if the old process does not
# transfer its listener, list of hosts and learned state. Takes about 15 s; not part of CI.
#
#   bash tests/replace_between_builds.sh OLD_PROGRAM NEW_PROGRAM
set -euo pipefail
if [ $# -ne 2 ]; then
  sed -n '2,6s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
exec timeout --kill-after=5 60 python3 "$(dirname "$0")/replace_between_builds.py" "$1" "$2"
