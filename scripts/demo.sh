#!/usr/bin/env bash
# Builds the product, starts a complete system as separate processes on free
# loopback ports, and shows a search, a booking and the loss of an upstream.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --bins
exec target/debug/coltsfootgw-standins demo --file examples/brolga.yaml --service workspace-booking-1
