#!/bin/sh
# The stand-ins are scripts without dependencies: there is nothing to build.
cd "$(dirname "$0")/.." || exit 2
node --check review/harness.mjs
