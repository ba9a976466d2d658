#!/usr/bin/env bash
# The developer's toolkit: toolkit.sh fmt | clippy | test | fuzz [CASES] | bench | ci
set -euo pipefail
cd "$(dirname "$0")/.."

case "${1:-}" in
fmt) cargo fmt --all --check ;;
clippy) cargo clippy --locked --workspace --all-targets --quiet -- -D warnings ;;
test) cargo test --locked --workspace ;;
fuzz)
    # Long random runs. A failure prints its seed; PROPTEST_RNG_SEED=N repeats it.
    seed=${PROPTEST_RNG_SEED:-$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')}
    printf 'seed %s; repeat with: PROPTEST_RNG_SEED=%s scripts/toolkit.sh fuzz %s\n' "$seed" "$seed" "${2:-10000}"
    PROPTEST_RNG_SEED=$seed PROPTEST_CASES=${2:-10000} cargo test --locked --release --workspace fuzz -- --nocapture
    ;;
bench) cargo bench --locked --workspace ;;
ci) .ci/run ;;
*)
    echo "usage: scripts/toolkit.sh fmt | clippy | test | fuzz [CASES] | bench | ci" >&2
    exit 2
    ;;
esac
