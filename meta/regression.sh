#!/usr/bin/env bash
# The regression runs on the users' bench: each site's standard days are scored, then days with other seeds are hunted.
#
#   meta/regression.sh BENCH SITES [score|hunt]...      BENCH: the bench's program; SITES: the folder of the deployments
#
# Plays the committed tree, in a clone, so that work can go on; the clone's journal is copied back. The newest deployments
# are played; a larger one that is passed takes the place of the oldest.
set -euo pipefail
bench=${1:?the bench}
folder=$(cd "${2:?the folder of the deployments}" && pwd)
shift 2
tree=$(cd "$(dirname "$0")/.." && pwd)
clone=$(mktemp -d)
git clone -q "$tree" "$clone/tree"
cd "$clone/tree"
jobs=$(($(nproc) / 2))
# Fewer days where a site has 60 machines or more: each takes minutes.
# The whole fleet is left out: its days are played one at a time, with nothing beside them.
sites=(
    "newcomers/bridgeline-lakes-grown 8"
    "newcomers/brillehuset-ordre-grown 8"
    "demands/aspen-coulee-grown 12"
    "demands/corrida-aberta-grown 12"
    "shifted/recetario-lima-now-grown 20"
    "large/recetario-lima-large 8"
    "further-grown/saomai-rao-grown 8"
    "further/saomai-rao 40"
    "grown/recetario-lima-grown 8"
    "grown/batinah-parts-grown 8"
    "sites/recetario-lima 40"
    "sites/batinah-parts 40"
)
why="regression runs of $(git rev-parse --short HEAD)"
for step in "${@:-score}"; do
    for entry in "${sites[@]}"; do
        read -r site days <<<"$entry"
        echo "== $step $site"
        if [ "$step" = score ]; then
            "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why"
        else
            "$bench" hunt "$folder/$site.toml" --days "$days" --jobs "$jobs" --why "$why"
        fi
        cp -rn journal/. "$tree/journal/"
    done
done
