/*
 * Elections, commitment, membership change and the return of a host with an
 * empty disk, after packages/consensus and packages/control.
 *
 * Identities 0, 1 and 2 form the group. When one of them loses its disk, its
 * host comes back as identity 3, which has to be added as a new member.
 *
 * Explored exhaustively within each of these bounds:
 *   bounds MAX_TERM=2 MAX_LOG=3
 *   bounds MAX_TERM=3 MAX_LOG=2
 *   bounds MAX_TERM=4 MAX_LOG=1
 *
 * Mutations, each of which the checker must refute:
 *   VOTE_WITHOUT_SYNC         a vote is answered before it is durable
 *   ACK_WITHOUT_SYNC          an entry is acknowledged before it is durable
 *   EMPTY_DISK_KEEPS_IDENTITY a host without its disk goes on as itself
 *   COMMIT_EARLIER_TERM       entries of earlier terms commit by counting
 *   TWO_CHANGES_AT_ONCE       a member change may overtake another one
 */
#define N 4
#define NONE 255
#define FIRST_MEMBERS 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define AT(i, k) ((i) * MAX_LOG + (k))
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3))
#define MEMBERS(i) (length[i] == 0 -> FIRST_MEMBERS : entryMembers[AT(i, length[i] - 1)])
#define LAST_TERM(i) (length[i] == 0 -> 0 : entryTerm[AT(i, length[i] - 1)])
#define MAJORITY(set, i) (2 * SIZE((set) & MEMBERS(i)) > SIZE(MEMBERS(i)))
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

bool alive[N];
byte role[N];
byte term[N];
byte vote[N];
byte durableTerm[N];
byte durableVote[N];
byte granted[N];
byte length[N];
byte durableLen[N];
byte entryTerm[N * MAX_LOG];
byte entryMembers[N * MAX_LOG];
byte acked[N * N];
byte commitLen[N];

byte leaderOf[MAX_TERM + 1];
byte committed;
byte committedTerm[MAX_LOG];
byte committedMembers[MAX_LOG];
/* Term of the leader that committed the entry. */
byte committedIn[MAX_LOG];
byte crashes = 1;
byte losses = 1;

inline syncBallot(i) {
  durableTerm[i] = term[i];
  durableVote[i] = vote[i]
}

inline enterTerm(i, t) {
  if
  :: t > term[i] -> term[i] = t; vote[i] = NONE; granted[i] = 0
  :: else
  fi;
  role[i] = FOLLOWER
}

inline campaign(c) {
  term[c] = term[c] + 1;
  vote[c] = c;
  role[c] = CANDIDATE;
  granted[c] = 1 << c;
  syncBallot(c)
}

inline grantVote(c, v) {
  enterTerm(v, term[c]);
  vote[v] = c;
  granted[c] = granted[c] | (1 << v);
#ifndef VOTE_WITHOUT_SYNC
  syncBallot(v)
#endif
}

inline lead(c) {
  assert(leaderOf[term[c]] == NONE || leaderOf[term[c]] == c);
  leaderOf[term[c]] = c;
  role[c] = LEADER;
  commitLen[c] = 0;
  /* Leader completeness: the log of a leader has every entry that was
   * committed in an earlier term. */
  k = 0;
  do
  :: k < committed ->
     if
     :: committedIn[k] < term[c] ->
        assert(k < length[c]);
        assert(entryTerm[AT(c, k)] == committedTerm[k]);
        assert(entryMembers[AT(c, k)] == committedMembers[k])
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < N -> acked[c * N + k] = 0; k++
  :: else -> break
  od
}

inline appendEntry(l, members) {
  entryTerm[AT(l, length[l])] = term[l];
  entryMembers[AT(l, length[l])] = members;
  length[l] = length[l] + 1;
  durableLen[l] = length[l]
}

inline replicate(l, f) {
  enterTerm(f, term[l]);
  syncBallot(f);
  k = 0;
  do
  :: k < length[l] ->
     entryTerm[AT(f, k)] = entryTerm[AT(l, k)];
     entryMembers[AT(f, k)] = entryMembers[AT(l, k)];
     k++
  :: else -> break
  od;
  do
  :: k < MAX_LOG -> entryTerm[AT(f, k)] = 0; entryMembers[AT(f, k)] = 0; k++
  :: else -> break
  od;
  length[f] = length[l];
#ifdef ACK_WITHOUT_SYNC
  if
  :: durableLen[f] > length[f] -> durableLen[f] = length[f]
  :: else
  fi;
#else
  durableLen[f] = length[f];
#endif
  acked[l * N + f] = length[l]
}

inline commit(l, upTo) {
  k = 0;
  do
  :: k < upTo ->
     if
     :: k < committed ->
        assert(entryTerm[AT(l, k)] == committedTerm[k]);
        assert(entryMembers[AT(l, k)] == committedMembers[k])
     :: else ->
        committedTerm[k] = entryTerm[AT(l, k)];
        committedMembers[k] = entryMembers[AT(l, k)];
        committedIn[k] = term[l];
        committed = k + 1
     fi;
     k++
  :: else -> break
  od;
  commitLen[l] = upTo
}

inline crash(i) {
  term[i] = durableTerm[i];
  vote[i] = durableVote[i];
  role[i] = FOLLOWER;
  granted[i] = 0;
  length[i] = durableLen[i];
  commitLen[i] = 0;
  k = length[i];
  do
  :: k < MAX_LOG -> entryTerm[AT(i, k)] = 0; entryMembers[AT(i, k)] = 0; k++
  :: else -> break
  od
}

inline loseDisk(i) {
  durableTerm[i] = 0;
  durableVote[i] = NONE;
  durableLen[i] = 0;
  crash(i);
#ifndef EMPTY_DISK_KEEPS_IDENTITY
  alive[i] = false;
  alive[3] = true
#endif
}

#define ACKED_SET(l, n) ((1 << (l)) | ((acked[(l) * N] >= (n)) << 0) | ((acked[(l) * N + 1] >= (n)) << 1) | ((acked[(l) * N + 2] >= (n)) << 2) | ((acked[(l) * N + 3] >= (n)) << 3))

#ifdef TWO_CHANGES_AT_ONCE
#define MAY_CHANGE_MEMBERS(l) (true)
#else
#define MAY_CHANGE_MEMBERS(l) (commitLen[l] == length[l] && length[l] > 0 && LAST_TERM(l) == term[l])
#endif

#ifdef COMMIT_EARLIER_TERM
#define OWN_TERM(l, n) (true)
#else
#define OWN_TERM(l, n) (entryTerm[AT(l, (n) - 1)] == term[l])
#endif

init {
  byte i, j, k, n;
  d_step {
    i = 0;
    do
    :: i < N ->
       vote[i] = NONE; durableVote[i] = NONE; alive[i] = (i < 3); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i <= MAX_TERM -> leaderOf[i] = NONE; i++
    :: else -> break
    od;
    skip
  }
  do
  :: atomic {
       select(i : 0 .. 3);
       if
       :: alive[i] && HAS(MEMBERS(i), i) && role[i] != LEADER && term[i] < MAX_TERM ->
          d_step { campaign(i); skip }
       :: alive[i] && role[i] == CANDIDATE && MAJORITY(granted[i], i) ->
          d_step { lead(i); skip }
       :: alive[i] && role[i] == LEADER && length[i] < MAX_LOG ->
          d_step { appendEntry(i, MEMBERS(i)); skip }
       :: alive[i] && role[i] == LEADER && length[i] < MAX_LOG && MAY_CHANGE_MEMBERS(i) ->
          select(j : 0 .. 3);
          /* Members join when they are alive and leave when they are lost. */
          if
          :: alive[j] && !HAS(MEMBERS(i), j) && j != i ->
             d_step { n = MEMBERS(i) | (1 << j); appendEntry(i, n); skip }
          :: HAS(MEMBERS(i), j) && j != i ->
             d_step { n = MEMBERS(i) & (15 - (1 << j)); appendEntry(i, n); skip }
          :: else
          fi
       :: alive[i] && role[i] == CANDIDATE ->
          select(j : 0 .. 3);
          if
          :: alive[j] && j != i && HAS(MEMBERS(i), j) && term[j] <= term[i] &&
             (term[j] < term[i] || vote[j] == NONE) && UP_TO_DATE(i, j) ->
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
          :: n <= length[i] && n > commitLen[i] && OWN_TERM(i, n) && MAJORITY(ACKED_SET(i, n), i) ->
             d_step { commit(i, n); skip }
          :: else
          fi
       :: alive[i] && role[i] == LEADER ->
          /* Check-quorum: a leader steps down by itself. */
          d_step { role[i] = FOLLOWER; granted[i] = 0; skip }
       :: alive[i] && crashes > 0 ->
          d_step { crashes--; crash(i); skip }
       :: alive[i] && losses > 0 && i < 3 ->
          d_step { losses--; loseDisk(i); skip }
       :: else
       fi;
       i = 0; j = 0; k = 0; n = 0
     }
  od
}
