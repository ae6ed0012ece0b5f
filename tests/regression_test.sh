#!/bin/bash
# Tests regression.sh with a fake bench, so the operators' kit is not needed. regression.sh must report each
# kind of failure, and must pass if the bench passes.
set -euo pipefail
cd "$(dirname "$0")/.."
kit=$(mktemp -d)
trap 'rm -rf "$kit"' EXIT
mkdir -p "$kit/sites" "$kit/more/mass/other"
touch "$kit/sites/"{colombo-booking.toml,real.json,wire.json,unlock.txt} "$kit/more/mass/other/elsewhere.toml"
existing_files=$(ls deploy/sites)

# expect CODE TEXT BENCH_LINE PANEL...: the script exits with CODE and prints TEXT if the bench prints BENCH_LINE.
expect() {
  local code=$1 text=$2 line=$3 actual=0 output
  shift 3
  printf '#!/bin/bash\necho "$*" >>"%s/calls"\necho "%s"\n' "$kit" "$line" >"$kit/bench"
  chmod +x "$kit/bench"
  output=$(KIT=$kit MASS_BENCH=$kit/bench BRINK_SEEDS="7 8" bash tests/regression.sh "$@" 2>&1) || actual=$?
  [ $actual -eq "$code" ] || { echo "expected exit code $code, got $actual for: $line"; exit 1; }
  grep -qF "$text" <<<"$output" || { echo "expected in the output: $text"; echo "$output"; exit 1; }
}

expect 0 'all panels passed: brink' 'score 0.5' brink
grep -q -- '--panel brink --seed 7 ' "$kit/calls"
grep -q -- '--panel brink --seed 8 ' "$kit/calls"
expect 1 'brink, colombo-booking, seed 8 (BROKEN: drain)' 'score 0 BROKEN: drain' brink
expect 1 'other, quick, elsewhere (GATE failed: served)' 'score 0.4 GATE failed: served' other
expect 1 'sites, quick, jaffna-parcel (score 0.1 node n3 crashed: exited with 139)' 'score 0.1 node n3 crashed: exited with 139' sites
expect 1 'brink, nuwara-feed, seed 7 (no score was printed)' 'nothing' sites
expect 2 'no such panel: brinks' 'score 0.5' brinks
for name in real.json wire.json unlock.txt; do
  git check-ignore -q "deploy/sites/$name"
  grep -qx "$name" <<<"$existing_files" || rm "deploy/sites/$name"
done
echo "regression.sh: all cases passed"
