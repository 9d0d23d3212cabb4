#!/usr/bin/env bash
# Checks every model exhaustively with spin. The property of each model must
# hold, and spin must find a violation in each variant without one mechanism.
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Prints the number of errors that the exhaustive search of a model finds.
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

stored_states() { sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log; }

expect_hold() {
  local found
  found=$(errors "$1")
  if [ "$found" != 0 ]; then
    echo "$1: $found errors" >&2
    exit 1
  fi
  echo "$1: holds in $(stored_states) states"
}

expect_violation() {
  local found
  found=$(errors "$1" "-D$2")
  if [ "$found" = 0 ]; then
    echo "$1 with $2: no violation found, so the model does not check this mechanism" >&2
    exit 1
  fi
  echo "$1 with $2: violation found, as expected"
}

expect_hold ledger
expect_violation ledger BROKEN_FLOOR
expect_violation ledger BROKEN_READBACK
expect_violation ledger BROKEN_EPOCH
expect_violation ledger BROKEN_CONFIRM
expect_hold commit
expect_violation commit BROKEN_BLIND
expect_violation commit BROKEN_SETTLE
expect_hold adopt
expect_violation adopt BROKEN_RESTART
expect_violation adopt BROKEN_ADOPT
