#!/bin/bash
# UNASKED: a job runs whose cancelling was acknowledged before its hand-in, sent earlier, was read.
# Run it after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/review-2/release/review-stand-ins-2"
binary="$root/target/release/beechhollow"
[ -x "$program" ] && [ -x "$binary" ] || { echo "not built"; exit 2; }
"$program" cancel "$binary" "$here/record.txt" &
pid=$!
# Ends the processes that the program started, if the script is stopped from outside. One of them may stand still, so they are killed.
trap 'kill -KILL $(cat "/proc/$pid/task/$pid/children") "$pid" 2>/dev/null' INT TERM
wait "$pid"
