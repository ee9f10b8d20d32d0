/*
 * Models the repair of a control group of three after the loss of a disk, as
 * implemented by MembershipPolicy in packages/control and by VoteHandler and
 * Leader in packages/consensus. A further disk may be lost as soon as every host
 * that runs is a voter again, and the leader may be lost at any step, as when all
 * hosts lose power and start again with what their disks hold. A host may also be
 * replaced in the planned way: its successor starts first; once that is a voter,
 * the host stops for good, and from that moment on no longer counts as a loss. A
 * host that stops leaves the group before it ends, while the number of voters is
 * even: the majority of the others is then smaller.
 *
 * Asserted: in every state some member can win an election, and its log holds
 * every committed entry. Safety of elections themselves is in consensus.pml.
 *
 * Identities 0, 1 and 2 form the group; 3 and 4 are those of successors, and those
 * that hosts get after the loss of a disk.
 *
 * The state space is explored exhaustively within each of these bounds:
 *   bounds MAX_TERM=3 MAX_LOG=6
 *   bounds MAX_TERM=5 MAX_LOG=5
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   LEARNER_REFUSES_VOTE  a member votes only if its own log names it a voter
 *   PROMOTE_FIRST         a successor becomes a voter before the lost identity
 *                         is removed
 *   LOSS_DURING_REPAIR    a further disk may be lost before the repair is over
 *   SILENT_STOP           a host that is replaced ends without leaving the group
 *   REMOVE_SELF           a leader that stops removes itself, instead of leaving
 *                         that to its successor
 */
#define IDENTITIES 5
#define NONE 255
#define INITIAL_VOTERS 7

#define ENTRY_INDEX(i, k) ((i) * MAX_LOG + (k))
#define CONTAINS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (CONTAINS(s, 0) + CONTAINS(s, 1) + CONTAINS(s, 2) + CONTAINS(s, 3) + CONTAINS(s, 4))
#define VOTERS(i) (length[i] == 0 -> INITIAL_VOTERS : entryVoters[ENTRY_INDEX(i, length[i] - 1)])
#define LAST_TERM(i) (length[i] == 0 -> 0 : entryTerm[ENTRY_INDEX(i, length[i] - 1)])
#define IS_MAJORITY(set, i) (2 * SIZE((set) & VOTERS(i)) > SIZE(VOTERS(i)))
#define IS_UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

#ifdef LEARNER_REFUSES_VOTE
#define WOULD_VOTE(v) CONTAINS(VOTERS(v), v)
#else
#define WOULD_VOTE(v) true
#endif

#define GRANTS(c, v) (CONTAINS(alive, v) && WOULD_VOTE(v) && IS_UP_TO_DATE(c, v))
#define VOTES_FOR(c) ((GRANTS(c, 0) << 0) | (GRANTS(c, 1) << 1) | (GRANTS(c, 2) << 2) | (GRANTS(c, 3) << 3) | (GRANTS(c, 4) << 4))
#define CAN_WIN(c) (CONTAINS(alive, c) && CONTAINS(VOTERS(c), c) && IS_MAJORITY(VOTES_FOR(c), c))

/* Identities whose disk exists. A host that is down keeps its disk and returns. */
byte alive = INITIAL_VOTERS;
byte nextIdentity = 3;
/* Identity that a successor replaces, and whether its host has begun to stop. */
byte replaced = NONE;
bool isStopping;
byte leader = NONE;
byte term;
byte length[IDENTITIES];
byte entryTerm[IDENTITIES * MAX_LOG];
byte entryVoters[IDENTITIES * MAX_LOG];
/* Identities that hold the leader's log up to the given length. */
byte ackedLength[IDENTITIES];
byte commitLength;
byte committedTerm[MAX_LOG];

#define HAS_COMMITTED_ALL (leader != NONE && length[leader] > 0 && commitLength == length[leader] && LAST_TERM(leader) == term)

#ifdef LOSS_DURING_REPAIR
#define MAY_LOSE_DISK true
#else
/* Every identity that exists is a voter, and the leader knows that for certain. */
#define MAY_LOSE_DISK (nextIdentity == 3 || (HAS_COMMITTED_ALL && (COUNTED & VOTERS(leader)) == COUNTED))
#endif

/* Identities that are lost if their disk is; one that stops for good is not. */
#define COUNTED (isStopping -> alive & (31 - (1 << replaced)) : alive)

#ifdef REMOVE_SELF
#define MAY_REMOVE_SELF true
#else
#define MAY_REMOVE_SELF (leader != replaced)
#endif

#define MAY_STOP (HAS_COMMITTED_ALL && (alive & VOTERS(leader)) == alive)
#define MAY_LEAVE (SIZE(VOTERS(leader)) % 2 == 0)

#ifdef PROMOTE_FIRST
#define MAY_REMOVE(v) ((alive & VOTERS(leader)) == alive)
#define MAY_PROMOTE(v) true
#else
#define MAY_REMOVE(v) true
#define MAY_PROMOTE(v) ((VOTERS(leader) & alive) == VOTERS(leader))
#endif

#define HAS_CAUGHT_UP(v) (ackedLength[v] == length[leader])

inline appendEntry(voters) {
  entryTerm[ENTRY_INDEX(leader, length[leader])] = term;
  entryVoters[ENTRY_INDEX(leader, length[leader])] = voters;
  length[leader] = length[leader] + 1;
  ackedLength[leader] = length[leader]
}

inline clearLog(i, from) {
  k = from;
  do
  :: k < MAX_LOG ->
     entryTerm[ENTRY_INDEX(i, k)] = 0;
     entryVoters[ENTRY_INDEX(i, k)] = 0;
     k++
  :: else -> break
  od
}

inline replicate(f) {
  k = 0;
  do
  :: k < length[leader] ->
     entryTerm[ENTRY_INDEX(f, k)] = entryTerm[ENTRY_INDEX(leader, k)];
     entryVoters[ENTRY_INDEX(f, k)] = entryVoters[ENTRY_INDEX(leader, k)];
     k++
  :: else -> break
  od;
  length[f] = length[leader];
  clearLog(f, length[f]);
  ackedLength[f] = length[f]
}

inline becomeLeader(c) {
  leader = c;
  term++;
  k = 0;
  do
  :: k < commitLength ->
     assert(k < length[c]);
     assert(entryTerm[ENTRY_INDEX(c, k)] == committedTerm[k]);
     k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < IDENTITIES -> ackedLength[k] = 0; k++
  :: else -> break
  od;
  /* The entry that commits those of earlier terms. */
  n = VOTERS(leader);
  appendEntry(n)
}

#define HOLDS(i, upTo) ((ackedLength[i] >= (upTo)) << (i))
#define HOLDERS(upTo) (HOLDS(0, upTo) | HOLDS(1, upTo) | HOLDS(2, upTo) | HOLDS(3, upTo) | HOLDS(4, upTo))

inline commit() {
  k = commitLength;
  do
  :: k < length[leader] ->
     committedTerm[k] = entryTerm[ENTRY_INDEX(leader, k)];
     k++
  :: else -> break
  od;
  commitLength = length[leader]
}

inline loseDisk(i) {
  if
  :: leader == i -> leader = NONE
  :: else
  fi;
  alive = (alive & (31 - (1 << i))) | (1 << nextIdentity);
  nextIdentity++;
  length[i] = 0;
  ackedLength[i] = 0;
  clearLog(i, 0)
}

inline endReplaced() {
  if
  :: leader == replaced -> leader = NONE
  :: else
  fi;
  alive = alive & (31 - (1 << replaced));
  length[replaced] = 0;
  ackedLength[replaced] = 0;
  clearLog(replaced, 0);
  replaced = NONE;
  isStopping = false
}

init {
  byte i, k, n;
  do
  :: atomic {
       assert(CAN_WIN(0) || CAN_WIN(1) || CAN_WIN(2) || CAN_WIN(3) || CAN_WIN(4));
       select(i : 0 .. 4);
       if
       :: leader == NONE && term < MAX_TERM && length[i] < MAX_LOG && CAN_WIN(i) ->
          d_step { becomeLeader(i); skip }
       :: leader != NONE && i != leader && CONTAINS(alive, i) && ackedLength[i] < length[leader] ->
          d_step { replicate(i); skip }
       :: leader != NONE && commitLength < length[leader] && LAST_TERM(leader) == term && IS_MAJORITY(HOLDERS(length[leader]), leader) ->
          d_step { commit(); skip }
       :: HAS_COMMITTED_ALL && length[leader] < MAX_LOG && CONTAINS(VOTERS(leader), i) && !CONTAINS(alive, i) && MAY_REMOVE(i) ->
          d_step { n = VOTERS(leader) & (31 - (1 << i)); appendEntry(n); skip }
       :: HAS_COMMITTED_ALL && length[leader] < MAX_LOG && !CONTAINS(VOTERS(leader), i) && CONTAINS(alive, i) && !(isStopping && i == replaced) && MAY_PROMOTE(i) && HAS_CAUGHT_UP(i) ->
          d_step { n = VOTERS(leader) | (1 << i); appendEntry(n); skip }
       :: leader != NONE ->
          d_step { leader = NONE; skip }
       :: nextIdentity < IDENTITIES && CONTAINS(alive, i) && i != replaced && MAY_LOSE_DISK ->
          d_step { loseDisk(i); skip }
       :: nextIdentity < IDENTITIES && CONTAINS(alive, i) && replaced == NONE && MAY_LOSE_DISK ->
          d_step {
            replaced = i;
            alive = alive | (1 << nextIdentity);
            nextIdentity++;
            skip
          }
#ifdef SILENT_STOP
       :: i == replaced && MAY_STOP ->
          d_step { endReplaced(); skip }
#else
       :: i == replaced && !isStopping && MAY_STOP ->
          d_step { isStopping = true; skip }
       :: isStopping && i == replaced && MAY_REMOVE_SELF && HAS_COMMITTED_ALL && length[leader] < MAX_LOG && CONTAINS(VOTERS(leader), i) && MAY_LEAVE ->
          d_step { n = VOTERS(leader) & (31 - (1 << i)); appendEntry(n); skip }
       :: isStopping && i == replaced && HAS_COMMITTED_ALL && !CONTAINS(VOTERS(leader), i) ->
          d_step { endReplaced(); skip }
#endif
       :: else
       fi;
       i = 0; k = 0; n = 0
     }
  od
}
