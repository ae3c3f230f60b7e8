#!/usr/bin/env bash
# Builds the stand-ins and callers of the second review's scripts into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
    [ -f "review/$number/program.cpp" ] || continue
    g++ -std=c++20 -O1 -pthread -I. "review/$number/program.cpp" review/stand_ins_2/world.cpp -lboost_json \
        -o "target/review-2/case-$number"
done
