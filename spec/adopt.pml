/* The revision in force: two daemons adopt revisions from the store, which may
 * be unavailable (that step is then not taken), or from each other. A daemon
 * may be paused between reading and adopting a revision; one of them may
 * restart without any state.
 *
 * Property: no daemon serves a revision below one that it served before,
 * provided that a heartbeat reported that revision to the peer before it was
 * served.
 * BROKEN_RESTART adopts any revision that the peer holds after a restart.
 * BROKEN_ADOPT adopts the revision of a peer even if it is lower.
 */
#define BASE_REVISION 1
#define LAST_REVISION 3
#define STEPS 5

byte store_revision = BASE_REVISION;
byte held[2];       /* revision in force; 0 after a restart */
byte served[2];     /* highest revision that was served */
byte reported[2];   /* highest revision that this daemon reported to the peer */

active proctype Operators()
{
  do
  :: store_revision < LAST_REVISION -> store_revision++
  :: break
  od
}

proctype Daemon(byte d)
{
  byte read, steps = 0;
  do
  :: steps >= STEPS -> break
  :: steps < STEPS ->
     steps++;
     if
     :: read = store_revision;
        atomic { held[d] = (read > held[d] -> read : held[d]); read = 0 }
     :: read = held[1 - d];
        atomic {
          if
#ifdef BROKEN_ADOPT
          :: read > 0 -> held[d] = read
#endif
#ifdef BROKEN_RESTART
          :: read > held[d] -> held[d] = read
#else
          :: read > held[d] && read >= reported[d] -> held[d] = read
#endif
          :: else
          fi;
          read = 0
        }
     :: atomic {
          held[d] > 0 ->
          reported[d] = (held[d] > reported[d] -> held[d] : reported[d]);
          assert(held[d] >= served[d]);
          served[d] = held[d]
        }
     :: d == 0 -> held[0] = 0
     :: true
     fi
  od
}

init {
  atomic {
    held[0] = BASE_REVISION;
    held[1] = BASE_REVISION;
    run Daemon(0);
    run Daemon(1)
  }
}
