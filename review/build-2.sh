#!/bin/bash
# Builds the stand-ins that the scripts review/N/run.sh (N from 4) start. Run it in the repository's root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
