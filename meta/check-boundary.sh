#!/usr/bin/env bash
# Fails when a name of the users' platform (header, table, call, variable) stands outside platform/, deploy/, docs and the
# stand-ins of tests.
set -euo pipefail
cd "$(dirname "$0")/.."
# The product's own headers begin with x-.
names='(?<!x-)shedhill-(request-id|deadline-ms|not-executed|expect-instance|token-usage|prefix-hash|server-signature|tenant|length-hint|weight-versions|pin-ms)|server-leaving'
names="$names"'|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|op/config|tls_key|expected_revision|since_revision|(?-i:\bSHEDHILL_CONFIG\b)|traffic_split|seed_nodes'
if git grep -nIiP "$names" -- '*.cpp' '*.h' '*.fbs' ':!platform' ':!tests'; then
    echo "the platform's names stand outside platform/"
    exit 1
fi
echo "the platform's names stand in platform/ only"
