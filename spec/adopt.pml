/* The revision in force: daemons take revisions from the store, which may be
 * down (the step is then not taken), or from each other; one may be paused
 * between reading and adopting, or killed and started with nothing kept.
 *
 * Proved: no daemon serves a revision below one that it served before, where
 * a heartbeat told a peer of that revision before it was served.
 * BROKEN_RESTART serves whatever a peer holds after a restart.
 * BROKEN_ADOPT takes a peer's revision even if it is lower.
 */
#define BASE 1
#define LAST 3
#define STEPS 5

byte head = BASE;
byte held[2];     /* revision in force; 0 after a restart */
byte served[2];   /* highest revision that was served */
byte heard[2];    /* highest revision that the peer heard of this daemon */

active proctype Operators()
{
  do
  :: head < LAST -> head++
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
     :: read = head;
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
          :: read > held[d] && read >= heard[d] -> held[d] = read
#endif
          :: else
          fi;
          read = 0
        }
     :: atomic {
          held[d] > 0 ->
          heard[d] = (held[d] > heard[d] -> held[d] : heard[d]);
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
    held[0] = BASE;
    held[1] = BASE;
    run Daemon(0);
    run Daemon(1)
  }
}
