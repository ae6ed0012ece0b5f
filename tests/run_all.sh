#!/bin/bash
# All checks of the project: the deploy file's own build, the linter, the tests in Release and under
# the sanitizers, the consumer example against an installed copy, the adapter as a process, the format,
# and the size of the policy. Run from anywhere; leaves its builds under build*/.
set -euo pipefail
cd "$(dirname "$0")/.."

setting() { sed -n "s/^$1 = \"\(.*\)\".*/\1/p" deploy/balancer.toml; }
read -ra policy < <(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
step() { printf '\n== %s\n' "$*"; }

step "format and size"
find src include tests examples -name '*.?pp' -print0 | xargs -0 clang-format --dry-run -Werror
lines=$(cat "${policy[@]}" | grep -cv '^[[:space:]]*$')
echo "${policy[*]}: $lines lines that are not blank (1200 at most)"
test "$lines" -le 1200
if grep -nE '^.{111,}' "${policy[@]}"; then echo "lines of more than 110 characters"; exit 1; fi

black --check tools tests/*.py
mypy tools/capacity.py tools/capacity_model tests/capacity_test.py

step "the scripts that judge"
bash tests/ctest_known_red_test.sh
bash tests/regression_test.sh

step "the capacity page against the committed results"
python3 tests/capacity_test.py
python3 tools/capacity.py --check

step "build by deploy/balancer.toml"
bash -c "$(setting build)"

step "clang-tidy"
cmake -B build-tests -DCMAKE_BUILD_TYPE=Release -DGATEWAY_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
bash tests/lint.sh build-tests

step "tests, Release"
cmake --build build-tests -j"$(nproc)"
bash tests/ctest_known_red.sh build-tests

step "tests, address and undefined-behaviour sanitizers"
cmake -B build-sanitize -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O0 -DGATEWAY_TESTS=ON -DGATEWAY_SANITIZE=ON >/dev/null
cmake --build build-sanitize -j"$(nproc)"
bash tests/ctest_known_red.sh build-sanitize

step "fuzzer on the readers of a store's files, 30 s"
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -Isrc tests/storage/store_fuzz.cpp src/storage/{checksum,manifest,segment,snapshot}.cpp -o build-tests/store_fuzz
corpus=$(mktemp -d)
cp tests/fixtures/state-0.1.0/* "$corpus"
build-tests/store_fuzz -max_total_time=30 -verbosity=0 -print_final_stats=1 "$corpus" 2>&1 | grep -v '^#'
rm -rf "$corpus"

step "consumer example against an installed copy"
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install build --prefix "$prefix/root" >/dev/null
cmake -S examples/consumer -B "$prefix/consumer" -DCMAKE_PREFIX_PATH="$prefix/root" >/dev/null
cmake --build "$prefix/consumer"
test "$("$prefix/consumer/consumer" | tail -1)" = served

step "adapter by deploy/balancer.toml"
bash tests/adapter.sh "$(setting sim)"

step "all checks passed"
