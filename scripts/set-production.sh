#!/usr/bin/env bash
# Records the commit that runs in production: scripts/set-production.sh COMMIT
# An upgrade to the code in this tree begins from it.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify "${1:?usage: scripts/set-production.sh COMMIT}^{commit}")
sed -i "s/^production = .*/production = \"$commit\"/" deploy/system.toml
grep "^production = " deploy/system.toml
