/* The commit of a configuration: two operators write the head by
 * compare-and-swap, both on the same base. Responses can be lost, the store can
 * be unavailable, and a write whose response was lost is sent again.
 *
 * Property: the commit of an operator that received a success stays in the
 * history; at most one operator commits on one base; no commit is made twice.
 * BROKEN_BLIND writes the head without comparing it.
 * BROKEN_SETTLE treats any conflict after a lost response as the own commit.
 */
#define BASE_REVISION 1
#define MAX_TRIES 3

byte head = BASE_REVISION;
byte author[8];       /* operator that committed each revision; 0 for none */
byte commits[3];      /* number of commits of each operator */
bool confirmed[3];    /* whether each operator received a success */

proctype Operator(byte id)
{
  byte tries = 0;
again:
  if
  :: tries >= MAX_TRIES -> goto unknown
  :: else -> tries++
  fi;
  if
  :: atomic {
       if
#ifdef BROKEN_BLIND
       :: true ->
#else
       :: head == BASE_REVISION ->
#endif
          head++;
          author[head] = id;
          commits[id]++;
          if
          :: goto accepted
          :: true   /* the response is lost */
          fi
#ifndef BROKEN_BLIND
       :: head != BASE_REVISION -> goto settle
#endif
       fi
     }
  :: true   /* the write is lost, or the store is unavailable */
  fi;
  goto again;
settle:
  atomic {
    if
#ifdef BROKEN_SETTLE
    :: tries > 1 -> goto accepted
    :: tries <= 1 && author[BASE_REVISION + 1] == id -> goto accepted
    :: tries <= 1 && author[BASE_REVISION + 1] != id -> goto refused
#else
    :: author[BASE_REVISION + 1] == id -> goto accepted
    :: author[BASE_REVISION + 1] != id -> goto refused
#endif
    :: goto unknown   /* the store is unavailable */
    fi
  }
accepted:
  confirmed[id] = true;
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
  assert(!confirmed[1] || author[BASE_REVISION + 1] == 1);
  assert(!confirmed[2] || author[BASE_REVISION + 1] == 2)
}
