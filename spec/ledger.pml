/* The ledger of idempotency keys: two attempts to run one booking, a store
 * whose answers can be lost and whose writes can be late, and other bookings
 * whose writes drop old claims and raise the floor.
 *
 * Proved: the booking is dispatched at most once.
 * BROKEN_FLOOR drops claims without raising the floor.
 * BROKEN_READBACK takes a lost answer for a success.
 */
#define ATTEMPTS 2
#define KEY_TIME 1
#define TRIES 3

byte version = 0;
byte holder = 0;   /* attempt that holds the claim; 0 for none */
byte floor = 0;
byte dispatched = 0;

mtype = { CLAIM, RELEASE, WRITTEN, CONFLICT };
chan writes = [4] of { byte, byte, mtype };   /* attempt, expected version, what */
chan answers[ATTEMPTS + 1] = [4] of { byte, mtype };   /* expected version, outcome */

/* Applies writes in any order of arrival; an answer may be lost. */
active proctype Store()
{
  byte id, expected;
  mtype what, outcome;
end:
  do
  :: writes ?? id, expected, what ->
     atomic {
       if
       :: expected == version ->
          if
          :: what == CLAIM -> holder = id
          :: what == RELEASE && holder == id -> holder = 0
          :: else
          fi;
          version++;
          outcome = WRITTEN
       :: else -> outcome = CONFLICT
       fi;
       if
       :: nfull(answers[id]) -> answers[id] ! expected, outcome
       :: skip   /* the answer is lost */
       fi
     }
  od
}

/* Another booking's write, after the key left the kept window. */
active proctype Other()
{
  atomic {
    if
    :: holder != 0 -> holder = 0
    :: else
    fi;
#ifndef BROKEN_FLOOR
    floor = KEY_TIME + 1;
#endif
    version++
  }
}

proctype Attempt(byte id)
{
  byte seen, which, tries = 0;
  mtype outcome;

again:
  if
  :: tries >= TRIES -> goto released
  :: else -> tries++
  fi;
  atomic {
    seen = version;
    if
    :: holder == id -> goto claimed
    :: holder != 0 && holder != id -> goto done      /* already claimed */
    :: holder == 0 && KEY_TIME < floor -> goto done  /* too old */
    :: else
    fi
  }
  writes ! id, seen, CLAIM;
wait:
  if
  :: answers[id] ? which, outcome ->
     if
     :: which != seen -> goto wait   /* the answer to an earlier write */
     :: which == seen && outcome == WRITTEN -> goto claimed
     :: else -> goto again
     fi
#ifdef BROKEN_READBACK
  :: skip -> goto claimed
#else
  :: skip -> goto again   /* no answer: read back */
#endif
  fi;

claimed:
  /* The attempt may be paused here for any time. */
  if
  :: atomic { dispatched++; assert(dispatched <= 1) }; goto done
  :: skip   /* gives up before the dispatch */
  fi;

released:
  /* Written even if no claim is seen, which defeats a claim on its way. */
  if
  :: nfull(writes) -> writes ! id, version, RELEASE
  :: full(writes) -> skip
  fi;
done:
  skip
}

init {
  atomic {
    run Attempt(1);
    run Attempt(2)
  }
}
