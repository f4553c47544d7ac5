#!/usr/bin/env bash
# Plays the case "lost-after-restart" and writes record.txt beside this file. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rattan_front ] && [ -x review/bin/review_tool ] || exit 2
timeout -k 1 115 review/bin/review_tool case lost-after-restart "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
