/*
 * Models at-most-once requests as implemented by ReservationRegistry in
 * packages/control and AtMostOnceRunner in packages/entry: entry hosts that may
 * crash at any step, callers that send several requests with the same key, and
 * a service that counts its executions.
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   SEND_BEFORE_RESERVE   the request is sent before the key is reserved
 *   UNKNOWN_AS_NOT_RUN    a lost response is settled as not run
 *   EXPIRY_FREES_KEY      the expiry of an overdue reservation frees the key
 *   RETRY_AFTER_SEND      a request whose response was lost is retried on
 *                         another backend server
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

/* Lets an entry host crash between two steps. */
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
  :: /* No backend server is reachable, so no byte is sent. */
     settle(id, FREE);
     MAY_CRASH;
     reportedNotRun = true;
     /* The caller was told "not run", so this request must not run later. */
     goto stopped
  :: executions++;
     if
     :: responded = true
     :: responded = false
     fi
  :: /* The request is sent and lost before it runs. */
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
  /* The caller gets the stored response, "still running" or "unknown". */
  if
  :: state == DONE -> assert(executions == 1)
  :: else
  fi;
stopped:
  skip
}

/* Expires overdue reservations, as the leader of the control group does. */
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
