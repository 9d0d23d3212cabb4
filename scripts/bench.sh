#!/usr/bin/env bash
# Measures a scenario: scripts/bench.sh SCENARIO [--seed N] [--rounds N] [--seconds S]
# Prints one JSON line per variant with the median, minimum and maximum.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
exec target/release/coltsfootgw-standins bench "$@"
