#!/bin/bash
# Builds strictly with sanitizers and runs all tests. Needs no bench and no network but loopback.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build-test -DEIDERARCH_TESTS=ON -DEIDERARCH_STRICT=ON
cmake --build build-test -j "$(nproc)"
ctest --test-dir build-test --output-on-failure -j "$(nproc)"
