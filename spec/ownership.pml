/* Who may speak for a shard: one holder (epoch 1), one successor (epoch 2), one guarantor and one sidecar.
 *
 * Every option of the loop in `world` is one atomic step, so that each process may pause between any two of its steps and
 * each message may arrive late, crossed, or not at all. Time is a tick that counts all timers down together; the
 * successor's clock may run ahead once, by `MARGIN`. Each `NO_...` switch takes one guard away and must make an
 * assertion fail.
 */

#define LEASE 2
#define MARGIN 1
#define CREDIT 2
#define PROMISE 1
#define MAX_VERSION 2

/* Countdown of one timer. */
#define COUNT(timer) if :: timer > 0 -> timer-- :: else fi

/* Object API. */
bool storeUp = true;
byte leaseVersion = 1;
bool leaseBroken = false;
byte mapEpoch = 1;
byte outages = 1;

/* Holder. `renewLeft` is what is left of a lease counted from before the call under way. */
byte holderLease = LEASE;
byte holderPromise = 0;
byte holderVersion = 1;
bool holderStopped = false;
byte renewLeft = 0;
byte renewExpected = 0;
mtype = { None, Asked, Done, Refused, Silent };
mtype renew = None;
bool mustReadBack = false;
/* A renewal whose answer is given up, and which may still take effect. */
bool lateRenewal = false;
mtype promise = None;
byte promiseLeft = 0;
byte promiseVersion = 0;
bool holderCredit = false;

/* The holder's order: decided, then sent. */
bool orderDecided = false;
bool orderSent = false;

/* Guarantor. */
byte guarantorPromise = 0;
byte guarantorReleased = 0;
byte guarantorFresh = 0;
bool guarantorHasRead = true;
bool guarantorSawBroken = false;
byte guarantorCrashes = 1;

/* Sidecar. `sidecarCredit` is the life of the holder's credits on the sidecar's clock. */
byte sidecarFence = 1;
byte sidecarCredit = 0;
bool sidecarGranted = false;
bool reachable = true;
byte highestStarted = 0;

/* Successor. */
mtype = { Watching, Breaking, ReadingBreak, Broken, Asking, Released, Mapping, ReadingMap, Census, Waiting, Serving };
mtype successor = Watching;
byte seenVersion = 1;
byte lapse = LEASE + MARGIN;
byte creditWait = 0;
byte drift = MARGIN;
mtype break_ = None;
mtype map = None;

#define HAS_AUTHORITY (!holderStopped && (holderLease > 0 || holderPromise > 0))

inline tick()
{
    COUNT(holderLease);
    COUNT(holderPromise);
    COUNT(renewLeft);
    COUNT(promiseLeft);
    COUNT(guarantorPromise);
    COUNT(guarantorFresh);
    COUNT(sidecarCredit);
    COUNT(lapse);
    COUNT(creditWait)
}

/* The rest only forgets what is not read any more, to keep the state space small. */
inline stopHolder()
{
    holderStopped = true;
    holderLease = 0;
    holderPromise = 0;
    promise = None;
    promiseLeft = 0;
    promiseVersion = 0;
    renewLeft = 0
}

active proctype world()
{
end:
    do
    :: atomic { true -> tick() }
    :: atomic { drift > 0 && lapse > 0 -> drift--; lapse-- }

    /* Outage of the object API. */
    :: atomic { storeUp && outages > 0 -> storeUp = false; outages-- }
    :: atomic { !storeUp -> storeUp = true }
    :: atomic { reachable && successor != Serving -> reachable = false }

    /* Renewal: asked, takes effect or conflicts, answered or lost. */
    :: atomic {
        !holderStopped && renew == None && !mustReadBack && !lateRenewal && leaseVersion < MAX_VERSION ->
        renew = Asked;
        renewExpected = holderVersion;
        renewLeft = LEASE
    }
    :: atomic {
        renew == Asked && storeUp ->
        if
        :: leaseVersion == renewExpected && !leaseBroken -> leaseVersion++; renew = Done
        :: else -> renew = Refused
        fi
    }
    :: atomic { renew == Asked -> renew = Silent; lateRenewal = true }
    :: atomic { lateRenewal -> lateRenewal = false }
    :: atomic {
        lateRenewal && storeUp && leaseVersion == renewExpected && !leaseBroken ->
        lateRenewal = false;
        leaseVersion++
    }
    :: atomic { renew == Done -> renew = Silent }
    :: atomic {
        renew == Done ->
        renew = None;
        holderVersion = renewExpected + 1;
#ifdef NO_LEASE_FROM_BEFORE
        holderLease = LEASE;
#else
        holderLease = renewLeft;
#endif
        renewLeft = 0
    }
    :: atomic {
        renew == Refused ->
        renew = None;
#ifdef NO_STOP_WHEN_BROKEN
        holderVersion = leaseVersion;
        leaseBroken = false;
        holderLease = LEASE
#else
        stopHolder()
#endif
    }
    :: atomic {
        renew == Silent ->
        renew = None;
#ifdef NO_READ_BACK
        holderVersion = renewExpected + 1;
        holderLease = renewLeft;
#else
        mustReadBack = true;
#endif
        renewLeft = 0
    }
    :: atomic {
        mustReadBack && storeUp ->
        mustReadBack = false;
        holderVersion = leaseVersion;
        if
        :: leaseBroken -> stopHolder()
        :: else
        fi
    }

    /* Promises in an outage. */
    :: atomic {
        !holderStopped && promise == None && !storeUp ->
        promise = Asked;
        promiseVersion = holderVersion;
        promiseLeft = PROMISE
    }
    :: atomic {
        promise == Asked && !storeUp ->
        if
#ifndef NO_RELEASE_MEMORY
        :: guarantorReleased >= promiseVersion -> promise = Refused
#endif
#ifndef NO_READ_BEFORE_PROMISE
        :: !guarantorHasRead || guarantorSawBroken -> promise = Refused
#endif
        :: else -> promise = Done; guarantorPromise = PROMISE
        fi
    }
    :: atomic { promise == Asked || promise == Done || promise == Refused -> promise = None; promiseLeft = 0; promiseVersion = 0 }
    :: atomic {
        promise == Done ->
        promise = None;
#ifdef NO_PROMISE_FROM_BEFORE
        holderPromise = PROMISE;
#else
        holderPromise = promiseLeft;
#endif
        promiseLeft = 0;
        promiseVersion = 0
    }
    :: atomic {
        guarantorCrashes > 0 ->
        guarantorCrashes--;
        guarantorPromise = 0;
        guarantorReleased = 0;
        guarantorHasRead = false;
        guarantorSawBroken = false;
#ifndef NO_FRESH_GUARANTOR_WAIT
        guarantorFresh = PROMISE
#endif
    }
    :: atomic { storeUp && !guarantorHasRead -> guarantorHasRead = true; guarantorSawBroken = leaseBroken }

    /* Orders of the holder. */
    :: atomic {
        !sidecarGranted && sidecarFence == 1 ->
        sidecarGranted = true;
        sidecarCredit = CREDIT;
        holderCredit = true
    }
    :: atomic { sidecarGranted && sidecarCredit == 0 && !orderSent && !orderDecided -> sidecarGranted = false; holderCredit = false }
    :: atomic {
        HAS_AUTHORITY && holderCredit && !orderDecided && !orderSent ->
        /* A final answer may be given on the same check. */
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
            assert(highestStarted <= 1);
            highestStarted = 1
        fi
    }
    :: atomic { orderSent -> orderSent = false }

    /* Takeover. */
    :: atomic {
        successor == Watching && storeUp && seenVersion != leaseVersion ->
        seenVersion = leaseVersion;
        break_ = None;
#ifdef NO_MARGIN
        lapse = LEASE
#else
        lapse = LEASE + MARGIN
#endif
    }
    :: atomic {
#ifdef NO_LAPSE_WAIT
        successor == Watching && break_ == None ->
#else
        successor == Watching && lapse == 0 && break_ == None ->
#endif
#ifdef NO_BREAK
        successor = Broken
#else
        successor = Breaking;
        break_ = Asked
#endif
    }
    :: atomic {
        break_ == Asked && storeUp ->
        if
        :: leaseVersion == seenVersion && !leaseBroken -> leaseBroken = true; break_ = Done
        :: else -> break_ = Refused
        fi
    }
    :: atomic { successor == Breaking && break_ == Done -> successor = Broken; lapse = 0; drift = 0; break_ = None }
    :: atomic { successor == Breaking && break_ == Refused -> successor = Watching; break_ = None }
    /* The answer is lost; the update may take effect until it is read back, or later, or never. */
    :: atomic { successor == Watching && break_ != None -> break_ = None }
    :: atomic { successor == Watching && storeUp && leaseBroken -> successor = Broken; lapse = 0; drift = 0; break_ = None }
    :: atomic { successor == Breaking -> successor = ReadingBreak }
    :: atomic {
        successor == ReadingBreak && storeUp ->
#ifdef NO_BREAK_READ_BACK
        successor = Broken
#else
        if
        :: leaseBroken -> successor = Broken; lapse = 0; drift = 0; break_ = None
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
        :: guarantorPromise > 0 || guarantorFresh > 0 -> successor = Broken
        :: else -> guarantorReleased = seenVersion; successor = Released
        fi
#endif
    }
    :: atomic { successor == Released -> successor = Mapping; map = Asked }
    :: atomic { map == Asked && storeUp -> mapEpoch = 2; map = Done }
    :: atomic { successor == Mapping && map == Done -> successor = Census; creditWait = CREDIT; map = None }
    :: atomic { successor == Mapping -> successor = ReadingMap }
    :: atomic {
        successor == ReadingMap && storeUp ->
        if
        :: mapEpoch == 2 -> successor = Census; creditWait = CREDIT; map = None
        :: else -> successor = Released
        fi
    }
    :: atomic { successor == Census && reachable -> sidecarFence = 2; successor = Serving; creditWait = 0 }
    :: atomic { successor == Census && !reachable -> successor = Waiting }
    :: atomic {
#ifdef NO_CREDIT_WAIT
        successor == Waiting ->
#else
        successor == Waiting && creditWait == 0 ->
#endif
        successor = Serving
    }
    :: atomic { successor == Serving && (reachable || highestStarted < 2) -> sidecarFence = 2; highestStarted = 2 }
    od
}
