#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 --target review_2_case -j6
