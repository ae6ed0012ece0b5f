#!/bin/sh
# Runs this case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. Writes what was sent,
# answered and run to record.txt in this folder, whatever the outcome.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$folder/record.txt"
: > "$record" || exit 2
could_not_run() {
  echo "could not run: $1" | tee -a "$record" >&2
  exit 2
}
[ -x "$folder/../../build/gateway" ] || could_not_run "build/gateway is missing"
command -v python3 >/dev/null || could_not_run "python3 is missing"
exec python3 -B "$folder/case.py" "$record"
