#!/bin/sh
# The stand-ins of cases 6 to 10 are plain scripts that need nothing beside
# Node: there is nothing to build. Checks that the programs of the deploy file
# are there.
cd "$(dirname "$0")/.." || exit 2
for file in target/vmux-platform-gateway.cjs target/vmux-platform-control.cjs; do
  if [ ! -f "$file" ]; then
    echo "$file is missing: run the build of the deploy file first" >&2
    exit 1
  fi
done
