#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt lists run separately and are printed;
# their failures do not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t red < <(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
skip=()
for name in "${red[@]}"; do
  skip+=(--skip "$name")
done

# Tests run one at a time, since many start several processes and could fail on a
# busy machine.
cargo test --workspace --quiet --no-fail-fast -- --test-threads 1 "${skip[@]}"

for name in "${red[@]}"; do
  echo "known red: $name"
  cargo test --workspace --quiet -- --test-threads 1 --exact "$name" || echo "known red, still failing: $name"
done
