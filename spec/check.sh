#!/usr/bin/env bash
# Checks every model exhaustively with spin. A file NAME.broken-*.pml differs
# from its model by one omission and must be refuted.
set -euo pipefail
cd "$(dirname "$0")"
