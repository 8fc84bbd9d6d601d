/* The calls of one program under faults: which orders run, what callers are told about them, and what they cost.
 *
 * There are two successive homes (epochs 1 and 2; ownership.pml shows that only one has authority at a time), two
 * sidecars, and three orders of one unit each: orders 0 and 1 are for the first turn, order 2 is for the second. The
 * first turn is idempotent or not, and the budget is one or two units. Each option of the loop is one atomic step. Each
 * `NO_...` switch removes one guard and must make an assertion fail.
 */

#define ORDERS 3
#define SIDECARS 2

mtype = { Unused, InFlight, Queued, Started, Ended, Rejected, Dropped };
/* The state of an order as the home knows it. */
mtype = { NoRecord, Open, Known, NotRun, Unknown };

bool idempotent;
byte budget;

/* The actual state of the orders. */
mtype state[ORDERS] = Unused;
bool targetSidecar[ORDERS];
byte epoch[ORDERS];
bool repeated[ORDERS];
bool ran[ORDERS];
bool reportedNotRun[ORDERS];
/* The credit and the queue time of the order have expired. */
bool isExpired[ORDERS];
byte effects = 0;
byte firstTurnRuns = 0;

/* Sidecars. `isRecorded` tells for each order whether its sidecar holds a record of it. */
byte fence[SIDECARS] = 1;
bool isRecorded[ORDERS];
bool rejected[ORDERS];
byte sidecarCrashes = 1;

/* Home. */
byte homeEpoch = 1;
mtype knownState[ORDERS] = NoRecord;
bool isDeadlinePassed = false;
bool hasGap = false;
byte gapCharge = 0;
/* Orders whose records the home has copied to another holder after the loss of a sidecar. */
bool copiedOpen[ORDERS];
/* The incarnation of the sidecar that the order was sent to has ended. */
bool isIncarnationLost[ORDERS];
bool isComplete[SIDECARS] = true;
bool hasAnswered[SIDECARS];
mtype = { Active, Failed, Recovering, Serving };
mtype home = Active;

#define IS_SERVING (home == Active || home == Serving)
#define RESERVED(o) (knownState[o] == Open || knownState[o] == Known || knownState[o] == Unknown)
#define SPENT (RESERVED(0) + RESERVED(1) + RESERVED(2) + gapCharge)
#define FIRST_TURN_OPEN (knownState[0] == Open || knownState[1] == Open)
/* An order of the previous home cannot start any more. After a takeover with a gap, the second turn waits until this
 * holds for both orders of the first turn. */
#define SETTLED(o) (isExpired[o] || (state[o] != InFlight && state[o] != Queued && state[o] != Dropped))
/* True unless the outcome of the order is unknown and the order may still start. */
#define CANNOT_START(o) (knownState[o] != Unknown || isExpired[o] || state[o] == Started || state[o] == Ended)

inline start(o)
{
    assert(!reportedNotRun[o]);
    ran[o] = true;
    effects++;
    assert(effects <= budget);
    firstTurnRuns = firstTurnRuns + (o < 2);
    assert(idempotent || firstTurnRuns <= 1);
    assert(o == 2 || !ran[2])
}

inline reportNotRun(o)
{
    assert(!ran[o]);
    reportedNotRun[o] = true;
    knownState[o] = NotRun
}

inline send(o)
{
    /* The sidecars are identical, so that the first order can always be sent to the first one. The incarnation that
     * received an earlier order of the turn would answer from its record. */
    if
    :: o != 1 || isIncarnationLost[0] || knownState[0] == NotRun || homeEpoch == 2 -> targetSidecar[o] = 0
    :: o != 0 -> targetSidecar[o] = 1
    fi;
    knownState[o] = Open;
    state[o] = InFlight;
    epoch[o] = homeEpoch
}

inline crashSidecar(s)
{
    sidecarCrashes--;
    isComplete[s] = false;
    fence[s] = 1;
    dropOrder(1, s);
    dropOrder(2, s)
}

inline dropOrder(o, s)
{
    if
    :: state[o] != Unused && targetSidecar[o] == s ->
        state[o] = Dropped;
        isIncarnationLost[o] = true;
        isRecorded[o] = false;
        rejected[o] = false
    :: else
    fi
}

/* What the recovery learns about an order from its sidecar: the record of the order, or nothing. */
inline applyRecoveryAnswer(o)
{
    if
    :: hasAnswered[targetSidecar[o]] && isRecorded[o] && state[o] == Ended -> knownState[o] = Known
    :: hasAnswered[targetSidecar[o]] && isRecorded[o] && state[o] == Started -> knownState[o] = Open
    :: copiedOpen[o] && !(hasAnswered[targetSidecar[o]] && isRecorded[o]) -> knownState[o] = Unknown
    :: else -> knownState[o] = NoRecord
    fi
}

#define ORDER_STEPS(o) \
    :: atomic { state[o] == InFlight -> state[o] = Dropped } \
    :: atomic { !isExpired[o] && (state[o] == InFlight || state[o] == Queued || state[o] == Dropped) \
            && isDeadlinePassed -> \
        isExpired[o] = true; \
        if :: state[o] == Queued -> state[o] = Rejected; rejected[o] = true :: else fi } \
    :: atomic { state[o] == InFlight -> arrive(o) } \
    :: atomic { state[o] == Queued -> startQueued(o) } \
    :: atomic { state[o] == Started && !isRecorded[o] -> isRecorded[o] = true } \
    :: atomic { state[o] == Started && isRecorded[o] -> state[o] = Ended } \
    :: atomic { IS_SERVING && knownState[o] == Open && state[o] == Ended && isRecorded[o] -> knownState[o] = Known } \
    :: atomic { IS_SERVING && knownState[o] == Open && state[o] == Rejected -> reportNotRun(o) } \
    :: atomic { IS_SERVING && knownState[o] == Open && isDeadlinePassed -> knownState[o] = Unknown }

/* The home repeats the order. The repetition may overtake the order itself. */
#define REPEAT_ORDER(o) \
    :: atomic { IS_SERVING && knownState[o] == Open && !repeated[o] && epoch[o] == homeEpoch \
            && (state[o] == InFlight || state[o] == Dropped || state[o] == Queued) -> \
        repeated[o] = true; repeatOrder(o) }

inline arrive(o)
{
    if
#ifndef NO_FENCE
    :: epoch[o] < fence[targetSidecar[o]] -> state[o] = Rejected; rejected[o] = true
#endif
#ifndef NO_REFUSED_MEMORY
    :: rejected[o] -> state[o] = Rejected
#endif
    :: isExpired[o] -> state[o] = Rejected; rejected[o] = true
    :: else ->
        if
        :: state[o] = Queued
        :: state[o] = Rejected; rejected[o] = true
        fi
    fi
}

inline startQueued(o)
{
    if
#if !defined(NO_FENCE_AT_START) && !defined(NO_FENCE)
    :: epoch[o] < fence[targetSidecar[o]] -> state[o] = Rejected; rejected[o] = true
#endif
    :: else ->
        start(o);
        state[o] = Started;
#ifndef NO_RECORD_FIRST
        isRecorded[o] = true
#endif
    fi
}

inline repeatOrder(o)
{
    if
    :: isIncarnationLost[o] ->
#ifdef NO_INCARNATION_CHECK
        reportNotRun(o)
#else
        skip
#endif
    :: !isIncarnationLost[o] && state[o] == Queued -> skip
    :: !isIncarnationLost[o] && state[o] != Queued ->
        if
        /* The repetition is refused on the new link while the order is still in flight on the old one. */
        :: rejected[o] = true; reportNotRun(o); if :: state[o] == Dropped -> state[o] = Rejected :: else fi
        :: skip
        fi
    fi
}

active proctype world()
{
    byte missingHolders;
    atomic {
        if
        :: idempotent = true
        :: idempotent = false
        fi;
        if
        :: budget = 1
        :: budget = 2
        fi
    }
end:
    do
    ORDER_STEPS(0)
    ORDER_STEPS(1)
    ORDER_STEPS(2)
    REPEAT_ORDER(0)
    REPEAT_ORDER(2)

    :: atomic { !isDeadlinePassed && IS_SERVING -> isDeadlinePassed = true }

    /* The first turn is ordered at most twice: for a duplicate request, or again after a refusal or a sidecar loss. */
    :: atomic {
        IS_SERVING && knownState[0] == NoRecord && knownState[1] == NoRecord && state[0] == Unused && SPENT < budget &&
        !hasGap -> send(0)
    }
    :: atomic {
        IS_SERVING && state[1] == Unused && state[2] == Unused && knownState[1] == NoRecord && state[0] != Unused &&
#ifdef NO_RESERVATION
        (knownState[0] == Known) + (knownState[2] == Known) < budget &&
#else
        SPENT < budget &&
#endif
        !(hasGap && !idempotent) &&
        (knownState[0] == NotRun || knownState[0] == NoRecord
            /* Its sidecar is lost or temporarily unreachable: only idempotent calls are sent again. */
            || (knownState[0] != Known
#ifndef NO_RETRY_LIMIT
            && idempotent
#endif
            )
#ifdef NO_HOME_RECORD
            /* A duplicate request is treated as a new call while the first one is in progress. */
            || (knownState[0] == Open && !isIncarnationLost[0])
#endif
            ) ->
        send(1)
    }

    /* The second turn. */
    :: atomic {
        IS_SERVING && state[2] == Unused && knownState[2] == NoRecord &&
        (!hasGap || (idempotent && SETTLED(0) && SETTLED(1))) &&
#ifdef NO_RESERVATION
        (knownState[0] == Known) + (knownState[1] == Known) < budget &&
#else
        SPENT < budget &&
#endif
        !FIRST_TURN_OPEN &&
#ifndef NO_UNKNOWN_WAIT
        CANNOT_START(0) && CANNOT_START(1) &&
#endif
        (hasGap || knownState[0] != NoRecord || knownState[1] != NoRecord) ->
        send(2)
    }

    /* A sidecar is lost. The home copies its records, also those of open orders, and marks the copies as complete. */
    :: atomic { sidecarCrashes > 0 -> crashSidecar(0); dropOrder(0, 0) }
    :: atomic { sidecarCrashes > 0 -> crashSidecar(1) }
    :: atomic {
        IS_SERVING && home == Active && (!isComplete[0] || !isComplete[1]) ->
#ifndef NO_COPY_OF_OPEN_ORDERS
        copiedOpen[0] = knownState[0] == Open || knownState[0] == Unknown || knownState[0] == Known;
        copiedOpen[1] = knownState[1] == Open || knownState[1] == Unknown || knownState[1] == Known;
        copiedOpen[2] = knownState[2] == Open || knownState[2] == Unknown || knownState[2] == Known;
#endif
        isComplete[0] = true;
        isComplete[1] = true
    }

    /* Takeover: the new home recovers the records from the sidecars. */
    :: atomic { home == Active -> home = Failed; homeEpoch = 2; isDeadlinePassed = true }
    :: atomic {
        home == Failed ->
        home = Recovering;
        if
        :: hasAnswered[0] = true
        :: skip
        fi;
        if
        :: hasAnswered[1] = true
        :: skip
        fi;
        if :: hasAnswered[0] -> fence[0] = 2 :: else fi;
        if :: hasAnswered[1] -> fence[1] = 2 :: else fi;
        applyRecoveryAnswer(0);
        applyRecoveryAnswer(1);
        applyRecoveryAnswer(2);
        /* Counts the incarnations of sidecars that may have run an order and do not answer. */
        missingHolders = !hasAnswered[0] + !hasAnswered[1];
#ifndef NO_COMPLETENESS
        missingHolders = missingHolders + !isComplete[0] + !isComplete[1];
#endif
#ifndef NO_GAP
        hasGap = missingHolders > 0;
#endif
#ifndef NO_GAP_CHARGE
#ifdef NO_CHARGE_PER_HOLDER
        gapCharge = (missingHolders > 0);
#else
        gapCharge = missingHolders;
#endif
#endif
        missingHolders = 0;
        hasAnswered[0] = false;
        hasAnswered[1] = false
    }
    /* The new home serves once the old orders to sidecars that did not answer have expired with their credits. */
    :: atomic {
        home == Recovering && (!hasGap
            || ((state[0] != InFlight || isExpired[0]) && (state[1] != InFlight || isExpired[1])
                && (state[2] != InFlight || isExpired[2]))) ->
        home = Serving;
        isDeadlinePassed = false
    }
    od
}
