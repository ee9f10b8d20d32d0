/*
 * Models the first start of a discovered control group, as decided by ControlHost
 * and GroupJoiner in packages/control. The first SEEDS hosts may found the group,
 * and the first of them gathers their reports, which may be outdated when it acts.
 * The others join a group that can make decisions.
 *
 * A seed may be killed at any time; before it has stored that the system
 * starts for the first time, it never says so again. A member list that is sent
 * may arrive late or not at all. Hosts lose their disks, at most MAX_LOST at once: a
 * loss is over when the new identity of the host is a voter.
 *
 * Asserted: once a group has acknowledged something, no other one ever does.
 *
 * The state space is explored exhaustively within each of these bounds:
 *   bounds HOSTS=3 MAX_LOST=1
 *   bounds HOSTS=5 MAX_LOST=2
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   ONE_FOUNDER   one seed that may found the group is enough
 *   ANY_FOUNDER   seeds that know no group found one
 *   SEND_FIRST    the first seed stores the group after it has sent the list of
 *                 members, so that it may form another one if it is killed between
 *   KEPT_RIGHT    a host that has lost its disk may still found a group
 */
#define SEEDS 3
#define GROUPS 2
#define ALL_SEEDS ((1 << SEEDS) - 1)
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3) + HAS(s, 4))
#define IS_MAJORITY(set, of) (2 * SIZE((set) & (of)) > SIZE(of))

#ifdef ANY_FOUNDER
#define MAY_FORM(founders) true
#else
#ifdef ONE_FOUNDER
#define MAY_FORM(founders) (founders != 0)
#else
#define MAY_FORM(founders) IS_MAJORITY(founders, ALL_SEEDS)
#endif
#endif

/* Seeds that were started, and those whose disks say that they may found. */
byte started;
byte founders;
/* Reports that the first seed has: which arrived, and which may found. */
byte reported;
byte reportedFounders;
/* Groups that were formed. Voters, votes that lost disks can't cast, and hosts that
   have stored the group; hosts to which its member list is on the way. */
byte groups;
byte voters[GROUPS];
byte lostVotes[GROUPS];
byte holders[GROUPS];
byte sent[GROUPS];
bool hasAcknowledged[GROUPS];
/* Hosts that have lost their disks, until the loss is over. */
byte lost;

#define STORED (holders[0] | holders[1])
#define KNOWS_GROUP(i) HAS(STORED, i)
/* Members that have stored the group, or would as they know no other. */
#define INTACT(g) (voters[g] & ~lostVotes[g])
#define FOLLOWERS(g) (INTACT(g) & (holders[g] | ~STORED))
#define CAN_LEAD(g) ((INTACT(g) & holders[g]) != 0 && IS_MAJORITY(FOLLOWERS(g), voters[g]))
#define CAN_DECIDE(g) (IS_MAJORITY(INTACT(g) & holders[g], voters[g]))

inline loseDisk(i) {
  lost = lost | BIT(i);
#ifndef KEPT_RIGHT
  founders = founders & ~BIT(i);
#endif
  for (k : 0 .. GROUPS - 1) {
    lostVotes[k] = lostVotes[k] | (voters[k] & BIT(i));
    holders[k] = holders[k] & ~BIT(i);
    /* The list names the identity of before. */
    sent[k] = sent[k] & ~BIT(i)
  }
  k = 0;
  /* A report of the identity of before; the first seed forgets all. */
  if
  :: i == 0 -> reported = 0; reportedFounders = 0
  :: else -> reported = reported & ~BIT(i); reportedFounders = reportedFounders & ~BIT(i)
  fi
}

init {
  byte i, g, k;
  do
  :: atomic {
       assert(!(hasAcknowledged[0] && hasAcknowledged[1]));
       select(i : 0 .. HOSTS - 1);
       select(g : 0 .. GROUPS - 1);
       if
       :: i < SEEDS && !HAS(started, i) ->
          started = started | BIT(i);
          if
          :: founders = founders | BIT(i)
          :: skip
          fi
       :: HAS(started, i) && !HAS(lost, i) && SIZE(lost) < MAX_LOST -> loseDisk(i)
       /* The first seed, which knows no group, hears of the others. */
       :: HAS(started, i) && HAS(started, 0) && !KNOWS_GROUP(0) && !KNOWS_GROUP(i) ->
          reported = reported | BIT(i);
          reportedFounders = (reportedFounders & ~BIT(i)) | (founders & BIT(i))
       :: reported == ALL_SEEDS && MAY_FORM(reportedFounders) && groups < GROUPS &&
          !KNOWS_GROUP(0) ->
          voters[groups] = ALL_SEEDS;
#ifdef SEND_FIRST
          sent[groups] = ALL_SEEDS;
          if
          :: groups > 0 -> sent[0] = sent[0] & ~BIT(0)
          :: else
          fi;
#else
          holders[groups] = BIT(0);
          sent[groups] = ALL_SEEDS & ~BIT(0);
#endif
          groups++;
          reported = 0;
          reportedFounders = 0
       :: HAS(sent[g], i) ->
          sent[g] = sent[g] & ~BIT(i);
          if
          :: !KNOWS_GROUP(i) -> holders[g] = holders[g] | BIT(i)
          :: skip
          fi
       /* The leader replicates to a voter, and adds a host that asks to join. */
       :: CAN_LEAD(g) && !KNOWS_GROUP(i) && HAS(INTACT(g), i) ->
          holders[g] = holders[g] | BIT(i)
       :: CAN_DECIDE(g) && !KNOWS_GROUP(i) && !HAS(INTACT(g), i) ->
          started = started | BIT(i);
          voters[g] = voters[g] | BIT(i);
          lostVotes[g] = lostVotes[g] & ~BIT(i);
          holders[g] = holders[g] | BIT(i);
          lost = lost & ~BIT(i)
       :: CAN_DECIDE(g) -> hasAcknowledged[g] = true
       :: else
       fi;
       i = 0;
       g = 0
     }
  od
}
