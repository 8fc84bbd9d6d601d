/* Configuration: one object, three processes that hold it, two operators, and an outage of the object API.
 *
 * An accepted change is one that the store took. Shown: a process never goes back to an older version (but for a restart in
 * an outage: then it serves with nothing older than its peers have); when the faults end, one round of messages brings
 * every process to the newest version, and in a lasting outage to the newest that any of them has; and no
 * operator's change is written twice or over one that the operator had not read. Each option of the loop is one atomic
 * step; each `NO_...` switch takes one guard away and must make an assertion fail.
 */

#define PROCESSES 3
#define MAX_VERSION 3

/* Store. Version 0 is "no such object". One version may be the object's deletion. */
bool storeUp = true;
byte version = 0;
byte deletion = 0;
byte outages = 1;

/* What each process has in force, and the highest version that this life of it has had in force. */
byte inForce[PROCESSES];
bool serving[PROCESSES] = true;
byte highest[PROCESSES];
byte restarts = 1;

/* One message under way to each process, as late as it may be: from the store's watch, or from a peer. */
byte flying[PROCESSES];

/* Operators. `seen` is the version that the change was made from. */
mtype = { Idle, Writing, Lost, Accepted };
mtype operator[2] = Idle;
byte seen[2];
bool wrote[2];
byte writes[2];

inline takeInForce(p, candidate)
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
    takeInForce(p, flying[p]);
    flying[p] = 0
}

inline restart(p)
{
    restarts--;
    inForce[p] = 0;
    flying[p] = 0;
    highest[p] = 0;
#ifdef NO_WAIT_FOR_CONFIGURATION
    startServing(p)
#else
    serving[p] = false
#endif
}

/* What a peer serves with, this one must not undercut. */
inline startServing(p)
{
    serving[p] = true;
    highest[p] = inForce[p];
    assert(storeUp || inForce[p] >= inForce[(p + 1) % PROCESSES] || !serving[(p + 1) % PROCESSES]);
    assert(storeUp || inForce[p] >= inForce[(p + 2) % PROCESSES] || !serving[(p + 2) % PROCESSES])
}

#define WATCHED(p) \
    :: atomic { storeUp && flying[p] == 0 && version > 0 -> flying[p] = version } \
    :: atomic { flying[p] > 0 -> receive(p) } \
    :: atomic { flying[p] > 1 -> flying[p]-- /* an older message, repeated */ } \
    :: atomic { restarts > 0 && serving[p] -> restart(p) } \
    :: atomic { !serving[p] && storeUp -> takeInForce(p, version); startServing(p) }

/* Peers send what they have. */
#define SPREAD(p, q) \
    :: atomic { serving[q] && flying[p] == 0 && inForce[q] > inForce[p] -> flying[p] = inForce[q] }

/* In an outage a process that starts asks its peers, all of them, before it serves. */
#define START_FROM_PEERS(p, q, r) \
    :: atomic { !serving[p] && !storeUp -> \
        takeInForce(p, inForce[q]); \
        askOther(p, r); \
        startServing(p) }

inline askOther(p, r)
{
#ifndef NO_ALL_PEERS
    takeInForce(p, inForce[r])
#else
    skip
#endif
}

inline write(o)
{
    if
#ifndef NO_CONDITIONAL_UPDATE
    :: version != seen[o] -> operator[o] = Idle
#endif
    :: else ->
        assert(version == seen[o]);
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
    :: atomic { operator[o] == Idle && storeUp && version < MAX_VERSION -> seen[o] = version; operator[o] = Writing } \
    :: atomic { operator[o] == Writing && storeUp -> write(o) } \
    /* The answer is lost, before or after the change took effect. */ \
    :: atomic { operator[o] == Writing -> operator[o] = Lost } \
    :: atomic { operator[o] == Writing && storeUp -> write(o); operator[o] = Lost } \
    :: atomic { operator[o] == Lost && storeUp -> afterLostAnswer(o) }

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

/* One round of messages. */
inline deliverFrom(p, q)
{
#ifndef NO_SPREAD
    takeInForce(p, inForce[q])
#else
    skip
#endif
}

active proctype world()
{
    do
    WATCHED(0)
    WATCHED(1)
    WATCHED(2)
    SPREAD(0, 1)
    SPREAD(1, 2)
    SPREAD(2, 0)
    START_FROM_PEERS(0, 1, 2)
    START_FROM_PEERS(1, 2, 0)
    START_FROM_PEERS(2, 0, 1)
    OPERATOR(0)
    OPERATOR(1)
    :: atomic { storeUp && outages > 0 -> storeUp = false; outages-- }
    :: atomic { !storeUp -> storeUp = true }
    /* The faults end. */
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
        :: storeUp -> takeInForce(0, version); assert(inForce[0] == version)
        :: else
        fi;
        break
    }
    od
}
