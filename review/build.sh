#!/bin/bash
# Builds the programs of the cases, with their stand-ins, into review/build. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for number in 1 2 3; do
  [ -f "$number/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$number" "$number/case.cpp"
done
