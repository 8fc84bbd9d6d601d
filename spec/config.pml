/* Distribution of the configuration: one configuration object, three processes that use it, two operators that change
 * it, and one outage of the object API.
 *
 * A change is accepted once the store has written it. The assertions state:
 *  - A process never returns to an older version. After a restart during an outage, it serves with a version that is
 *    at least as new as that of each serving peer.
 *  - After the faults end, one round of messages brings every process to the newest version; if the outage persists,
 *    to the newest version that any process has.
 *  - A change of an operator is not written twice, and does not overwrite a change that the operator had not read.
 *
 * Each option of the loop is one atomic step. Each `NO_...` switch removes one guard and must make an assertion fail.
 */

#define PROCESSES 3
#define MAX_VERSION 3

/* Store. Version 0 means that the object does not exist. One version may be the deletion of the object. */
bool isStoreUp = true;
byte version = 0;
byte deletion = 0;
byte outages = 1;

/* The version that each process has in force, and the highest one that it has had in force since its last restart. */
byte inForce[PROCESSES];
bool serving[PROCESSES] = true;
byte highest[PROCESSES];
byte restarts = 1;

/* The version in a message in flight to each process, from the store's watch or from a peer. It may be delayed. */
byte inFlight[PROCESSES];

/* Operators. `baseVersion` is the version that the operator read before the change. */
mtype = { Idle, Writing, Lost, Accepted };
mtype operator[2] = Idle;
byte baseVersion[2];
bool wrote[2];
byte writes[2];

inline applyVersion(p, candidate)
{
    if
#ifndef NO_VERSION_ORDER
    :: candidate <= inForce[p] -> skip
#endif
    :: else ->
        inForce[p] = candidate;
        assert(!serving[p] || inForce[p] >= highest[p]);
        highest[p] = (serving[p] -> inForce[p] : highest[p]);
#ifdef NO_DELETION_MEMORY
        if
        :: candidate == deletion -> inForce[p] = 0
        :: else
        fi
#endif
    fi
}

inline receive(p)
{
    applyVersion(p, inFlight[p]);
    inFlight[p] = 0
}

inline restart(p)
{
    restarts--;
    inForce[p] = 0;
    inFlight[p] = 0;
    highest[p] = 0;
#ifdef NO_WAIT_FOR_CONFIGURATION
    startServing(p)
#else
    serving[p] = false
#endif
}

/* During an outage, a process must not serve with an older version than that of a serving peer. */
inline startServing(p)
{
    serving[p] = true;
    highest[p] = inForce[p];
    assert(isStoreUp || inForce[p] >= inForce[(p + 1) % PROCESSES] || !serving[(p + 1) % PROCESSES]);
    assert(isStoreUp || inForce[p] >= inForce[(p + 2) % PROCESSES] || !serving[(p + 2) % PROCESSES])
}

#define PROCESS_STEPS(p) \
    :: atomic { isStoreUp && inFlight[p] == 0 && version > 0 -> inFlight[p] = version } \
    :: atomic { inFlight[p] > 0 -> receive(p) } \
    :: atomic { inFlight[p] > 1 -> inFlight[p]-- /* an older message is delivered again */ } \
    :: atomic { restarts > 0 && serving[p] -> restart(p) } \
    :: atomic { !serving[p] && isStoreUp -> applyVersion(p, version); startServing(p) }

/* A serving peer sends the version that it has in force. */
#define PEER_MESSAGE(p, q) \
    :: atomic { serving[q] && inFlight[p] == 0 && inForce[q] > inForce[p] -> inFlight[p] = inForce[q] }

/* During an outage, a restarted process asks all its peers for their version before it serves. */
#define START_FROM_PEERS(p, q, r) \
    :: atomic { !serving[p] && !isStoreUp -> \
        applyVersion(p, inForce[q]); \
        askSecondPeer(p, r); \
        startServing(p) }

inline askSecondPeer(p, r)
{
#ifndef NO_ALL_PEERS
    applyVersion(p, inForce[r])
#else
    skip
#endif
}

inline write(o)
{
    if
#ifndef NO_CONDITIONAL_UPDATE
    :: version != baseVersion[o] -> operator[o] = Idle
#endif
    :: else ->
        assert(version == baseVersion[o]);
        version++;
        if
        :: deletion == 0 -> deletion = version
        :: skip
        fi;
        writes[o]++;
        assert(writes[o] == 1);
        operator[o] = Accepted
    fi
}

#define OPERATOR(o) \
    :: atomic { operator[o] == Idle && isStoreUp && version < MAX_VERSION -> \
        baseVersion[o] = version; operator[o] = Writing } \
    :: atomic { operator[o] == Writing && isStoreUp -> write(o) } \
    /* The answer is lost, before or after the change takes effect. */ \
    :: atomic { operator[o] == Writing -> operator[o] = Lost } \
    :: atomic { operator[o] == Writing && isStoreUp -> write(o); operator[o] = Lost } \
    :: atomic { operator[o] == Lost && isStoreUp -> afterLostAnswer(o) }

inline afterLostAnswer(o)
{
#ifndef NO_READ_BACK
    if
    :: writes[o] > 0 -> operator[o] = Accepted
    :: else -> operator[o] = Idle
    fi
#else
    operator[o] = Idle
#endif
}

/* A message of the last round, after the faults end. */
inline deliverFrom(p, q)
{
#ifndef NO_SPREAD
    applyVersion(p, inForce[q])
#else
    skip
#endif
}

active proctype world()
{
    do
    PROCESS_STEPS(0)
    PROCESS_STEPS(1)
    PROCESS_STEPS(2)
    PEER_MESSAGE(0, 1)
    PEER_MESSAGE(1, 2)
    PEER_MESSAGE(2, 0)
    START_FROM_PEERS(0, 1, 2)
    START_FROM_PEERS(1, 2, 0)
    START_FROM_PEERS(2, 0, 1)
    OPERATOR(0)
    OPERATOR(1)
    :: atomic { isStoreUp && outages > 0 -> isStoreUp = false; outages-- }
    :: atomic { !isStoreUp -> isStoreUp = true }
    /* The faults end. Messages in flight arrive, followed by one round of messages. */
    :: atomic {
        serving[0] && serving[1] && serving[2] && operator[0] != Writing && operator[1] != Writing ->
        receive(0);
        receive(1);
        receive(2);
        deliverFrom(0, 1);
        deliverFrom(0, 2);
        deliverFrom(1, 0);
        deliverFrom(2, 0);
        assert(inForce[0] == inForce[1] && inForce[1] == inForce[2]);
        if
        :: isStoreUp -> applyVersion(0, version); assert(inForce[0] == version)
        :: else
        fi;
        break
    }
    od
}
