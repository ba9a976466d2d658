#!/usr/bin/env bash
# Plays days of a deployment with the same seeds on one tree, and keeps the reports for `bh-pairs`.
# usage: plays.sh BENCH SITE TREE OUT FIRST_SEED SEEDS JOBS WHY DAY...
# BENCH and SITE are paths outside this repository; TREE is a checkout (this one or a worktree); OUT gets DAY-SEED.json.
set -euo pipefail
bench=$1 site=$2 tree=$3 out=$4 first=$5 seeds=$6 jobs=$7 why=$8
shift 8
mkdir -p "$out"
cd "$tree"
"$bench" build >"$out/build.txt" 2>&1
for seed in $(seq "$first" "$((first + seeds - 1))"); do
    for day in "$@"; do
        printf '%s\0%s\0' "$day" "$seed"
    done
done | xargs -0 -n 2 -P "$jobs" sh -c \
    '"$1" run "$2" "$5" --seed "$6" --no-cpu --jobs 1 --why "$4" --report "$3/$5-$6.json" >"$3/$5-$6.txt" 2>&1 || echo "no play: $5 $6"' \
    play "$bench" "$site" "$out" "$why"
