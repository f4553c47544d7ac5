#!/usr/bin/env bash
# Tasks of a cancelled job on a runner that is cut off; a rolling restart.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")"
case_program=../../target/review-2/review_2_case
front=$(cd ../../target && pwd)/rattan_front
[ -x "$case_program" ] && [ -x "$front" ] || exit 2
timeout 110 "$case_program" quota "$front" "$PWD/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
