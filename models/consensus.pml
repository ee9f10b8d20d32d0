/*
 * Models the elections, commitment and membership changes of the control group,
 * and the restart of a host that lost its disk, as implemented in
 * packages/consensus and packages/control.
 *
 * Identities 0, 1 and 2 form the group. When one of them loses its disk, its
 * host restarts as identity 3, which has to be added as a new member.
 *
 * The state space is explored exhaustively within each of these bounds:
 *   bounds MAX_TERM=2 MAX_LOG=3
 *   bounds MAX_TERM=3 MAX_LOG=2
 *   bounds MAX_TERM=4 MAX_LOG=1
 *
 * Mutations, for each of which Spin must find a counterexample:
 *   VOTE_WITHOUT_SYNC         a vote is granted before it is durable
 *   ACK_WITHOUT_SYNC          an entry is acknowledged before it is durable
 *   EMPTY_DISK_KEEPS_IDENTITY a host that lost its disk keeps its identity
 *   COMMIT_EARLIER_TERM       entries of earlier terms are committed by
 *                             counting replicas
 *   TWO_CHANGES_AT_ONCE       a membership change may start before the previous
 *                             one is committed
 */
#define IDENTITIES 4
#define NONE 255
#define INITIAL_MEMBERS 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define ENTRY_INDEX(i, k) ((i) * MAX_LOG + (k))
#define CONTAINS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (CONTAINS(s, 0) + CONTAINS(s, 1) + CONTAINS(s, 2) + CONTAINS(s, 3))
#define MEMBERS(i) (length[i] == 0 -> INITIAL_MEMBERS : entryMembers[ENTRY_INDEX(i, length[i] - 1)])
#define LAST_TERM(i) (length[i] == 0 -> 0 : entryTerm[ENTRY_INDEX(i, length[i] - 1)])
#define IS_MAJORITY(set, i) (2 * SIZE((set) & MEMBERS(i)) > SIZE(MEMBERS(i)))
#define IS_UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

bool alive[IDENTITIES];
byte role[IDENTITIES];
byte term[IDENTITIES];
byte votedFor[IDENTITIES];
byte durableTerm[IDENTITIES];
byte durableVotedFor[IDENTITIES];
byte grantedVotes[IDENTITIES];
byte length[IDENTITIES];
byte durableLength[IDENTITIES];
byte entryTerm[IDENTITIES * MAX_LOG];
byte entryMembers[IDENTITIES * MAX_LOG];
byte ackedLength[IDENTITIES * IDENTITIES];
byte commitLength[IDENTITIES];

byte leaderOfTerm[MAX_TERM + 1];
byte committedLength;
byte committedTerm[MAX_LOG];
byte committedMembers[MAX_LOG];
/* Term of the leader that committed the entry. */
byte committedInTerm[MAX_LOG];
byte crashesLeft = 1;
byte diskLossesLeft = 1;

inline syncBallot(i) {
  durableTerm[i] = term[i];
  durableVotedFor[i] = votedFor[i]
}

inline enterTerm(i, t) {
  if
  :: t > term[i] -> term[i] = t; votedFor[i] = NONE; grantedVotes[i] = 0
  :: else
  fi;
  role[i] = FOLLOWER
}

inline startElection(c) {
  term[c] = term[c] + 1;
  votedFor[c] = c;
  role[c] = CANDIDATE;
  grantedVotes[c] = 1 << c;
  syncBallot(c)
}

inline grantVote(c, v) {
  enterTerm(v, term[c]);
  votedFor[v] = c;
  grantedVotes[c] = grantedVotes[c] | (1 << v);
#ifndef VOTE_WITHOUT_SYNC
  syncBallot(v)
#endif
}

inline becomeLeader(c) {
  assert(leaderOfTerm[term[c]] == NONE || leaderOfTerm[term[c]] == c);
  leaderOfTerm[term[c]] = c;
  role[c] = LEADER;
  commitLength[c] = 0;
  /* Leader completeness: the log of a leader contains every entry that was
   * committed in an earlier term. */
  k = 0;
  do
  :: k < committedLength ->
     if
     :: committedInTerm[k] < term[c] ->
        assert(k < length[c]);
        assert(entryTerm[ENTRY_INDEX(c, k)] == committedTerm[k]);
        assert(entryMembers[ENTRY_INDEX(c, k)] == committedMembers[k])
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < IDENTITIES -> ackedLength[c * IDENTITIES + k] = 0; k++
  :: else -> break
  od
}

inline appendEntry(l, members) {
  entryTerm[ENTRY_INDEX(l, length[l])] = term[l];
  entryMembers[ENTRY_INDEX(l, length[l])] = members;
  length[l] = length[l] + 1;
  durableLength[l] = length[l]
}

inline replicate(l, f) {
  enterTerm(f, term[l]);
  syncBallot(f);
  k = 0;
  do
  :: k < length[l] ->
     entryTerm[ENTRY_INDEX(f, k)] = entryTerm[ENTRY_INDEX(l, k)];
     entryMembers[ENTRY_INDEX(f, k)] = entryMembers[ENTRY_INDEX(l, k)];
     k++
  :: else -> break
  od;
  do
  :: k < MAX_LOG -> entryTerm[ENTRY_INDEX(f, k)] = 0; entryMembers[ENTRY_INDEX(f, k)] = 0; k++
  :: else -> break
  od;
  length[f] = length[l];
#ifdef ACK_WITHOUT_SYNC
  if
  :: durableLength[f] > length[f] -> durableLength[f] = length[f]
  :: else
  fi;
#else
  durableLength[f] = length[f];
#endif
  ackedLength[l * IDENTITIES + f] = length[l]
}

inline commit(l, upTo) {
  k = 0;
  do
  :: k < upTo ->
     if
     :: k < committedLength ->
        assert(entryTerm[ENTRY_INDEX(l, k)] == committedTerm[k]);
        assert(entryMembers[ENTRY_INDEX(l, k)] == committedMembers[k])
     :: else ->
        committedTerm[k] = entryTerm[ENTRY_INDEX(l, k)];
        committedMembers[k] = entryMembers[ENTRY_INDEX(l, k)];
        committedInTerm[k] = term[l];
        committedLength = k + 1
     fi;
     k++
  :: else -> break
  od;
  commitLength[l] = upTo
}

inline crashAndRestart(i) {
  term[i] = durableTerm[i];
  votedFor[i] = durableVotedFor[i];
  role[i] = FOLLOWER;
  grantedVotes[i] = 0;
  length[i] = durableLength[i];
  commitLength[i] = 0;
  k = length[i];
  do
  :: k < MAX_LOG -> entryTerm[ENTRY_INDEX(i, k)] = 0; entryMembers[ENTRY_INDEX(i, k)] = 0; k++
  :: else -> break
  od
}

inline loseDisk(i) {
  durableTerm[i] = 0;
  durableVotedFor[i] = NONE;
  durableLength[i] = 0;
  crashAndRestart(i);
#ifndef EMPTY_DISK_KEEPS_IDENTITY
  alive[i] = false;
  alive[3] = true
#endif
}

#define HOLDERS_OF(l, n) ((1 << (l)) | ((ackedLength[(l) * IDENTITIES] >= (n)) << 0) | ((ackedLength[(l) * IDENTITIES + 1] >= (n)) << 1) | ((ackedLength[(l) * IDENTITIES + 2] >= (n)) << 2) | ((ackedLength[(l) * IDENTITIES + 3] >= (n)) << 3))

#ifdef TWO_CHANGES_AT_ONCE
#define MAY_CHANGE_MEMBERS(l) (true)
#else
#define MAY_CHANGE_MEMBERS(l) (commitLength[l] == length[l] && length[l] > 0 && LAST_TERM(l) == term[l])
#endif

#ifdef COMMIT_EARLIER_TERM
#define MAY_COMMIT(l, n) (true)
#else
#define MAY_COMMIT(l, n) (entryTerm[ENTRY_INDEX(l, (n) - 1)] == term[l])
#endif

init {
  byte i, j, k, n;
  d_step {
    i = 0;
    do
    :: i < IDENTITIES ->
       votedFor[i] = NONE; durableVotedFor[i] = NONE; alive[i] = (i < 3); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i <= MAX_TERM -> leaderOfTerm[i] = NONE; i++
    :: else -> break
    od;
    skip
  }
  do
  :: atomic {
       select(i : 0 .. 3);
       if
       :: alive[i] && CONTAINS(MEMBERS(i), i) && role[i] != LEADER && term[i] < MAX_TERM ->
          d_step { startElection(i); skip }
       :: alive[i] && role[i] == CANDIDATE && IS_MAJORITY(grantedVotes[i], i) ->
          d_step { becomeLeader(i); skip }
       :: alive[i] && role[i] == LEADER && length[i] < MAX_LOG ->
          d_step { appendEntry(i, MEMBERS(i)); skip }
       :: alive[i] && role[i] == LEADER && length[i] < MAX_LOG && MAY_CHANGE_MEMBERS(i) ->
          select(j : 0 .. 3);
          /* Adds a live host or removes any member but the leader. */
          if
          :: alive[j] && !CONTAINS(MEMBERS(i), j) && j != i ->
             d_step { n = MEMBERS(i) | (1 << j); appendEntry(i, n); skip }
          :: CONTAINS(MEMBERS(i), j) && j != i ->
             d_step { n = MEMBERS(i) & (15 - (1 << j)); appendEntry(i, n); skip }
          :: else
          fi
       :: alive[i] && role[i] == CANDIDATE ->
          select(j : 0 .. 3);
          if
          :: alive[j] && j != i && CONTAINS(MEMBERS(i), j) && term[j] <= term[i] &&
             (term[j] < term[i] || votedFor[j] == NONE) && IS_UP_TO_DATE(i, j) ->
             d_step { grantVote(i, j); skip }
          :: else
          fi
       :: alive[i] && role[i] == LEADER && length[i] > 0 ->
          select(j : 0 .. 3);
          if
          :: alive[j] && j != i && term[j] <= term[i] ->
             d_step { replicate(i, j); skip }
          :: else
          fi
       :: alive[i] && role[i] == LEADER && length[i] > 0 ->
          select(n : 1 .. MAX_LOG);
          if
          :: n <= length[i] && n > commitLength[i] && MAY_COMMIT(i, n) && IS_MAJORITY(HOLDERS_OF(i, n), i) ->
             d_step { commit(i, n); skip }
          :: else
          fi
       :: alive[i] && role[i] == LEADER ->
          /* Check-quorum: a leader may step down at any time. */
          d_step { role[i] = FOLLOWER; grantedVotes[i] = 0; skip }
       :: alive[i] && crashesLeft > 0 ->
          d_step { crashesLeft--; crashAndRestart(i); skip }
       :: alive[i] && diskLossesLeft > 0 && i < 3 ->
          d_step { diskLossesLeft--; loseDisk(i); skip }
       :: else
       fi;
       i = 0; j = 0; k = 0; n = 0
     }
  od
}
