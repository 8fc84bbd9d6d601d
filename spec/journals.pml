/*
 * One retained turn and a change of the set of journals, with one lost disk.
 *
 * Journals 0, 1 and 2 are the set of epoch 1. In epoch 2 journal 3 takes the place of 2, which is gone; or it joins; or 2
 * leaves at the operator's wish. With FOUR_MEMBERS (journals-drop.pml) all four are the set, and 3 is dropped when the
 * others can't reach it. A writer stores the turn at the members that it knows and is done with two copies. A
 * reader that begins afterwards asks all but one of the members that it knows; it must not find the turn missing.
 *
 * Messages are the two halves of a question: an answer is made at one step and arrives at a later one.
 *
 * Each guard of the protocol can be taken away by defining NO_...; that mutant must fail.
 */

#define JOURNALS 4
#define BIT(j) (1 << (j))
#define HAS(set, j) (((set) >> (j)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))

/* All members but one, and never fewer than the copies. */
#ifdef NO_VOTE_OF_ALL_BUT_ONE
#define VOTES(set) (COUNT(set) - 2)
#else
#define VOTES(set) ((COUNT(set) > 2) -> COUNT(set) - 1 : 2)
#endif

#ifdef NO_SECOND_COPY
#define COPIES 1
#else
#define COPIES 2
#endif

/* Sets by epoch; the store's epoch only grows. */
byte sets[3];
byte storedEpoch = 1;
byte proposer = JOURNALS;

/* Journals */
bool has[JOURNALS];
bool complete[JOURNALS];
byte knows[JOURNALS];
bool gone[JOURNALS];
/* Sources of which all has been copied while they knew the set. */
byte copied[JOURNALS];

/* Journal 2 leaves in order: the others copy it although it is no member. */
bool isLeaving = false;
/* Journal 3 can't be reached by other journals. */
bool isCut = false;
/* A disk is lost, or a machine with one, and its data has not been made up for. */
bool isLossOpen = false;

bool isAcked = false;
/* The writer's question is over, by two copies or by its timeout. */
bool isWriteOver = false;
/* Journals whose acknowledgement is under way to the writer or has been counted. */
byte acknowledged = 0;

#define MEMBER(j, epoch) HAS(sets[epoch], j)
#define COUNTS(j) (complete[j] && !gone[j] && knows[j] > 0 && MEMBER(j, knows[j]))
/* With four members, a journal must have copied all others since it knows the set before it says that the turn is missing. */
#ifdef FOUR_MEMBERS
#define COPIES_NOW(j) (knows[j] == 2)
#ifdef MISSES_UNCOPIED
#define MAY_MISS(j) COUNTS(j)
#else
#define MAY_MISS(j) (COUNTS(j) && (knows[j] == 1 || HAS_COPIED(j)))
#endif
#else
#define COPIES_NOW(j) isLeaving
#define MAY_MISS(j) COUNTS(j)
#endif
#define SOURCES(j) ((sets[knows[j]] | (isLeaving -> BIT(2) : 0)) & ~BIT(j))

#ifdef NO_COPY_OF_ALL
#define HAS_COPIED(j) (copied[j] != 0)
#else
#define HAS_COPIED(j) ((SOURCES(j) & ~copied[j]) == 0)
#endif

/* A question times out before a machine that lost its disk can be back: what it said before is not counted. */
#ifdef NO_TIMEOUT_BEFORE_RETURN
#define RETURNS_EARLY(j) false
#else
#define RETURNS_EARLY(j) (knows[j] == 0 && !isWriteOver && HAS(acknowledged, j))
#endif

inline adopt(j, epoch)
{
    if
    :: knows[j] < epoch ->
        knows[j] = epoch;
        copied[j] = 0;
        if
        :: !MEMBER(j, epoch) || (proposer == j && epoch == 2 && !MEMBER(j, 1)) -> complete[j] = false
        :: else
        fi
    :: else
    fi
}

/* A gateway hears of a set. An acknowledgement counts on if its journal stays a member; that the turn is missing has to be
 * said anew. */
#ifdef VOTES_CARRY_OVER
#define STAYS(mayStay) true
#else
#define STAYS(mayStay) mayStay
#endif
inline learn(set, counted, mayStay)
{
    epoch = set;
    asked = (STAYS(mayStay) -> asked & sets[epoch] : 0);
    counted = (STAYS(mayStay) -> counted & sets[epoch] : 0)
}

/* An answer arrives, after the set that its sender knew. A journal that knows an older one does not count: it is told and
 * asked again. */
inline take(counted, mayStay)
{
#ifndef NO_SET_BEFORE_ANSWERS
    if
    :: answer[j] > epoch -> learn(answer[j], counted, mayStay)
    :: else
    fi;
#endif
#ifdef NO_ANSWER_OF_THE_SAME_SET
    counted = counted | BIT(j)
#else
    if
    :: answer[j] >= epoch -> counted = counted | BIT(j)
    :: else ->
        adopt(j, epoch);
        asked = asked & ~BIT(j)
    fi
#endif
}

inline choose(j)
{
    if
    :: j = 0
    :: j = 1
    :: j = 2
    :: j = 3
    fi
}

proctype Journal(byte j)
{
    byte s;
end:
    do
    /* It hears of the newest set. */
    :: atomic { !gone[j] && knows[j] < storedEpoch && !RETURNS_EARLY(j) && !(isCut && j == 3) -> adopt(j, storedEpoch) }
    /* It copies all that another journal has. */
    :: atomic {
        !gone[j] && knows[j] > 0 && MEMBER(j, knows[j]) && (!complete[j] || COPIES_NOW(j)) ->
        choose(s);
        if
        :: HAS(SOURCES(j), s) && !HAS(copied[j], s) && !gone[s] && !(isCut && (s == 3 || j == 3)) ->
            has[j] = has[j] || has[s];
#ifdef NO_COPY_OF_THE_SAME_SET
            copied[j] = copied[j] | BIT(s)
#else
            if
            :: knows[s] >= knows[j] -> copied[j] = copied[j] | BIT(s)
            :: else
            fi
#endif
        :: else
        fi;
        s = 0
        }
    /* It has copied all others. */
    :: atomic {
        !gone[j] && knows[j] > 0 && MEMBER(j, knows[j]) && !complete[j] && HAS_COPIED(j)
        -> complete[j] = true;
        isLossOpen = isCut
        }
    od
}

/* The change of the set. */
proctype Change()
{
end:
#ifdef FOUR_MEMBERS
    /* 3 can't be reached by the others; writers and readers may still reach it until they know that it is dropped. */
    atomic { !isLossOpen -> isLossOpen = true; isCut = true };
    atomic { sets[2] = 7; proposer = 0; storedEpoch = 2; adopt(0, 2) }
#else
    if
    /* Journal 2 is gone with its disk; 3 takes its place. */
    :: atomic { !isLossOpen -> gone[2] = true; has[2] = false; complete[2] = false; isLossOpen = true; sets[2] = 11 };
        atomic { proposer = 3; storedEpoch = 2; adopt(3, 2)
#ifdef NO_COPY_BEFORE_COUNTING
            ; complete[3] = true; isLossOpen = false
#endif
        }
    /* 3 joins. */
    :: atomic { sets[2] = 15; proposer = 3; storedEpoch = 2; adopt(3, 2)
#ifdef NO_COPY_BEFORE_COUNTING
            ; complete[3] = true
#endif
        }
    /* 2 leaves: dropped by 0, and gone when the others have copied it. */
    :: atomic { isLeaving = true; sets[2] = 3; proposer = 0; storedEpoch = 2; adopt(0, 2) };
end2:   atomic { knows[2] == 2 &&
#ifdef NO_EMPTYING
            true
#else
            knows[0] == 2 && knows[1] == 2 && HAS(copied[0], 2) && HAS(copied[1], 2)
#endif
            -> gone[2] = true; has[2] = false; isLeaving = false }
    fi
#endif
}

/* A machine loses its disk and comes back empty. */
proctype Wipe()
{
    byte j;
end:
    atomic {
        !isLossOpen ->
        choose(j);
        if
        :: !gone[j] && knows[j] > 0 && MEMBER(j, storedEpoch) ->
            isLossOpen = true;
            has[j] = false;
            copied[j] = 0;
#ifndef NO_REFILL
            complete[j] = false;
            knows[j] = 0;
#endif
        :: else
        fi;
        j = 0
    }
}

/* Stores the turn. */
proctype Writer()
{
    byte epoch = 1;
    byte asked = 0;
    byte acks = 0;
    byte answer[JOURNALS];
    byte j;
end:
    do
    :: atomic {
        choose(j);
        if
        :: MEMBER(j, epoch) && !HAS(asked, j) && !gone[j] ->
            has[j] = true;
            asked = asked | BIT(j);
            answer[j] = (COUNTS(j) -> knows[j] : 0);
            acknowledged = acknowledged | (COUNTS(j) -> BIT(j) : 0)
        :: else
        fi;
        j = 0 }
    :: atomic {
        choose(j);
        if
        :: answer[j] > 0 ->
            take(acks, true);
            answer[j] = 0
        :: else
        fi;
        j = 0 }
    :: atomic { epoch < storedEpoch -> learn(storedEpoch, acks, true) }
    :: atomic { COUNT(acks) >= COPIES -> isAcked = true; isWriteOver = true; break }
    :: atomic { isWriteOver = true; break }
    od
}

/* Asks for the turn once it was stored. */
proctype Reader()
{
    byte epoch = 1;
    byte asked = 0;
    byte votes = 0;
    byte answer[JOURNALS];
    byte j;
end:
    isAcked;
end2:
    do
    :: atomic {
        choose(j);
        if
        :: MEMBER(j, epoch) && !HAS(asked, j) && !gone[j] ->
            asked = asked | BIT(j);
            if
            :: has[j] -> break
            :: else -> answer[j] = (MAY_MISS(j) -> knows[j] : 0)
            fi
        :: else
        fi;
        j = 0 }
    :: atomic {
        choose(j);
        if
        :: answer[j] > 0 ->
            take(votes, false);
            answer[j] = 0;
            assert(COUNT(votes) < VOTES(sets[epoch]))
        :: else
        fi;
        j = 0 }
    :: atomic { epoch < storedEpoch ->
        learn(storedEpoch, votes, false);
        assert(COUNT(votes) < VOTES(sets[epoch])) }
    od
}

init {
    atomic {
        sets[1] = 7;
        sets[2] = 7;
        byte j;
        for (j : 0 .. 2) {
            complete[j] = true;
            knows[j] = 1
        }
        j = 0;
#ifdef FOUR_MEMBERS
        sets[1] = 15;
        complete[3] = true;
        knows[3] = 1;
#endif
        run Journal(0);
        run Journal(1);
        run Journal(2);
        run Journal(3);
        run Change();
        run Wipe();
        run Writer();
        run Reader()
    }
}
