#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start: the
# project's own and those of review/.  They are Python and need target/deps,
# which the build of deploy/system.toml makes; nothing is fetched.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo 'target/deps is missing: build deploy/system.toml'; exit 1; }
python3 -m compileall -q standins demo review || exit 1
PYTHONPATH="target/deps:." exec python3 -S -c 'import review.packet_site'
