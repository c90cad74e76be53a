#!/usr/bin/env bash
# usage: review/build-2.sh
# Builds the stand-ins that the cases 4 to 8 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8 --target stand-ins-2
