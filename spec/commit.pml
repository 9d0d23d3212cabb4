/* The commit of a configuration: two operators race on the head with
 * compare-and-swap, planned on the same base. Answers can be lost, the store
 * can be down, and a write whose answer was lost is sent again.
 *
 * Proved: an operator that is told of a commit finds it in the history for
 * ever; two operators never both commit on one base; a commit is never made
 * twice.
 * BROKEN_BLIND writes the head without comparing.
 * BROKEN_SETTLE takes any conflict after a lost answer for the own commit.
 */
#define BASE 1
#define TRIES 3

byte head = BASE;
byte author[8];       /* operator that committed a revision; 0 for none */
byte commits[3];      /* commits of each operator */
bool told[3];

proctype Operator(byte id)
{
  byte tries = 0;
again:
  if
  :: tries >= TRIES -> goto unknown
  :: else -> tries++
  fi;
  if
  :: atomic {
       if
#ifdef BROKEN_BLIND
       :: true ->
#else
       :: head == BASE ->
#endif
          head++;
          author[head] = id;
          commits[id]++;
          if
          :: goto accepted
          :: true   /* the answer is lost */
          fi
#ifndef BROKEN_BLIND
       :: head != BASE -> goto settle
#endif
       fi
     }
  :: true   /* the write is lost, or the store is down */
  fi;
  goto again;
settle:
  atomic {
    if
#ifdef BROKEN_SETTLE
    :: tries > 1 -> goto accepted
    :: tries <= 1 && author[BASE + 1] == id -> goto accepted
    :: tries <= 1 && author[BASE + 1] != id -> goto refused
#else
    :: author[BASE + 1] == id -> goto accepted
    :: author[BASE + 1] != id -> goto refused
#endif
    :: goto unknown   /* the store is down */
    fi
  }
accepted:
  told[id] = true;
refused:
unknown:
  skip
}

init {
  atomic {
    run Operator(1);
    run Operator(2)
  };
  (_nr_pr == 1);
  assert(commits[1] + commits[2] <= 1);
  assert(!told[1] || author[BASE + 1] == 1);
  assert(!told[2] || author[BASE + 1] == 2)
}
