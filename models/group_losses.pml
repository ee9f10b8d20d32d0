/*
 * Models which losses a discovered control group bears while it changes its own
 * members, as decided by MembershipPolicy in packages/control. Changes of the
 * members are single steps here; how they are replicated is in repair.pml.
 *
 * A host may be away, which is cut off, frozen or down, and returns with its disk;
 * any number may be away at once. A host may lose its disk, as many at once as the
 * full group has to bear; it no longer counts as lost when its new identity is a
 * voter. A change is acknowledged by a quorum of the voters that are not away.
 *
 * Asserted: in every state, once nobody is away, the disks that are left hold a
 * quorum, and the newest acknowledged change.
 *
 * The state space is explored exhaustively within each of these bounds:
 *   bounds HOSTS=5
 *   bounds HOSTS=6
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   SHRINK_TO_THREE   silent voters are removed until three are left
 *   COUNT_CURRENT     the losses to bear follow from the present voters and not
 *                     from the full size
 *   REMOVE_FIRST      a silent voter is removed before the learner that takes its
 *                     place is a voter
 */
#define ALL ((1 << HOSTS) - 1)
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3) + HAS(s, 4) + HAS(s, 5))
#define IS_MAJORITY(set, of) (2 * SIZE((set) & (of)) > SIZE(of))
#define LOSSES(size) (((size) - 1) / 2)
#define MAX_LOST LOSSES(HOSTS)

#ifdef SHRINK_TO_THREE
#define MIN_VOTERS 3
#else
#ifdef COUNT_CURRENT
#define MIN_VOTERS (SIZE(voters) <= 3 -> 3 : 2 * LOSSES(SIZE(voters)) + 1)
#else
#define MIN_VOTERS (2 * LOSSES(HOSTS) + 1)
#endif
#endif

/* Voters by host; the vote of a disk that is lost can't be cast any more. */
byte voters = ALL;
byte lostVotes;
/* Hosts that are away, and voters whose disks hold the newest change. */
byte away;
byte holders = ALL;
/* Hosts that have lost their disks, until the loss is over. */
byte lost;

#define INTACT (voters & (ALL - lostVotes))
#define REACHED (INTACT & (ALL - away))
#define IS_LED (IS_MAJORITY(REACHED, voters) && (holders & REACHED) != 0)

/* Replicates a change to voters of which a quorum, and the leader, respond. */
inline acknowledge(newVoters) {
  voters = newVoters;
  holders = 0;
  j = 0;
  do
  :: j < HOSTS ->
     if
     :: HAS(REACHED, j) -> holders = holders | BIT(j)
     :: HAS(REACHED, j) && IS_MAJORITY(REACHED & (ALL - BIT(j) - skipped), voters) ->
        skipped = skipped | BIT(j)
     :: !HAS(REACHED, j)
     fi;
     j++
  :: else -> break
  od;
  skipped = 0;
  j = 0
}

init {
  byte i, j, skipped;
  do
  :: atomic {
       assert(IS_MAJORITY(INTACT, voters));
       assert((holders & INTACT) != 0);
       select(i : 0 .. HOSTS - 1);
       if
       :: !HAS(away, i) -> away = away | BIT(i)
       :: HAS(away, i) -> away = away & (ALL - BIT(i))
       /* A lost disk is that of a voter, or of a host that is none. */
       :: !HAS(lost, i) && SIZE(lost) < MAX_LOST ->
          lost = lost | BIT(i);
          lostVotes = lostVotes | (BIT(i) & voters);
          holders = holders & (ALL - BIT(i))
       :: HAS(lost, i) && HAS(voters, i) && !HAS(lostVotes, i) ->
          lost = lost & (ALL - BIT(i))
       :: IS_LED -> acknowledge(voters)
       /* Another identity responds at the address. */
       :: IS_LED && HAS(lostVotes, i) && !HAS(away, i) ->
          lostVotes = lostVotes & (ALL - BIT(i));
          acknowledge(voters & (ALL - BIT(i)))
       :: IS_LED && HAS(voters, i) && HAS(away, i) && SIZE(voters) > MIN_VOTERS ->
          lostVotes = lostVotes & (ALL - BIT(i));
          acknowledge(voters & (ALL - BIT(i)))
#ifdef REMOVE_FIRST
       :: IS_LED && HAS(voters, i) && HAS(away, i) && (ALL & (ALL - voters - away)) != 0 ->
          lostVotes = lostVotes & (ALL - BIT(i));
          acknowledge(voters & (ALL - BIT(i)))
#endif
       :: IS_LED && !HAS(voters, i) && !HAS(away, i) -> acknowledge(voters | BIT(i))
       :: else
       fi;
       i = 0
     }
  od
}
