#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header. Needs the package flatbuffers-compiler, which the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o libraries/wire/generated libraries/wire/messages.fbs
