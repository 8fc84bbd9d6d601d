/* One program through faults: what ran, what was said of it, and what it cost.
 *
 * Two homes in turn (epochs 1 and 2; that only one has authority at a time is shown by ownership.pml), two sidecars, and
 * three orders of one unit each: 0 and 1 for the first turn, 2 for the second. The first turn is idempotent or not; the
 * budget is of one or two units. Each option of the loop is one atomic step. Each `NO_...` switch takes one guard
 * away and must make an assertion fail.
 */

#define ORDERS 3
#define SIDECARS 2

mtype = { Unused, Flying, Queued, Started, Ended, Rejected, Dropped };
/* What the home knows of an order. */
mtype = { Nothing, Open, Known, NotRun, Unknown };

bool idempotent;
byte budget;

/* Truth. */
mtype state[ORDERS] = Unused;
bool at[ORDERS];
byte epoch[ORDERS];
bool repeated[ORDERS];
bool ran[ORDERS];
bool saidNotRun[ORDERS];
/* Neither its credit nor its time in the queue is live any more. */
bool dead[ORDERS];
byte effects = 0;
byte firstTurnRuns = 0;

/* Sidecars. `record` tells which orders stand in its memory. */
byte fence[SIDECARS] = 1;
bool record0[ORDERS];
bool rejected[ORDERS];
byte sidecarCrashes = 1;

/* Home. */
byte homeEpoch = 1;
mtype view[ORDERS] = Nothing;
bool deadlinePassed = false;
bool gap = false;
byte gapCharge = 0;
/* The order that a home has copied to another holder after a sidecar was lost. */
bool copiedOpen[ORDERS];
/* The incarnation that the order was sent to is gone. */
bool lost[ORDERS];
bool complete[SIDECARS] = true;
bool heard[SIDECARS];
mtype = { Living, Gone, Counting, Serving };
mtype home = Living;

#define SERVES (home == Living || home == Serving)
#define RESERVED(o) (view[o] == Open || view[o] == Known || view[o] == Unknown)
#define SPENT (RESERVED(0) + RESERVED(1) + RESERVED(2) + gapCharge)
#define FIRST_TURN_OPEN (view[0] == Open || view[1] == Open)
/* Enough time has passed since a takeover with a gap that an order of the former home can't start any more. */
#define SETTLED(o) (dead[o] || (state[o] != Flying && state[o] != Queued && state[o] != Dropped))
/* An order given up as unknown can't start any more. */
#define CANNOT_START(o) (view[o] != Unknown || dead[o] || state[o] == Started || state[o] == Ended)

inline start(o)
{
    assert(!saidNotRun[o]);
    ran[o] = true;
    effects++;
    assert(effects <= budget);
    firstTurnRuns = firstTurnRuns + (o < 2);
    assert(idempotent || firstTurnRuns <= 1);
    assert(o == 2 || !ran[2])
}

inline sayNotRun(o)
{
    assert(!ran[o]);
    saidNotRun[o] = true;
    view[o] = NotRun
}

inline send(o)
{
    /* The sidecars are alike, so that the first order may always go to the first one. The incarnation that had an earlier
     * order of the turn would answer from its record. */
    if
    :: o != 1 || lost[0] || view[0] == NotRun || homeEpoch == 2 -> at[o] = 0
    :: o != 0 -> at[o] = 1
    fi;
    view[o] = Open;
    state[o] = Flying;
    epoch[o] = homeEpoch
}

inline crashSidecar(s)
{
    sidecarCrashes--;
    complete[s] = false;
    fence[s] = 1;
    forget(1, s);
    forget(2, s)
}

inline forget(o, s)
{
    if
    :: state[o] != Unused && at[o] == s ->
        state[o] = Dropped;
        lost[o] = true;
        record0[o] = false;
        rejected[o] = false
    :: else
    fi
}

/* What the census hears from one sidecar of one order: its record, or nothing. */
inline hear(o)
{
    if
    :: heard[at[o]] && record0[o] && state[o] == Ended -> view[o] = Known
    :: heard[at[o]] && record0[o] && state[o] == Started -> view[o] = Open
    :: copiedOpen[o] && !(heard[at[o]] && record0[o]) -> view[o] = Unknown
    :: else -> view[o] = Nothing
    fi
}

#define ORDER_STEPS(o) \
    :: atomic { state[o] == Flying -> state[o] = Dropped } \
    :: atomic { !dead[o] && (state[o] == Flying || state[o] == Queued || state[o] == Dropped) && deadlinePassed -> \
        dead[o] = true; \
        if :: state[o] == Queued -> state[o] = Rejected; rejected[o] = true :: else fi } \
    :: atomic { state[o] == Flying -> arrive(o) } \
    :: atomic { state[o] == Queued -> begin(o) } \
    :: atomic { state[o] == Started && !record0[o] -> record0[o] = true } \
    :: atomic { state[o] == Started && record0[o] -> state[o] = Ended } \
    :: atomic { SERVES && view[o] == Open && state[o] == Ended && record0[o] -> view[o] = Known } \
    :: atomic { SERVES && view[o] == Open && state[o] == Rejected -> sayNotRun(o) } \
    :: atomic { SERVES && view[o] == Open && deadlinePassed -> view[o] = Unknown }

/* The home asks again; the repeat may overtake the order itself. */
#define REPEAT_STEP(o) \
    :: atomic { SERVES && view[o] == Open && !repeated[o] && epoch[o] == homeEpoch \
            && (state[o] == Flying || state[o] == Dropped || state[o] == Queued) -> \
        repeated[o] = true; askAgain(o) }

inline arrive(o)
{
    if
#ifndef NO_FENCE
    :: epoch[o] < fence[at[o]] -> state[o] = Rejected; rejected[o] = true
#endif
#ifndef NO_REFUSED_MEMORY
    :: rejected[o] -> state[o] = Rejected
#endif
    :: dead[o] -> state[o] = Rejected; rejected[o] = true
    :: else ->
        if
        :: state[o] = Queued
        :: state[o] = Rejected; rejected[o] = true
        fi
    fi
}

inline begin(o)
{
    if
#if !defined(NO_FENCE_AT_START) && !defined(NO_FENCE)
    :: epoch[o] < fence[at[o]] -> state[o] = Rejected; rejected[o] = true
#endif
    :: else ->
        start(o);
        state[o] = Started;
#ifndef NO_RECORD_FIRST
        record0[o] = true
#endif
    fi
}

inline askAgain(o)
{
    if
    :: lost[o] ->
#ifdef NO_INCARNATION_CHECK
        sayNotRun(o)
#else
        skip
#endif
    :: !lost[o] && state[o] == Queued -> skip
    :: !lost[o] && state[o] != Queued ->
        if
        /* Refused on the new link while the order itself is still under way on the old one. */
        :: rejected[o] = true; sayNotRun(o); if :: state[o] == Dropped -> state[o] = Rejected :: else fi
        :: skip
        fi
    fi
}

active proctype world()
{
    byte missing;
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
    REPEAT_STEP(0)
    REPEAT_STEP(2)

    :: atomic { !deadlinePassed && SERVES -> deadlinePassed = true }

    /* The first turn is asked for, twice at most: by a doubled caller, or again after a refusal or a lost sidecar. */
    :: atomic {
        SERVES && view[0] == Nothing && view[1] == Nothing && state[0] == Unused && SPENT < budget && !gap -> send(0)
    }
    :: atomic {
        SERVES && state[1] == Unused && state[2] == Unused && view[1] == Nothing && state[0] != Unused &&
#ifdef NO_RESERVATION
        (view[0] == Known) + (view[2] == Known) < budget &&
#else
        SPENT < budget &&
#endif
        !(gap && !idempotent) &&
        (view[0] == NotRun || view[0] == Nothing
            /* Its sidecar is lost, or out of reach for a while: only idempotent calls are sent again. */
            || (view[0] != Known
#ifndef NO_RETRY_LIMIT
            && idempotent
#endif
            )
#ifdef NO_HOME_RECORD
            /* A doubled caller is taken for a new call while the first is under way. */
            || (view[0] == Open && !lost[0])
#endif
            ) ->
        send(1)
    }

    /* The second turn. */
    :: atomic {
        SERVES && state[2] == Unused && view[2] == Nothing && (!gap || (idempotent && SETTLED(0) && SETTLED(1))) &&
#ifdef NO_RESERVATION
        (view[0] == Known) + (view[1] == Known) < budget &&
#else
        SPENT < budget &&
#endif
        !FIRST_TURN_OPEN &&
#ifndef NO_UNKNOWN_WAIT
        CANNOT_START(0) && CANNOT_START(1) &&
#endif
        (gap || view[0] != Nothing || view[1] != Nothing) ->
        send(2)
    }

    /* A sidecar is lost; the home copies what it knows, open orders too, and says that it is complete again. */
    :: atomic { sidecarCrashes > 0 -> crashSidecar(0); forget(0, 0) }
    :: atomic { sidecarCrashes > 0 -> crashSidecar(1) }
    :: atomic {
        SERVES && home == Living && (!complete[0] || !complete[1]) ->
#ifndef NO_COPY_OF_OPEN_ORDERS
        copiedOpen[0] = view[0] == Open || view[0] == Unknown || view[0] == Known;
        copiedOpen[1] = view[1] == Open || view[1] == Unknown || view[1] == Known;
        copiedOpen[2] = view[2] == Open || view[2] == Unknown || view[2] == Known;
#endif
        complete[0] = true;
        complete[1] = true
    }

    /* Takeover by census. */
    :: atomic { home == Living -> home = Gone; homeEpoch = 2; deadlinePassed = true }
    :: atomic {
        home == Gone ->
        home = Counting;
        if
        :: heard[0] = true
        :: skip
        fi;
        if
        :: heard[1] = true
        :: skip
        fi;
        if :: heard[0] -> fence[0] = 2 :: else fi;
        if :: heard[1] -> fence[1] = 2 :: else fi;
        hear(0);
        hear(1);
        hear(2);
        /* One for each incarnation that may have run something and is not heard. */
        missing = !heard[0] + !heard[1];
#ifndef NO_COMPLETENESS
        missing = missing + !complete[0] + !complete[1];
#endif
#ifndef NO_GAP
        gap = missing > 0;
#endif
#ifndef NO_GAP_CHARGE
#ifdef NO_CHARGE_PER_HOLDER
        gapCharge = (missing > 0);
#else
        gapCharge = missing;
#endif
#endif
        missing = 0;
        heard[0] = false;
        heard[1] = false
    }
    /* Old orders to sidecars that were not heard die with their credits. */
    :: atomic {
        home == Counting && (!gap
            || ((state[0] != Flying || dead[0]) && (state[1] != Flying || dead[1]) && (state[2] != Flying || dead[2]))) ->
        home = Serving;
        deadlinePassed = false
    }
    od
}
