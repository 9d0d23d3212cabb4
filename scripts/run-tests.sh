#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt names are run apart and printed;
# their failures do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t red < <(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
skip=()
for name in "${red[@]}"; do
  skip+=(--skip "$name")
done

# Tests with many processes run one at a time, so that a busy machine does not
# change the verdict.
cargo test --workspace --quiet --no-fail-fast -- --test-threads 1 "${skip[@]}"

for name in "${red[@]}"; do
  echo "known red: $name"
  cargo test --workspace --quiet -- --test-threads 1 --exact "$name" || echo "known red, still failing: $name"
done
