#!/usr/bin/env bash
# Sets everything up and runs the main job: a small fleet on loopback that streams one answer.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install-dependencies
meta/build.sh
build/shedhill-demo
