#!/usr/bin/env bash
# Runs all checks that a change must pass before it is merged. Installs missing
# tools and gives the same result on every run.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '\n== %s\n' "$1"; }

step "tools"
if ! command -v spin >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin
fi
command -v gcc >/dev/null || apt-get install -y -qq gcc

step "format"
cargo fmt --all --check

step "clippy"
cargo clippy --workspace --all-targets --quiet -- -D warnings

step "no io_uring in the dependency tree"
if cargo tree --workspace --edges normal,build,dev --prefix none | grep -qiE '^(io-uring|tokio-uring|rustix-uring) '; then
  echo "an io_uring crate is in the dependency tree" >&2
  exit 1
fi

step "generated code is current"
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
cargo run --quiet --package schemagen -- "$generated"
diff -r "$generated" components/schema/src/generated

step "deployed binary"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build --quiet"

step "examples"
cargo build --quiet --bins
for file in examples/brolga.yaml examples/siyahamba.yaml; do
  target/debug/coltsfootgw check --file "$file"
done

step "models"
spec/check.sh

step "tests"
scripts/run-tests.sh
