#!/bin/bash
# Plays the operators' panels in turn, by name, and fails on the first broken rule, crash or failed gate that it finds
# in any of them; the others are still played. Not part of the tests: it needs the operators' kit beside the repository.
#
#   bash tests/regression.sh [--full] [fleet|later|ops|mass|lbsim ...]      all panels, quick, by default
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
kit=${KIT:-../given/kit}
site=$kit/sites/colombo-booking.toml
quick=--quick
[ "${1:-}" = --full ] && { quick=; shift; }
panels=(fleet later ops mass lbsim)
[ $# -gt 0 ] || set -- "${panels[@]}"
for panel in "$@"; do
  [[ " ${panels[*]} " == *" $panel "* ]] || { echo "no such panel: $panel (${panels[*]})"; exit 2; }
done

out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=()
for panel in "$@"; do
  case $panel in
    fleet) play=("$kit/more/bin/lbreal" score "$site") ;;
    later) play=("$kit/more/bin/lbreal" score "$site" --panel later) ;;
    ops) play=("$kit/more/ops/bin/lbreal" score "$site") ;;
    mass) play=("$kit/more/mass/bin/lbreal" score "$site") ;;
    lbsim) play=("$kit/bin/lbsim" score "$site") ;;
  esac
  printf '\n== %s %s\n' "$panel" "${quick:-full}"
  "${play[@]}" $quick --why "Regression: panel $panel, ${quick:-in full}." >"$out" 2>&1
  code=$?
  cat "$out"
  if [ $code -ne 0 ]; then
    failed+=("$panel (exit code $code)")
  elif grep -qE 'BROKEN|GATE failed|crashed|the build exited' "$out"; then
    failed+=("$panel ($(grep -m1 -oE 'BROKEN.*|GATE failed.*|.*crashed.*|the build exited.*' "$out"))")
  elif ! grep -qE 'score|estimate' "$out"; then
    failed+=("$panel (no score was printed)")
  fi
done
if [ ${#failed[@]} -gt 0 ]; then
  printf '\nFAILED:\n'
  printf '  %s\n' "${failed[@]}"
  exit 1
fi
printf '\nall panels held: %s\n' "$*"
