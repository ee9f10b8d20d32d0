/*
 * Models how an order to empty a failure domain, or to take it back, reaches the
 * leader through any control host, as implemented by Evacuator in packages/control.
 * An operator sends one order after the other, and gives up waiting for an order
 * at any step. Each step of a host may come arbitrarily late, as when it stands
 * still, and the leader decides orders in any sequence. A host can tell whether
 * the caller of an order still waits.
 *
 * Asserted: no decision undoes what an order that was sent later and acknowledged
 * has put in force.
 *
 * The state space is explored exhaustively within this bound:
 *   bounds ORDERS=4
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   RETRY_FOR_NOBODY  a host tries an outdated order again with the newest
 *                     revision, although its caller may have given up
 *   CARRY_OUT_UNREAD  a host carries out an order that it reads after its caller
 *                     has given up
 *   CHECK_FIRST       a host asks whether the caller waits before it learns the
 *                     revision
 *   KEEP_REVISION     an order that changes nothing does not advance the revision
 */

/* Revision of the leader, and whether the failure domain is emptied. */
byte revision;
bool isEmptied;

/* Newest order whose caller got its answer. */
#define NONE 255
byte lastAcknowledged = NONE;

bool isSent[ORDERS];
bool isBegin[ORDERS];
bool isWaiting[ORDERS];
bool isAcknowledged[ORDERS];

proctype Host(byte order) {
  byte expected;
  bool isRead = false;
  bool hasDecided = false;

  isSent[order];
  do
  :: hasDecided -> break
  :: !hasDecided ->
    /* Learns the revision, and whether the caller waits. */
#ifdef CHECK_FIRST
    if
    :: !isWaiting[order] -> break
    :: isWaiting[order]
    fi;
    expected = revision;
#else
    expected = revision;
    if
#ifdef CARRY_OUT_UNREAD
    :: !isRead
#endif
#ifdef RETRY_FOR_NOBODY
    :: isRead
#endif
    :: !isWaiting[order] -> break
    :: isWaiting[order]
    fi;
#endif
    isRead = true;
    /* The leader decides. */
    atomic {
      if
      :: expected != revision
      :: expected == revision ->
        assert(isBegin[order] == isEmptied || lastAcknowledged == NONE ||
               order > lastAcknowledged);
#ifdef KEEP_REVISION
        if
        :: isBegin[order] != isEmptied -> revision++
        :: else
        fi;
#else
        revision++;
#endif
        isEmptied = isBegin[order];
        hasDecided = true
      fi
    }
  od;
  /* The answer reaches a caller that still waits. */
  if
  :: hasDecided -> isAcknowledged[order] = true
  :: else
  fi
}

active proctype Operator() {
  byte order;

  for (order : 0 .. ORDERS - 1) {
    run Host(order)
  }
  order = 0;
  do
  :: order == ORDERS -> break
  :: order < ORDERS ->
    if
    :: isBegin[order] = true
    :: isBegin[order] = false
    fi;
    isWaiting[order] = true;
    isSent[order] = true;
    if
    :: atomic { isAcknowledged[order] -> lastAcknowledged = order }
    :: true
    fi;
    isWaiting[order] = false;
    order++
  od
}
