#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --manifest-path review/stand-ins-3/Cargo.toml
