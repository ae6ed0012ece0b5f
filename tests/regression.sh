#!/bin/bash
# Plays the operators' panels in turn, by name, and fails on the first broken rule, crash or failed gate that it finds
# in any of them; the others are still played. Not part of the tests: it needs the operators' kit beside the repository.
#
#   bash tests/regression.sh [--full] [fleet|later|ops|mass|brink|other|sites|lbsim ...]   all panels, quick, by default
#
# brink: few gateways, narrow moments, on the seeds in $BRINK_SEEDS. other: the large days on the kit's other
# deployments. sites: the large days and brink on the project's own deployments in deploy/sites/, beside which it puts
# the companions that the bench wants there.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
kit=${KIT:-../given/kit}
site=$kit/sites/colombo-booking.toml
mass=${MASS_BENCH:-$kit/more/mass/bin/lbreal}
read -ra seeds <<<"${BRINK_SEEDS:-101 102 103}"
quick=--quick
[ "${1:-}" = --full ] && { quick=; shift; }
panels=(fleet later ops mass brink other sites lbsim)
[ $# -gt 0 ] || set -- "${panels[@]}"
for panel in "$@"; do
  [[ " ${panels[*]} " == *" $panel "* ]] || { echo "no such panel: $panel (${panels[*]})"; exit 2; }
done

out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=()

# play NAME PROGRAM ARGUMENT...: one call of a bench, and what it found.
play() {
  local name=$1 code
  shift
  printf '\n== %s\n' "$name"
  "$@" --why "Regression: $name." >"$out" 2>&1
  code=$?
  cat "$out"
  if [ $code -ne 0 ]; then
    failed+=("$name (exit code $code)")
  elif grep -qE 'BROKEN|GATE failed|crashed|the build exited' "$out"; then
    failed+=("$name ($(grep -m1 -oE 'BROKEN.*|GATE failed.*|.*crashed.*|the build exited.*' "$out"))")
  elif ! grep -qE 'score|estimate' "$out"; then
    failed+=("$name (no score was printed)")
  fi
}

brink() {  # of a deployment, by name and file
  local seed
  for seed in "${seeds[@]}"; do play "brink, $1, seed $seed" "$mass" score "$2" --panel brink --seed "$seed"; done
}

for panel in "$@"; do
  name="$panel, ${quick:-full}"
  name=${name/--/}
  case $panel in
    fleet) play "$name" "$kit/more/bin/lbreal" score "$site" $quick ;;
    later) play "$name" "$kit/more/bin/lbreal" score "$site" --panel later $quick ;;
    ops) play "$name" "$kit/more/ops/bin/lbreal" score "$site" $quick ;;
    mass) play "$name" "$mass" score "$site" $quick ;;
    brink) brink colombo-booking "$site" ;;
    other)
      for toml in "$kit"/more/mass/other/*.toml; do
        play "$name, $(basename "$toml" .toml)" "$mass" score "$toml" $quick
      done ;;
    sites)
      cp "$kit"/sites/{real.json,wire.json,unlock.txt} deploy/sites/ || { failed+=("sites (no companions)"); continue; }
      for toml in deploy/sites/*.toml; do
        play "$name, $(basename "$toml" .toml)" "$mass" score "$toml" $quick
        brink "$(basename "$toml" .toml)" "$toml"
      done ;;
    lbsim) play "$name" "$kit/bin/lbsim" score "$site" $quick ;;
  esac
done
if [ ${#failed[@]} -gt 0 ]; then
  printf '\nFAILED:\n'
  printf '  %s\n' "${failed[@]}"
  exit 1
fi
printf '\nall panels held: %s\n' "$*"
