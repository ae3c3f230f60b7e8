#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/case-2 ] && [ -x target/shedhilld ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
build/review/case-2 review/2/record.txt
result=$?
rm -rf "$TMPDIR"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
