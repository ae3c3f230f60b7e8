#!/usr/bin/env bash
# Builds the stand-ins and the cases into build/review/, with packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for folder in review/[0-9]; do
    [ -e "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -I. -o "build/review/case-$(basename "$folder")" \
        review/stand_ins/*.cpp "$folder/case.cpp" -lboost_json -pthread
done
