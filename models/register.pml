/*
 * The at-most-once register, after packages/control/src/register.ts and
 * packages/entry/src/at_most_once_runner.ts: entry hosts that may die at each
 * step, callers that come again with the same key, and a service that counts
 * how often it ran.
 *
 * Mutations, each of which the checker must refute:
 *   SEND_BEFORE_RESERVE   the request leaves before the key is reserved
 *   UNKNOWN_AS_NOT_RUN    a lost answer is told as not run
 *   EXPIRY_FREES_KEY      an overdue reservation frees the key
 *   RETRY_AFTER_SEND      a lost answer is retried on another backend server
 */
#define ENTRIES 3
#define FREE 0
#define RUNNING 1
#define DONE 2
#define UNKNOWN 3

byte state = FREE;
byte reservedBy;
byte executions;
bool reportedNotRun;
bool reportedDone;

inline reserve(id, granted) {
  atomic {
    if
    :: state == FREE -> state = RUNNING; reservedBy = id; granted = true
    :: else -> granted = false
    fi
  }
}

inline settle(id, outcome) {
  atomic {
    if
    :: reservedBy == id && (state == RUNNING || (state == UNKNOWN && outcome != FREE)) ->
       state = outcome
    :: else
    fi
  }
}

/* Any step may be the last one of an entry host. */
#define MAY_CRASH if :: goto stopped :: skip fi

proctype Entry(byte id) {
  bool granted;
  bool responded;
  byte retries = 0;
#ifdef SEND_BEFORE_RESERVE
  executions++;
  responded = true;
  MAY_CRASH;
  reserve(id, granted);
#else
  reserve(id, granted);
  if
  :: !granted -> goto keyHeld
  :: else
  fi;
  MAY_CRASH;
attempt:
  if
  :: /* No backend server can be reached: no byte leaves. */
     settle(id, FREE);
     MAY_CRASH;
     reportedNotRun = true;
     /* The caller heard "not run", so this request never runs later. */
     goto stopped
  :: executions++;
     if
     :: responded = true
     :: responded = false
     fi
  :: /* The bytes leave and are lost. */
     responded = false
  fi;
#endif
  MAY_CRASH;
#ifdef RETRY_AFTER_SEND
  if
  :: !responded && retries == 0 -> retries++; goto attempt
  :: else
  fi;
#endif
  if
  :: responded ->
     settle(id, DONE);
     reportedDone = true
  :: else ->
#ifdef UNKNOWN_AS_NOT_RUN
     settle(id, FREE)
#else
     settle(id, UNKNOWN)
#endif
  fi;
  goto stopped;
keyHeld:
  /* The caller gets the stored answer, "still running" or "unknown". */
  if
  :: state == DONE -> assert(executions == 1)
  :: else
  fi;
stopped:
  skip
}

/* The leader ends overdue reservations. */
proctype Expirer() {
  byte checksLeft = 2;
  do
  :: checksLeft > 0 ->
     atomic {
       if
#ifdef EXPIRY_FREES_KEY
       :: state == RUNNING -> state = FREE
#else
       :: state == RUNNING -> state = UNKNOWN
#endif
       :: else
       fi
     };
     checksLeft--
  :: else -> break
  od
}

proctype Monitor() {
  do
  :: atomic { executions > 1 -> assert(false) }
  :: atomic { reportedDone && executions == 0 -> assert(false) }
  :: timeout -> break
  od
}

init {
  atomic {
    run Entry(1);
    run Entry(2);
    run Entry(3);
    run Expirer();
    run Monitor()
  }
}
