#!/usr/bin/env bash
# Regenerates the committed FlatBuffers headers. Needs the package flatbuffers-compiler, which the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o libraries/wire/generated libraries/wire/messages.fbs
flatc --cpp --scoped-enums -o libraries/peering/generated libraries/peering/peer_message.fbs
