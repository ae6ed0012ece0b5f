#!/bin/bash
# The regression script itself, with a stand-in for the bench: each way to fail is found and named, and a bench that
# holds passes. Needs no kit.
set -euo pipefail
cd "$(dirname "$0")/.."
kit=$(mktemp -d)
trap 'rm -rf "$kit"' EXIT
mkdir -p "$kit/sites" "$kit/more/mass/other"
touch "$kit/sites/"{colombo-booking.toml,real.json,wire.json,unlock.txt} "$kit/more/mass/other/elsewhere.toml"
had=$(ls deploy/sites)

expect() {  # expect CODE TEXT LINE-OF-THE-BENCH PANEL...: what the script says of a bench that prints that line
  local code=$1 text=$2 line=$3 got=0 said
  shift 3
  printf '#!/bin/bash\necho "$*" >>"%s/calls"\necho "%s"\n' "$kit" "$line" >"$kit/bench"
  chmod +x "$kit/bench"
  said=$(KIT=$kit MASS_BENCH=$kit/bench BRINK_SEEDS="7 8" bash tests/regression.sh "$@" 2>&1) || got=$?
  [ $got -eq "$code" ] || { echo "exit code $got for: $line"; exit 1; }
  grep -qF "$text" <<<"$said" || { echo "not said: $text"; echo "$said"; exit 1; }
}

expect 0 'all panels held: brink' 'score 0.5' brink
grep -q -- '--panel brink --seed 7 ' "$kit/calls"
grep -q -- '--panel brink --seed 8 ' "$kit/calls"
expect 1 'brink, colombo-booking, seed 8 (BROKEN: drain)' 'score 0 BROKEN: drain' brink
expect 1 'other, quick, elsewhere (GATE failed: served)' 'score 0.4 GATE failed: served' other
expect 1 'sites, quick, jaffna-parcel (score 0.1 node n3 crashed: exited with 139)' 'score 0.1 node n3 crashed: exited with 139' sites
expect 1 'brink, nuwara-feed, seed 7 (no score was printed)' 'nothing' sites
expect 2 'no such panel: brinks' 'score 0.5' brinks
for name in real.json wire.json unlock.txt; do
  git check-ignore -q "deploy/sites/$name"
  grep -qx "$name" <<<"$had" || rm "deploy/sites/$name"
done
echo "the regression script finds what breaks"
