/* The ledger of idempotency keys: two attempts to run one booking, a store
 * whose responses can be lost and whose writes can be delayed, and another
 * booking whose write removes old claims and raises the floor. The store can be
 * restored once from a backup. The new epoch has an empty bucket of its own and a floor
 * above all keys that may have been claimed before.
 *
 * Property: the booking is dispatched at most once.
 * BROKEN_FLOOR removes claims without raising the floor.
 * BROKEN_READBACK treats a lost response as a success.
 * BROKEN_EPOCH uses the restored bucket in the new epoch, with the floor of the backup.
 * BROKEN_CONFIRM believes a claim whose write was answered in another epoch.
 */
#define ATTEMPTS 2
#define KEY_TIME 1
#define MAX_TRIES 3

byte version = 0;
byte claim_holder = 0; /* attempt that holds the claim; 0 for none */
byte floor = 0;        /* claims of keys with an earlier time are refused */
byte dispatched = 0;   /* number of dispatches of the booking */
bit epoch = 0;

mtype = { CLAIM, RELEASE, WRITTEN, CONFLICT };
chan writes = [4] of { byte, bit, byte, mtype };   /* attempt, epoch, expected version, operation */
chan responses[ATTEMPTS + 1] = [4] of { byte, mtype };   /* expected version, outcome */

/* Applies writes in any order; a response may be lost. */
active proctype Store()
{
  byte id, expected;
  bit sent_in;
  mtype operation, outcome;
end:
  do
  :: writes ?? id, sent_in, expected, operation ->
     atomic {
       if
#ifndef BROKEN_EPOCH
       :: sent_in != epoch ->
          /* Written to the bucket of the earlier epoch, but answered in this one. */
#ifdef BROKEN_CONFIRM
          outcome = WRITTEN
#else
          outcome = CONFLICT
#endif
#endif
#ifndef BROKEN_EPOCH
       :: sent_in == epoch && expected == version ->
#else
       :: expected == version ->
#endif
          if
          :: operation == CLAIM -> claim_holder = id
          :: operation == RELEASE && claim_holder == id -> claim_holder = 0
          :: else
          fi;
          version++;
          outcome = WRITTEN
       :: else -> outcome = CONFLICT
       fi;
       if
       :: nfull(responses[id]) -> responses[id] ! expected, outcome
       :: skip   /* the response is lost */
       fi
     }
  od
}

/* Backs up the store and restores it. */
active proctype Restore()
{
  byte copied_version, copied_holder, copied_floor;
  atomic {
    copied_version = version;
    copied_holder = claim_holder;
    copied_floor = floor
  }
  atomic {
    epoch = 1;
#ifdef BROKEN_EPOCH
    version = copied_version;
    claim_holder = copied_holder;
    floor = copied_floor
#else
    version = 0;
    claim_holder = 0;
    floor = KEY_TIME + 1
#endif
  }
}

/* The write of another booking, after the key has left the retention window. */
active proctype OtherBooking()
{
  atomic {
    if
    :: claim_holder != 0 -> claim_holder = 0
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
  byte read_version, write_version, tries = 0;
  bit read_epoch = 0;
  mtype outcome;

again:
  if
  :: tries >= MAX_TRIES -> goto released
  :: else -> tries++
  fi;
  atomic {
    read_version = version;
    read_epoch = epoch;
    if
    :: claim_holder == id -> goto claimed
    :: claim_holder != 0 && claim_holder != id -> goto done   /* already claimed */
    :: claim_holder == 0 && KEY_TIME < floor -> goto done          /* too old */
    :: else
    fi
  }
  writes ! id, read_epoch, read_version, CLAIM;
wait:
  if
  :: responses[id] ? write_version, outcome ->
     if
     :: write_version != read_version -> goto wait   /* the response to an earlier write */
     :: write_version == read_version && outcome == WRITTEN -> goto claimed
     :: else -> goto again
     fi
#ifdef BROKEN_READBACK
  :: skip -> goto claimed
#else
  :: skip -> goto again   /* no response: read the ledger again */
#endif
  fi;

claimed:
  /* The attempt may be paused here for any length of time. */
  if
  :: atomic { dispatched++; assert(dispatched <= 1) }; goto done
  :: skip   /* gives up before the dispatch */
  fi;

released:
  /* Written even if no claim was read: raising the version makes a delayed
   * write of a claim fail. */
  if
  :: nfull(writes) -> writes ! id, epoch, version, RELEASE
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
