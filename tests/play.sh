#!/bin/bash
# Builds the gateway and gatewayctl and runs an experiment (default: rules-restart).
#
#   bash tests/play.sh [NAME] [options of gatewayctl lab run]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-rules-restart}
shift || true
cmake -B build-lab -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-lab -j"$(nproc)" --target gatewayctl gateway
exec build-lab/gatewayctl lab run "experiments/$name.toml" "$@"
