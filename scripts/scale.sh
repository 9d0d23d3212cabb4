#!/usr/bin/env bash
# Measures the cost of the control traffic with growing numbers of daemons and
# upstreams; prints one JSON line per step.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
exec target/release/coltsfootgw-standins scale
