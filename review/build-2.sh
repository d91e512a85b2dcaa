#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: the
# store of the project, which is compiled with the rest of the repository. The
# workers and clients of review/lib-2 need no build. Runs after the build of the
# deploy file, without a network.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -b
test -f platform/dist/testing/store_stand_in.js
