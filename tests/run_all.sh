#!/bin/bash
# Runs all checks of the project: code format and line length, tests of the check scripts, the capacity page, the
# build command of the deploy file, the linter, the tests in Release mode and with sanitizers, the fuzzer, the
# consumer example with an installed copy, and the adapter process. Can be started from any folder and leaves
# its build folders build*/ in the checkout.
set -euo pipefail
cd "$(dirname "$0")/.."

# setting KEY: prints the value of KEY in deploy/balancer.toml.
setting() { sed -n "s/^$1 = \"\(.*\)\".*/\1/p" deploy/balancer.toml; }
# step TEXT: prints the heading of the next check.
step() { printf '\n== %s\n' "$*"; }

# Test builds use ccache if it is installed. Paths below the checkout are hashed relative to it, so that a
# clone in another folder shares the cache entries.
launcher=$(command -v ccache >/dev/null && echo ccache || true)
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
configure_tests() {  # configure_tests BUILD OPTION...
  cmake -G Ninja -B "$1" -DCMAKE_CXX_COMPILER_LAUNCHER="$launcher" -DGATEWAY_TESTS=ON "${@:2}" >/dev/null
}

step "code format and line length"
find src include tests examples -name '*.?pp' -print0 | xargs -0 clang-format --dry-run -Werror
# The UTF-8 locale counts characters instead of bytes.
if LC_ALL=C.UTF-8 grep -rnE --include='*.?pp' '^.{111,}' src include; then
  echo "the lines above have more than 110 characters"
  exit 1
fi

black --check tools tests/*.py
mypy tools/capacity.py tools/capacity_model tests/capacity_test.py

step "tests of the check scripts"
bash tests/ctest_known_red_test.sh
bash tests/regression_test.sh

step "capacity page matches the committed results"
python3 tests/capacity_test.py
python3 tools/capacity.py --check

step "build command of deploy/balancer.toml"
bash -c "$(setting build)"

step "clang-tidy"
configure_tests build-tests -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
bash tests/lint.sh build-tests

step "tests, Release"
cmake --build build-tests -j"$(nproc)"
bash tests/ctest_known_red.sh build-tests

step "tests, address and undefined-behaviour sanitizers"
configure_tests build-sanitize -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O0 -DGATEWAY_SANITIZE=ON
cmake --build build-sanitize -j"$(nproc)"
bash tests/ctest_known_red.sh build-sanitize

step "fuzz test of the storage file parsers, 30 s"
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -Isrc tests/storage/store_fuzz.cpp src/storage/{checksum,manifest,segment,snapshot}.cpp -o build-tests/store_fuzz
corpus=$(mktemp -d)
cp tests/fixtures/state-0.1.0/* "$corpus"
build-tests/store_fuzz -max_total_time=30 -verbosity=0 -print_final_stats=1 "$corpus" 2>&1 | grep -v '^#'
rm -rf "$corpus"

step "consumer example with an installed copy"
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install build --prefix "$prefix/root" >/dev/null
cmake -S examples/consumer -B "$prefix/consumer" -DCMAKE_PREFIX_PATH="$prefix/root" >/dev/null
cmake --build "$prefix/consumer"
test "$("$prefix/consumer/consumer" | tail -1)" = served

step "adapter command of deploy/balancer.toml"
bash tests/adapter.sh "$(setting sim)"

step "all checks passed"
