#!/usr/bin/env bash
# Builds the daemon and the unit tests with AddressSanitizer and UndefinedBehaviorSanitizer into build-sanitized/, and passes
# the unit tests. A report ends the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitized -G Ninja -DSHEDHILL_SANITIZE=ON >/dev/null
ninja -C build-sanitized shedhilld shedhill-unit-tests
# Fibers switch stacks, which the check of uses after a return does not follow.
ASAN_OPTIONS=detect_stack_use_after_return=0 UBSAN_OPTIONS=print_stacktrace=1 build-sanitized/shedhill-unit-tests
