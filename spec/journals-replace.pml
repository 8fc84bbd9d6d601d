/*
 * Several changes of the journal set that follow each other, with one disk loss at a time, and journals that others
 * can't reach for a while.
 *
 * Journals 0 and 1 form the first set and hold a turn that has been acknowledged. A journal outside the set joins it, or
 * replaces a member that it can't reach. The turn must not be reported as missing by all members but one (two at least).
 * Messages and the knowledge of the set take no time here; journals.pml has their delays.
 *
 * The guard can be removed by defining NO_...; that mutant must fail.
 */

#define JOURNALS 4
#define BIT(j) (1 << (j))
#define HAS(group, j) (((group) >> (j)) & 1)
#define COUNT(group) (HAS(group, 0) + HAS(group, 1) + HAS(group, 2) + HAS(group, 3))
#define REQUIRED_VOTES ((COUNT(members) > 2) -> COUNT(members) - 1 : 2)
#define MAX_CHANGES 3

byte members = 3;
byte changes = 0;
byte hasTurn = 3;
byte isComplete = 3;
/* Members that lack records that they, or a member that they have replaced, held before. */
byte lacksRecords = 0;
/* Journals that nobody reaches now. */
byte unreachable = 0;
/* Members that have been copied under the present set. */
byte copied[JOURNALS];
bool isDiskLost = false;

#define OTHERS(j) (members & ~BIT(j))
#define IS_REPAIRED ((members & ~isComplete) == 0)
/* Members that lack only the records of each journal, which they have replaced. */
byte lacksOnly[JOURNALS];
/* Journals that were complete when they were replaced, and have their disks. */
byte wasComplete = 0;

#define RETURNED_WITH(j) (HAS(wasComplete, j) -> lacksOnly[j] : 0)
/* A replaced member is a loss, and so is every reachable member that lacks records, unless the journal that joins brings
 * these records back. */
#ifdef NO_COUNT_OF_MEMBERS_THAT_LACK_RECORDS
#define LOSSES(j) COUNT(OTHERS(j) & unreachable)
#else
#define LOSSES(j) COUNT(OTHERS(j) & (unreachable | (lacksRecords & ~RETURNED_WITH(j))))
#endif

inline choose(j)
{
    if
    :: j = 0
    :: j = 1
    :: j = 2
    :: j = 3
    fi
}

inline endLackOf(j)
{
    lacksOnly[0] = lacksOnly[0] & ~BIT(j);
    lacksOnly[1] = lacksOnly[1] & ~BIT(j);
    lacksOnly[2] = lacksOnly[2] & ~BIT(j);
    lacksOnly[3] = lacksOnly[3] & ~BIT(j)
}

inline changeSet(j, set, lacks)
{
    wasComplete = (wasComplete | (isComplete & ~(set))) & ~BIT(j);
    members = set;
    changes++;
    isComplete = isComplete & members & ~BIT(j);
    lacksRecords = (lacksRecords & members) | (lacks -> BIT(j) : 0);
    copied[0] = 0;
    copied[1] = 0;
    copied[2] = 0;
    copied[3] = 0
}

/* Journals join and replace members. */
proctype Change()
{
    byte j;
    byte replaced;
end:
    do
    :: atomic {
        changes < MAX_CHANGES ->
        choose(j);
        choose(replaced);
        if
        :: !HAS(members, j) && !HAS(unreachable, j) && (members & unreachable) == 0 ->
            changeSet(j, members | BIT(j), false)
        :: !HAS(members, j) && !HAS(unreachable, j) && HAS(members & unreachable, replaced) && LOSSES(j) <= 1 ->
            changeSet(j, (members & ~BIT(replaced)) | BIT(j), true);
            endLackOf(j);
            lacksOnly[replaced] = BIT(j)
        :: else
        fi;
        j = 0;
        replaced = 0 }
    od
}

/* Members copy the records of all others before they vote. */
proctype Copy()
{
    byte j;
    byte from;
end:
    do
    :: atomic {
        choose(j);
        choose(from);
        if
        :: HAS(members & ~isComplete & ~unreachable, j) && HAS(OTHERS(j) & ~unreachable, from) ->
            hasTurn = hasTurn | (HAS(hasTurn, from) -> BIT(j) : 0);
            copied[j] = copied[j] | BIT(from);
            if
            :: (OTHERS(j) & ~copied[j]) == 0 ->
                isComplete = isComplete | BIT(j);
                lacksRecords = lacksRecords & ~BIT(j);
                endLackOf(j)
            :: else
            fi
        :: else
        fi;
        j = 0;
        from = 0 }
    od
}

/* One journal at a time can't be reached, besides one that has lost its disk. */
proctype Faults()
{
    byte j;
    byte isolated = JOURNALS;
    byte lost = JOURNALS;
end:
    do
    :: atomic { isolated == JOURNALS ->
        choose(j);
        if
        :: !HAS(unreachable, j) -> isolated = j; unreachable = unreachable | BIT(j)
        :: else
        fi;
        j = 0 }
    :: atomic { isolated != JOURNALS -> unreachable = unreachable & ~BIT(isolated); isolated = JOURNALS }
    /* The disk is lost while all members hold all records, as the tolerance of one loss demands. */
    :: atomic { !isDiskLost && IS_REPAIRED ->
        choose(j);
        if
        :: HAS(members & ~unreachable, j) ->
            isDiskLost = true;
            lost = j;
            unreachable = unreachable | BIT(j);
            hasTurn = hasTurn & ~BIT(j);
            isComplete = isComplete & ~BIT(j);
            lacksRecords = lacksRecords | BIT(j);
            endLackOf(j);
            copied[j] = 0
        :: else
        fi;
        j = 0 }
    :: atomic { lost != JOURNALS -> unreachable = unreachable & ~BIT(lost); lost = JOURNALS }
    od
}

/* Looks up the turn. */
proctype Reader()
{
end:
    atomic { COUNT(members & isComplete & ~unreachable & ~hasTurn) >= REQUIRED_VOTES -> assert(false) }
}

init {
    atomic {
        run Change();
        run Copy();
        run Faults();
        run Reader()
    }
}
