#!/bin/bash
# Builds the program and the lab and plays an experiment (rules-restart by default): bash tests/play.sh [NAME] [options of lab run]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-rules-restart}
shift || true
cmake -B build-lab -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-lab -j"$(nproc)" --target gatewayctl gateway
exec build-lab/gatewayctl lab run "experiments/$name.toml" "$@"
