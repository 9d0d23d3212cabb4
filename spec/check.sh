#!/usr/bin/env bash
# Checks every model exhaustively with spin. Each model must hold, and each of
# its variants that leaves out a mechanism must be refuted.
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the number of errors that an exhaustive search finds.
errors() {
  local model=$1
  shift
  spin "$@" -a "$spec/$model.pml" >spin.log
  [ -f pan.c ] || { cat spin.log >&2; exit 1; }
  gcc -O2 -DSAFETY -DVECTORSZ=2048 -DCOLLAPSE -o pan pan.c 2>gcc.log
  timeout 300 ./pan -m1000000 >pan.log
  if grep -q 'max search depth too small\|out of memory' pan.log; then
    echo "$model: the search was not exhaustive" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

states() { sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log; }

holds() {
  local found
  found=$(errors "$1")
  if [ "$found" != 0 ]; then
    echo "$1: $found errors" >&2
    exit 1
  fi
  echo "$1: holds in $(states) states"
}

refuted() {
  local found
  found=$(errors "$1" "-D$2")
  if [ "$found" = 0 ]; then
    echo "$1 with $2: not refuted, so the check can't fail" >&2
    exit 1
  fi
  echo "$1 with $2: refuted"
}

holds ledger
refuted ledger BROKEN_FLOOR
refuted ledger BROKEN_READBACK
holds commit
refuted commit BROKEN_BLIND
refuted commit BROKEN_SETTLE
holds adopt
refuted adopt BROKEN_RESTART
refuted adopt BROKEN_ADOPT
