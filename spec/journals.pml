/*
 * Storing and looking up one retained turn during a change of the journal set, with one disk loss.
 *
 * Journals 0, 1 and 2 form the set of epoch 1. In epoch 2, one of three changes applies: journal 3 replaces journal 2,
 * which has failed with its disk; journal 3 joins; or an operator removes journal 2. With FOUR_MEMBERS
 * (journals-drop.pml), all four journals form the first set, and journal 3 is dropped because the others cannot reach
 * it. The writer stores the turn at the members that it knows, and the write succeeds with two copies. A reader that
 * starts afterwards queries all but one of the members that it knows, and must not conclude that the turn is missing.
 *
 * A request is handled at the journal in one step, and its answer arrives in a later step.
 *
 * Each guard of the protocol can be removed by defining NO_...; that mutant must fail.
 */

#define JOURNALS 4
#define BIT(j) (1 << (j))
#define HAS(set, j) (((set) >> (j)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))

/* Votes that are required to report a turn as missing: all members but one, and at least the number of copies. */
#ifdef NO_VOTE_OF_ALL_BUT_ONE
#define REQUIRED_VOTES(set) (COUNT(set) - 2)
#else
#define REQUIRED_VOTES(set) ((COUNT(set) > 2) -> COUNT(set) - 1 : 2)
#endif

#ifdef NO_SECOND_COPY
#define COPIES 1
#else
#define COPIES 2
#endif

/* The journal set of each epoch. The epoch in the store only increases. */
byte sets[3];
byte storedEpoch = 1;
byte proposer = JOURNALS;

/* Journals. */
bool hasTurn[JOURNALS];
bool isComplete[JOURNALS];
byte knownEpoch[JOURNALS];
bool isDown[JOURNALS];
/* Journals from which all data has been copied while they knew the same set. */
byte copiedFrom[JOURNALS];

/* Journal 2 is being removed by an operator: the others copy its data although it is no longer a member. */
bool isLeaving = false;
/* Journal 3 cannot be reached by the other journals. */
bool isIsolated = false;
/* A disk, or a machine with its disk, is lost, and its data has not been copied again. */
bool isLossUnrepaired = false;

bool isAcked = false;
/* The write has ended, with two copies or by its timeout. */
bool isWriteOver = false;
/* Journals whose acknowledgement is in flight to the writer or has been counted. */
byte acknowledged = 0;

#define IS_MEMBER(j, epoch) HAS(sets[epoch], j)
#define IS_VOTER(j) (isComplete[j] && !isDown[j] && knownEpoch[j] > 0 && IS_MEMBER(j, knownEpoch[j]))
/* With four members, a journal may report the turn as missing only after it has copied from all others under the new
 * set. */
#ifdef FOUR_MEMBERS
#define COPIES_AGAIN(j) (knownEpoch[j] == 2)
#ifdef REPORTS_MISSING_BEFORE_COPY
#define MAY_REPORT_MISSING(j) IS_VOTER(j)
#else
#define MAY_REPORT_MISSING(j) (IS_VOTER(j) && (knownEpoch[j] == 1 || HAS_COPIED(j)))
#endif
#else
#define COPIES_AGAIN(j) isLeaving
#define MAY_REPORT_MISSING(j) IS_VOTER(j)
#endif
#define SOURCES(j) ((sets[knownEpoch[j]] | (isLeaving -> BIT(2) : 0)) & ~BIT(j))

#ifdef NO_COPY_OF_ALL
#define HAS_COPIED(j) (copiedFrom[j] != 0)
#else
#define HAS_COPIED(j) ((SOURCES(j) & ~copiedFrom[j]) == 0)
#endif

/* A machine that lost its disk returns only after requests to it have timed out, so that the writer cannot count an
 * acknowledgement from before the loss. */
#ifdef NO_TIMEOUT_BEFORE_RETURN
#define RETURNS_EARLY(j) false
#else
#define RETURNS_EARLY(j) (knownEpoch[j] == 0 && !isWriteOver && HAS(acknowledged, j))
#endif

inline adopt(j, epoch)
{
    if
    :: knownEpoch[j] < epoch ->
        knownEpoch[j] = epoch;
        copiedFrom[j] = 0;
        if
        :: !IS_MEMBER(j, epoch) || (proposer == j && epoch == 2 && !IS_MEMBER(j, 1)) -> isComplete[j] = false
        :: else
        fi
    :: else
    fi
}

/* A gateway receives a new set. It keeps the acknowledgements of journals that stay members. A report that the turn is
 * missing must be given again under the new set. */
#ifdef VOTES_CARRY_OVER
#define KEEPS_ANSWERS(mayKeep) true
#else
#define KEEPS_ANSWERS(mayKeep) mayKeep
#endif
inline adoptNewerSet(set, counted, mayKeep)
{
    epoch = set;
    asked = (KEEPS_ANSWERS(mayKeep) -> asked & sets[epoch] : 0);
    counted = (KEEPS_ANSWERS(mayKeep) -> counted & sets[epoch] : 0)
}

/* An answer arrives with the set that its sender knew. The answer of a journal with an older set is not counted: the
 * journal receives the new set and is asked again. */
inline receiveAnswer(counted, mayKeep)
{
#ifndef NO_SET_BEFORE_ANSWERS
    if
    :: answer[j] > epoch -> adoptNewerSet(answer[j], counted, mayKeep)
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
    /* The journal receives the newest set. */
    :: atomic { !isDown[j] && knownEpoch[j] < storedEpoch && !RETURNS_EARLY(j) && !(isIsolated && j == 3) ->
        adopt(j, storedEpoch) }
    /* The journal copies all data of another journal. */
    :: atomic {
        !isDown[j] && knownEpoch[j] > 0 && IS_MEMBER(j, knownEpoch[j]) && (!isComplete[j] || COPIES_AGAIN(j)) ->
        choose(s);
        if
        :: HAS(SOURCES(j), s) && !HAS(copiedFrom[j], s) && !isDown[s] && !(isIsolated && (s == 3 || j == 3)) ->
            hasTurn[j] = hasTurn[j] || hasTurn[s];
#ifdef NO_COPY_OF_THE_SAME_SET
            copiedFrom[j] = copiedFrom[j] | BIT(s)
#else
            if
            :: knownEpoch[s] >= knownEpoch[j] -> copiedFrom[j] = copiedFrom[j] | BIT(s)
            :: else
            fi
#endif
        :: else
        fi;
        s = 0
        }
    /* The journal is complete once it has copied from all others. */
    :: atomic {
        !isDown[j] && knownEpoch[j] > 0 && IS_MEMBER(j, knownEpoch[j]) && !isComplete[j] && HAS_COPIED(j)
        -> isComplete[j] = true;
        isLossUnrepaired = isIsolated
        }
    od
}

/* Changes the journal set. */
proctype Change()
{
end:
#ifdef FOUR_MEMBERS
    /* Journal 3 cannot be reached by the others; the writer and the reader may reach it until they know the new set. */
    atomic { !isLossUnrepaired -> isLossUnrepaired = true; isIsolated = true };
    atomic { sets[2] = 7; proposer = 0; storedEpoch = 2; adopt(0, 2) }
#else
    if
    /* Journal 2 fails and its disk is lost; journal 3 replaces it. */
    :: atomic { !isLossUnrepaired ->
            isDown[2] = true; hasTurn[2] = false; isComplete[2] = false; isLossUnrepaired = true; sets[2] = 11 };
        atomic { proposer = 3; storedEpoch = 2; adopt(3, 2)
#ifdef NO_COPY_BEFORE_COUNTING
            ; isComplete[3] = true; isLossUnrepaired = false
#endif
        }
    /* Journal 3 joins. */
    :: atomic { sets[2] = 15; proposer = 3; storedEpoch = 2; adopt(3, 2)
#ifdef NO_COPY_BEFORE_COUNTING
            ; isComplete[3] = true
#endif
        }
    /* Journal 2 is removed: journal 0 writes the new set. Journal 2 stops once the others have copied its data. */
    :: atomic { isLeaving = true; sets[2] = 3; proposer = 0; storedEpoch = 2; adopt(0, 2) };
end2:   atomic { knownEpoch[2] == 2 &&
#ifdef NO_EMPTYING
            true
#else
            knownEpoch[0] == 2 && knownEpoch[1] == 2 && HAS(copiedFrom[0], 2) && HAS(copiedFrom[1], 2)
#endif
            -> isDown[2] = true; hasTurn[2] = false; isLeaving = false }
    fi
#endif
}

/* A journal loses its disk and returns empty. */
proctype LoseDisk()
{
    byte j;
end:
    atomic {
        !isLossUnrepaired ->
        choose(j);
        if
        :: !isDown[j] && knownEpoch[j] > 0 && IS_MEMBER(j, storedEpoch) ->
            isLossUnrepaired = true;
            hasTurn[j] = false;
            copiedFrom[j] = 0;
#ifndef NO_REFILL
            isComplete[j] = false;
            knownEpoch[j] = 0;
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
        :: IS_MEMBER(j, epoch) && !HAS(asked, j) && !isDown[j] ->
            hasTurn[j] = true;
            asked = asked | BIT(j);
            answer[j] = (IS_VOTER(j) -> knownEpoch[j] : 0);
            acknowledged = acknowledged | (IS_VOTER(j) -> BIT(j) : 0)
        :: else
        fi;
        j = 0 }
    :: atomic {
        choose(j);
        if
        :: answer[j] > 0 ->
            receiveAnswer(acks, true);
            answer[j] = 0
        :: else
        fi;
        j = 0 }
    :: atomic { epoch < storedEpoch -> adoptNewerSet(storedEpoch, acks, true) }
    :: atomic { COUNT(acks) >= COPIES -> isAcked = true; isWriteOver = true; break }
    :: atomic { isWriteOver = true; break }
    od
}

/* Looks up the turn after it has been stored. */
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
        :: IS_MEMBER(j, epoch) && !HAS(asked, j) && !isDown[j] ->
            asked = asked | BIT(j);
            if
            :: hasTurn[j] -> break
            :: else -> answer[j] = (MAY_REPORT_MISSING(j) -> knownEpoch[j] : 0)
            fi
        :: else
        fi;
        j = 0 }
    :: atomic {
        choose(j);
        if
        :: answer[j] > 0 ->
            receiveAnswer(votes, false);
            answer[j] = 0;
            assert(COUNT(votes) < REQUIRED_VOTES(sets[epoch]))
        :: else
        fi;
        j = 0 }
    :: atomic { epoch < storedEpoch ->
        adoptNewerSet(storedEpoch, votes, false);
        assert(COUNT(votes) < REQUIRED_VOTES(sets[epoch])) }
    od
}

init {
    atomic {
        sets[1] = 7;
        sets[2] = 7;
        byte j;
        for (j : 0 .. 2) {
            isComplete[j] = true;
            knownEpoch[j] = 1
        }
        j = 0;
#ifdef FOUR_MEMBERS
        sets[1] = 15;
        isComplete[3] = true;
        knownEpoch[3] = 1;
#endif
        run Journal(0);
        run Journal(1);
        run Journal(2);
        run Journal(3);
        run Change();
        run LoseDisk();
        run Writer();
        run Reader()
    }
}
