#!/usr/bin/env bash
# Measures what control costs as daemons and upstreams grow; one JSON line a step.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
exec target/release/coltsfootgw-standins scale
