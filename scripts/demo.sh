#!/usr/bin/env bash
# Builds the product, starts a whole system on free loopback ports as separate
# processes, and shows a search, a booking and the loss of an upstream.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --bins
exec target/debug/coltsfootgw-standins demo --file examples/brolga.yaml --service workspace-booking-1
