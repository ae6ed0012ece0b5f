#!/bin/bash
# Replaces a running gateway with a gateway of another build, under load on loopback. Fails if a request gets no
# final response, if a connection fails or closes during a request, or if the old process does not transfer its
# listener, list of hosts and learned state. Takes about 15 s. CI does not run this test.
#
#   bash tests/replace_between_builds.sh OLD_PROGRAM NEW_PROGRAM
set -euo pipefail
if [ $# -ne 2 ]; then
  sed -n '2,6s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
exec timeout --kill-after=5 60 python3 "$(dirname "$0")/replace_between_builds.py" "$1" "$2"
