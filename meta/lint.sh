#!/usr/bin/env bash
# clang-format and clang-tidy over all sources that are not generated. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v _generated)
clang-format --dry-run --Werror "${sources[@]}"
# Headers are checked through the sources that include them.
printf '%s\n' "${sources[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -I{} clang-tidy --quiet -p build {} 2>&1 | grep -vE '^[0-9]+ warnings? generated|^$' \
    | tee build/lint.log || true
# NOTE: A bare "! grep" would never end a script under "set -e".
if grep -qE '(error|warning):' build/lint.log; then
    echo "clang-tidy has complaints"
    exit 1
fi
echo "lint is clean: ${#sources[@]} files"
