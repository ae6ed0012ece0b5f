#!/bin/bash
# Runs panels of the operators' benches one after the other. Fails if a panel reports a broken rule, a crash
# or a failed gate, or prints no score. The remaining panels run even after a failure. CI does not run this
# script, because it needs the operators' kit next to the repository.
#
#   bash tests/regression.sh [--full] [fleet|later|ops|mass|brink|other|sites|lbsim ...]
#
# Runs all panels in quick mode by default.
#   brink: runs with few gateways and little margin, one run for each seed in $BRINK_SEEDS
#   other: the mass panel on the kit's other deployments
#   sites: the mass and brink panels on the project's own deployments in deploy/sites/; copies the files that
#          the bench requires next to a deployment into deploy/sites/
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
  [[ " ${panels[*]} " == *" $panel "* ]] || { echo "unknown panel: $panel; expected one of: ${panels[*]}"; exit 2; }
done

out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=()

# run_bench NAME PROGRAM ARGUMENT...: runs a bench, prints its output and records a failure.
run_bench() {
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

brink() {  # brink NAME FILE: runs the brink panel on a deployment with all seeds
  local seed
  for seed in "${seeds[@]}"; do run_bench "brink, $1, seed $seed" "$mass" score "$2" --panel brink --seed "$seed"; done
}

for panel in "$@"; do
  name="$panel, ${quick:-full}"
  name=${name/--/}
  case $panel in
    fleet) run_bench "$name" "$kit/more/bin/lbreal" score "$site" $quick ;;
    later) run_bench "$name" "$kit/more/bin/lbreal" score "$site" --panel later $quick ;;
    ops) run_bench "$name" "$kit/more/ops/bin/lbreal" score "$site" $quick ;;
    mass) run_bench "$name" "$mass" score "$site" $quick ;;
    brink) brink colombo-booking "$site" ;;
    other)
      for toml in "$kit"/more/mass/other/*.toml; do
        run_bench "$name, $(basename "$toml" .toml)" "$mass" score "$toml" $quick
      done ;;
    sites)
      cp "$kit"/sites/{real.json,wire.json,unlock.txt} deploy/sites/ || {
        failed+=("sites (can't copy real.json, wire.json and unlock.txt from $kit/sites)")
        continue
      }
      for toml in deploy/sites/*.toml; do
        run_bench "$name, $(basename "$toml" .toml)" "$mass" score "$toml" $quick
        brink "$(basename "$toml" .toml)" "$toml"
      done ;;
    lbsim) run_bench "$name" "$kit/bin/lbsim" score "$site" $quick ;;
  esac
done
if [ ${#failed[@]} -gt 0 ]; then
  printf '\nFAILED:\n'
  printf '  %s\n' "${failed[@]}"
  exit 1
fi
printf '\nall panels passed: %s\n' "$*"
