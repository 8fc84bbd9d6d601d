#pragma once

#include "Rattandeck/organisations.h"
#include "Rattandeck/types.h"

#include <deque>

/// Allowances of organisations, which apply over all gateways together.
///
/// Each journal in the set issues tokens for calls from buckets of its own, one for each organisation, which hold an
/// equal share of the allowance (`QuotaIssuer`). A gateway sends a call of an organisation with an allowance only with
/// a token (`QuotaHolder`). Since the shares add up to the allowance, issuers need no agreement, and no loss of a
/// message, link or process makes the sum exceed it.
///
/// Designed for 22 to 60 gateways, 6 issuers and 78 organisations of 3 to some hundred calls a second, which use 0.6 of
/// their allowances on average, in bursts of 1 to 6 calls at one gateway, and single ones 3 to 8 times as much as usual
/// for some seconds.
namespace Rattandeck {

struct QuotaSettings {
    /// A call must be written to its connection within this time after its token was asked for.
    Milliseconds tokenLifetime { 400 };
    /// Calls in addition to an organisation's burst, which make up for tokens that are held where no call comes.
    double extraBurst = 12;
    /// Interval at which a gateway asks for the tokens that it expects to need.
    Milliseconds requestInterval { 150 };
    /// A gateway asks another issuer first after this time: with one for good, some issuers would have twice the mean
    /// number of gateways, and less than their demand.
    Milliseconds homePeriod { 300 };
    /// Tokens are asked for in advance for organisations with a call in this time.
    Milliseconds seenPeriod { 2000 };
    /// Time for which demands of waiting calls are collected at a gateway.
    Milliseconds batchInterval { 2 };
    /// A waiting call asks all other issuers when the home issuer has not answered within this time.
    Milliseconds homeTimeout { 30 };
    /// A waiting call is refused when the other issuers have not answered within this time.
    Milliseconds answerTimeout { 150 };
    /// Fewer expected calls until the next request are no reason to ask in advance: the token of a small organisation
    /// would be missed elsewhere, and would rarely be used here.
    double minExpectedCalls = 0;
    /// Calls of organisations whose buckets are smaller ask all issuers for an equal part of what they need, not the
    /// home issuer for all: a bucket that one burst empties would refill at its share of the rate, while the others are
    /// full.
    double smallBucket = 4;
    /// Part of a bucket that is kept for calls that wait.
    double advanceFloor = 0.5;
    /// First turns of programs are issued at a limited rate while a bucket is below this part of its size.
    double firstTurnFloor = 0.7;
    /// Calls of a program until enough have been seen, and the number of programs that outweigh it.
    double initialProgramCalls = 8;
    double initialProgramWeight = 20;
    /// Time in which observed programs lose weight by a factor of e.
    Milliseconds programMemory { 60000 };
    /// An issuer without links to a majority of the set stops after this time: others replace or drop a member that
    /// they can't reach for 2 s.
    Milliseconds maxTimeAlone { 1500 };
    /// A share that grows with a change of the set grows after this time, when members that don't know the change have
    /// stopped.
    Milliseconds growthDelay { 2000 };
    /// An issuer whose timers run later than this has been paused, and may have been replaced meanwhile.
    Milliseconds maxPause { 750 };
    /// Bounds on the time for which a gateway refuses calls without asking, after all issuers had no token.
    Milliseconds minRefusal { 20 };
    /// The lower bound doubles up to this with each refusal that follows: under a lasting overload the tokens that are
    /// asked for in advance are enough to use the allowance, and questions of single calls would cost more than them.
    Milliseconds maxBackoff { 160 };
    Milliseconds maxRefusal { 2000 };
    /// When no issuer has a token, and one expects to have one within `overloadWait`, calls of the organisation ask the
    /// home issuer only for `overloadPeriod`. Its allowance is large then, and is used up by the tokens that gateways
    /// ask for in advance; questions to all issuers would cost more than the calls.
    Milliseconds overloadWait { 50 };
    Milliseconds overloadPeriod { 300 };
    /// Seed of drawn values. It has to differ between gateways.
    std::uint32_t seed = 1;
};

enum class QuotaKind { Call, FirstTurn };

// Buckets of issuers ---------------------------------------------------------------------------------------------

/// One issuer's part of an organisation's allowance.
struct QuotaShare {
    /// Tokens a second.
    double rate = 0;
    /// Largest number of tokens in the bucket.
    double size = 0;
    bool operator==(const QuotaShare&) const = default;
};

/// Share of each of `members` issuers. Precondition: `members` is not 0.
QuotaShare shareOf(const CallAllowance& allowance, std::size_t members, const QuotaSettings& settings);

/// The least room in a bucket since tokens were issued, which bounds what they may add when they come back.
struct QuotaRoom {
    std::uint64_t stamp = 0;
    TimePoint issuedAt;
    double room = 0;
};

/// Tokens are never issued for a time in which the bucket was full: returned tokens add no more than what the bucket
/// would hold if they had not been issued.
struct QuotaBucket {
    double tokens = 0;
    TimePoint updatedAt;
    /// First turns that may be issued while the bucket is below `QuotaSettings::firstTurnFloor`.
    double firstTurns = 1;
    std::deque<QuotaRoom> rooms;
};

/// Adds what has accrued until `now`. `programCalls` is the mean number of calls of a program.
void refill(QuotaBucket& bucket, const QuotaShare& share, double programCalls, TimePoint now);
/// Applies a new share: cuts the tokens that exceed its size. Tokens issued before don't come back.
/// Precondition: the bucket has been refilled with the previous share.
void resize(QuotaBucket& bucket, const QuotaShare& share);
/// Empties the bucket. It accrues tokens from `from` on.
void clear(QuotaBucket& bucket, TimePoint from);

/// Tokens that one request gets.
struct QuotaDecision {
    std::uint32_t waiting = 0;
    std::uint32_t waitingFirstTurns = 0;
    std::uint32_t advance = 0;
    /// The bucket was so full that first turns need no precaution.
    bool includesFirstTurns = false;
    /// Parts of tokens that are asked for as such, and what is left in the bucket, less than a token, for a call or a
    /// first turn that got none. A gateway adds up the parts of several issuers: half a token is left in each bucket on
    /// average, of which small ones hold two or three.
    double part = 0;
    double firstTurnPart = 0;
};

/// Decides what a request gets and takes it from the bucket: calls that wait before first turns that wait, and both
/// before calls that are expected. Precondition: the bucket has been refilled at `now`.
QuotaDecision grant(QuotaBucket& bucket, const QuotaShare& share, const QuotaDecision& wanted, std::uint64_t stamp,
    TimePoint now, const QuotaSettings& settings);

/// Puts tokens of the message `stamp` back. Returns how many the bucket takes.
/// Precondition: the bucket has been refilled at `now`.
double giveBack(QuotaBucket& bucket, double tokens, std::uint64_t stamp);

/// Time until the bucket has a token for a call of this kind. Precondition: the share has a rate.
Duration timeToNext(const QuotaBucket& bucket, const QuotaShare& share, QuotaKind kind, double programCalls,
    const QuotaSettings& settings);

// Length of programs ---------------------------------------------------------------------------------------------

struct QuotaPrograms {
    double calls = 0;
    double programs = 0;
    TimePoint updatedAt;
};

void notePrograms(
    QuotaPrograms& known, std::uint32_t calls, std::uint32_t firstTurns, TimePoint now, const QuotaSettings& settings);
/// Mean number of calls of a program, at least 1.
double meanCalls(const QuotaPrograms& known, const QuotaSettings& settings);

// Gateways -------------------------------------------------------------------------------------------------------

/// Calls of one organisation that a gateway sees.
struct QuotaArrivals {
    /// Moving average of the calls a second, as of `updatedAt`.
    double rate = 0;
    TimePoint updatedAt;
    TimePoint lastAt;
};

void noteArrival(QuotaArrivals& arrivals, TimePoint now);
/// Calls a second, as of `now`.
double rateAt(const QuotaArrivals& arrivals, TimePoint now);
/// Number of tokens that a gateway should hold until its next request: expected calls and a margin; 0 for an
/// organisation that it has not seen lately.
std::uint32_t expectedDemand(const QuotaArrivals& arrivals, TimePoint now, const QuotaSettings& settings);

}
