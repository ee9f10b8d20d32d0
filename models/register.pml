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
byte holder;
byte executions;
bool toldNotRun;
bool toldDone;

inline reserve(id, granted) {
  atomic {
    if
    :: state == FREE -> state = RUNNING; holder = id; granted = true
    :: else -> granted = false
    fi
  }
}

inline settle(id, outcome) {
  atomic {
    if
    :: holder == id && (state == RUNNING || (state == UNKNOWN && outcome != FREE)) ->
       state = outcome
    :: else
    fi
  }
}

/* Any step may be the last one of an entry host. */
#define MAY_DIE if :: goto dead :: skip fi

proctype Entry(byte id) {
  bool granted;
  bool answered;
  byte tries = 0;
#ifdef SEND_BEFORE_RESERVE
  executions++;
  answered = true;
  MAY_DIE;
  reserve(id, granted);
#else
  reserve(id, granted);
  if
  :: !granted -> goto held
  :: else
  fi;
  MAY_DIE;
again:
  if
  :: /* No backend server can be reached: no byte leaves. */
     settle(id, FREE);
     MAY_DIE;
     toldNotRun = true;
     /* The caller heard "not run", so this request never runs later. */
     goto dead
  :: executions++;
     if
     :: answered = true
     :: answered = false
     fi
  :: /* The bytes leave and are lost. */
     answered = false
  fi;
#endif
  MAY_DIE;
#ifdef RETRY_AFTER_SEND
  if
  :: !answered && tries == 0 -> tries++; goto again
  :: else
  fi;
#endif
  if
  :: answered ->
     settle(id, DONE);
     toldDone = true
  :: else ->
#ifdef UNKNOWN_AS_NOT_RUN
     settle(id, FREE)
#else
     settle(id, UNKNOWN)
#endif
  fi;
  goto dead;
held:
  /* The caller gets the stored answer, "still running" or "unknown". */
  if
  :: state == DONE -> assert(executions == 1)
  :: else
  fi;
dead:
  skip
}

/* The leader ends overdue reservations. */
proctype Keeper() {
  byte rounds = 2;
  do
  :: rounds > 0 ->
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
     rounds--
  :: else -> break
  od
}

proctype Monitor() {
  do
  :: atomic { executions > 1 -> assert(false) }
  :: atomic { toldDone && executions == 0 -> assert(false) }
  :: timeout -> break
  od
}

init {
  atomic {
    run Entry(1);
    run Entry(2);
    run Entry(3);
    run Keeper();
    run Monitor()
  }
}
