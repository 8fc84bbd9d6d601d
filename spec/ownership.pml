/* Ownership of a shard: the current holder (epoch 1), its successor (epoch 2), one promise grantor and one sidecar.
 * After the successor has started to serve, the holder must neither send an order nor give a final answer, and no order
 * that it sent earlier may start.
 *
 * Each option of the loop in `world` is one atomic step, so that each process may pause between any two of its steps,
 * and each message may be delayed, reordered or lost. A tick counts down all timers together; the successor's clock may
 * run ahead once, by `MARGIN`. Each `NO_...` switch removes one guard and must make an assertion fail.
 */

#define LEASE 2
#define MARGIN 1
#define CREDIT 2
#define PROMISE 1
#define MAX_VERSION 2

/* Decrements a timer until it reaches zero. */
#define COUNT_DOWN(timer) if :: timer > 0 -> timer-- :: else fi

/* Object API. */
bool isStoreUp = true;
byte leaseVersion = 1;
bool leaseBroken = false;
byte mapEpoch = 1;
byte outages = 1;

/* Holder. `renewalRemaining` is the remaining time of the lease that a pending renewal would grant. The lease starts
 * before the call. */
byte holderLease = LEASE;
byte holderPromise = 0;
byte holderVersion = 1;
bool holderStopped = false;
byte renewalRemaining = 0;
byte renewalVersion = 0;
mtype = { None, Asked, Done, Refused, NoAnswer };
mtype renewal = None;
bool mustReadBack = false;
/* The holder no longer waits for the answer of a renewal that may still take effect. */
bool lateRenewal = false;
mtype promise = None;
byte promiseRemaining = 0;
byte promiseVersion = 0;
bool holderCredit = false;

/* The order of the holder is decided first and then sent. */
bool orderDecided = false;
bool orderSent = false;

/* Grantor, which gives promises to the holder during an outage of the object API. */
byte grantorPromise = 0;
byte grantorReleased = 0;
byte grantorRestartWait = 0;
bool grantorHasRead = true;
bool grantorSawBroken = false;
byte grantorCrashes = 1;

/* Sidecar. `sidecarCredit` is the remaining lifetime of the holder's credit on the clock of the sidecar. */
byte sidecarFence = 1;
byte sidecarCredit = 0;
bool hasSidecarCredit = false;
bool isSidecarReachable = true;
byte highestStartedEpoch = 0;

/* Successor. */
mtype = { Watching, Breaking, ReadingBreak, Broken, Asking, Released, Mapping, ReadingMap, Recovery, Waiting, Serving };
mtype successor = Watching;
byte seenVersion = 1;
byte expiryWait = LEASE + MARGIN;
byte creditWait = 0;
byte clockDrift = MARGIN;
mtype breakUpdate = None;
mtype mapUpdate = None;

#define HAS_AUTHORITY (!holderStopped && (holderLease > 0 || holderPromise > 0))

inline tick()
{
    COUNT_DOWN(holderLease);
    COUNT_DOWN(holderPromise);
    COUNT_DOWN(renewalRemaining);
    COUNT_DOWN(promiseRemaining);
    COUNT_DOWN(grantorPromise);
    COUNT_DOWN(grantorRestartWait);
    COUNT_DOWN(sidecarCredit);
    COUNT_DOWN(expiryWait);
    COUNT_DOWN(creditWait)
}

/* A stopped holder only needs `holderStopped`. Its other variables are reset to reduce the state space. */
inline stopHolder()
{
    holderStopped = true;
    holderLease = 0;
    holderPromise = 0;
    promise = None;
    promiseRemaining = 0;
    promiseVersion = 0;
    renewalRemaining = 0
}

active proctype world()
{
end:
    do
    :: atomic { true -> tick() }
    :: atomic { clockDrift > 0 && expiryWait > 0 -> clockDrift--; expiryWait-- }

    /* Outage of the object API, and loss of the link to the sidecar. */
    :: atomic { isStoreUp && outages > 0 -> isStoreUp = false; outages-- }
    :: atomic { !isStoreUp -> isStoreUp = true }
    :: atomic { isSidecarReachable && successor != Serving -> isSidecarReachable = false }

    /* Renewal: it is requested, takes effect or conflicts, and its answer arrives or is lost. */
    :: atomic {
        !holderStopped && renewal == None && !mustReadBack && !lateRenewal && leaseVersion < MAX_VERSION ->
        renewal = Asked;
        renewalVersion = holderVersion;
        renewalRemaining = LEASE
    }
    :: atomic {
        renewal == Asked && isStoreUp ->
        if
        :: leaseVersion == renewalVersion && !leaseBroken -> leaseVersion++; renewal = Done
        :: else -> renewal = Refused
        fi
    }
    :: atomic { renewal == Asked -> renewal = NoAnswer; lateRenewal = true }
    :: atomic { lateRenewal -> lateRenewal = false }
    :: atomic {
        lateRenewal && isStoreUp && leaseVersion == renewalVersion && !leaseBroken ->
        lateRenewal = false;
        leaseVersion++
    }
    :: atomic { renewal == Done -> renewal = NoAnswer }
    :: atomic {
        renewal == Done ->
        renewal = None;
        holderVersion = renewalVersion + 1;
#ifdef NO_LEASE_FROM_BEFORE
        holderLease = LEASE;
#else
        holderLease = renewalRemaining;
#endif
        renewalRemaining = 0
    }
    :: atomic {
        renewal == Refused ->
        renewal = None;
#ifdef NO_STOP_WHEN_BROKEN
        holderVersion = leaseVersion;
        leaseBroken = false;
        holderLease = LEASE
#else
        stopHolder()
#endif
    }
    :: atomic {
        renewal == NoAnswer ->
        renewal = None;
#ifdef NO_READ_BACK
        holderVersion = renewalVersion + 1;
        holderLease = renewalRemaining;
#else
        mustReadBack = true;
#endif
        renewalRemaining = 0
    }
    :: atomic {
        mustReadBack && isStoreUp ->
        mustReadBack = false;
        holderVersion = leaseVersion;
        if
        :: leaseBroken -> stopHolder()
        :: else
        fi
    }

    /* Promises during an outage. */
    :: atomic {
        !holderStopped && promise == None && !isStoreUp ->
        promise = Asked;
        promiseVersion = holderVersion;
        promiseRemaining = PROMISE
    }
    :: atomic {
        promise == Asked && !isStoreUp ->
        if
#ifndef NO_RELEASE_MEMORY
        :: grantorReleased >= promiseVersion -> promise = Refused
#endif
#ifndef NO_READ_BEFORE_PROMISE
        :: !grantorHasRead || grantorSawBroken -> promise = Refused
#endif
        :: else -> promise = Done; grantorPromise = PROMISE
        fi
    }
    :: atomic {
        promise == Asked || promise == Done || promise == Refused ->
        promise = None;
        promiseRemaining = 0;
        promiseVersion = 0
    }
    :: atomic {
        promise == Done ->
        promise = None;
#ifdef NO_PROMISE_FROM_BEFORE
        holderPromise = PROMISE;
#else
        holderPromise = promiseRemaining;
#endif
        promiseRemaining = 0;
        promiseVersion = 0
    }
    :: atomic {
        grantorCrashes > 0 ->
        grantorCrashes--;
        grantorPromise = 0;
        grantorReleased = 0;
        grantorHasRead = false;
        grantorSawBroken = false;
#ifndef NO_FRESH_GUARANTOR_WAIT
        grantorRestartWait = PROMISE
#endif
    }
    :: atomic { isStoreUp && !grantorHasRead -> grantorHasRead = true; grantorSawBroken = leaseBroken }

    /* Orders of the holder. */
    :: atomic {
        !hasSidecarCredit && sidecarFence == 1 ->
        hasSidecarCredit = true;
        sidecarCredit = CREDIT;
        holderCredit = true
    }
    :: atomic {
        hasSidecarCredit && sidecarCredit == 0 && !orderSent && !orderDecided ->
        hasSidecarCredit = false;
        holderCredit = false
    }
    :: atomic {
        HAS_AUTHORITY && holderCredit && !orderDecided && !orderSent ->
        /* The holder may also give a final answer after the same check. */
        assert(successor != Serving);
#ifdef NO_CHECK_BEFORE_SEND
        orderDecided = true
#else
        holderCredit = false;
        orderSent = true
#endif
    }
#ifdef NO_CHECK_BEFORE_SEND
    :: atomic { orderDecided && holderCredit -> orderDecided = false; holderCredit = false; orderSent = true }
    :: atomic { orderDecided && sidecarCredit == 0 && sidecarFence == 1 -> sidecarCredit = CREDIT }
#endif
    :: atomic {
        orderSent ->
        orderSent = false;
        if
#ifndef NO_CREDIT_EXPIRY
        :: sidecarCredit == 0 -> skip
#endif
#ifndef NO_FENCE
        :: sidecarFence > 1 -> skip
#endif
        :: else ->
            assert(successor != Serving);
            assert(highestStartedEpoch <= 1);
            highestStartedEpoch = 1
        fi
    }
    :: atomic { orderSent -> orderSent = false }

    /* Takeover. */
    :: atomic {
        successor == Watching && isStoreUp && seenVersion != leaseVersion ->
        seenVersion = leaseVersion;
        breakUpdate = None;
#ifdef NO_MARGIN
        expiryWait = LEASE
#else
        expiryWait = LEASE + MARGIN
#endif
    }
    :: atomic {
#ifdef NO_LAPSE_WAIT
        successor == Watching && breakUpdate == None ->
#else
        successor == Watching && expiryWait == 0 && breakUpdate == None ->
#endif
#ifdef NO_BREAK
        successor = Broken
#else
        successor = Breaking;
        breakUpdate = Asked
#endif
    }
    :: atomic {
        breakUpdate == Asked && isStoreUp ->
        if
        :: leaseVersion == seenVersion && !leaseBroken -> leaseBroken = true; breakUpdate = Done
        :: else -> breakUpdate = Refused
        fi
    }
    :: atomic {
        successor == Breaking && breakUpdate == Done ->
        successor = Broken;
        expiryWait = 0;
        clockDrift = 0;
        breakUpdate = None
    }
    :: atomic { successor == Breaking && breakUpdate == Refused -> successor = Watching; breakUpdate = None }
    /* The answer is lost. The update may take effect before or after it is read back, or never. */
    :: atomic { successor == Watching && breakUpdate != None -> breakUpdate = None }
    :: atomic {
        successor == Watching && isStoreUp && leaseBroken ->
        successor = Broken;
        expiryWait = 0;
        clockDrift = 0;
        breakUpdate = None
    }
    :: atomic { successor == Breaking -> successor = ReadingBreak }
    :: atomic {
        successor == ReadingBreak && isStoreUp ->
#ifdef NO_BREAK_READ_BACK
        successor = Broken
#else
        if
        :: leaseBroken -> successor = Broken; expiryWait = 0; clockDrift = 0; breakUpdate = None
        :: else -> successor = Watching
        fi
#endif
    }
    :: atomic { successor == Broken -> successor = Asking }
    :: atomic {
        successor == Asking ->
#ifdef NO_RELEASE
        successor = Released
#else
        if
        :: grantorPromise > 0 || grantorRestartWait > 0 -> successor = Broken
        :: else -> grantorReleased = seenVersion; successor = Released
        fi
#endif
    }
    :: atomic { successor == Released -> successor = Mapping; mapUpdate = Asked }
    :: atomic { mapUpdate == Asked && isStoreUp -> mapEpoch = 2; mapUpdate = Done }
    :: atomic {
        successor == Mapping && mapUpdate == Done ->
        successor = Recovery;
        creditWait = CREDIT;
        mapUpdate = None
    }
    :: atomic { successor == Mapping -> successor = ReadingMap }
    :: atomic {
        successor == ReadingMap && isStoreUp ->
        if
        :: mapEpoch == 2 -> successor = Recovery; creditWait = CREDIT; mapUpdate = None
        :: else -> successor = Released
        fi
    }
    :: atomic { successor == Recovery && isSidecarReachable -> sidecarFence = 2; successor = Serving; creditWait = 0 }
    :: atomic { successor == Recovery && !isSidecarReachable -> successor = Waiting }
    :: atomic {
#ifdef NO_CREDIT_WAIT
        successor == Waiting ->
#else
        successor == Waiting && creditWait == 0 ->
#endif
        successor = Serving
    }
    :: atomic {
        successor == Serving && (isSidecarReachable || highestStartedEpoch < 2) ->
        sidecarFence = 2;
        highestStartedEpoch = 2
    }
    od
}
