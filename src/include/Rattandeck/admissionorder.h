#pragma once

#include "Rattandeck/types.h"

#include <array>
#include <cstdint>
#include <optional>

/// Which calls get room first when instances are full, where the configuration has organisations: pure functions.
///
/// Designed for one to three organisations at a time that send 3 to 8 times their usual rate for some seconds, beside
/// bursts of 2.1 times of one kind of call, with about 80 organisations at 22 gateways. `admissionreplay_test.cpp`
/// replays this load.
namespace Rattandeck {

/// Calls at this gateway as moving sums over some seconds. A call is offered when it is ready to be sent for the first
/// time, and served when it is sent.
struct OfferedCalls {
    double offered = 0;
    double served = 0;
};

/// Use of one organisation, or of several together.
struct OrganisationCalls {
    OfferedCalls firstTurns;
    OfferedCalls others;
    /// The rate of its allowance, or 1 where no organisation has one.
    double weight = 1;
};

/// How a call of an organisation is treated at this moment.
struct OrganisationStanding {
    /// Calls of the organisation wait behind those within their share.
    bool isFarAboveShare = false;
    /// The organisation is served far less often than all together: its calls go before others of their kind.
    bool isOwed = false;
};

/// What the active organisations use together.
struct TotalUse {
    OfferedCalls firstTurns;
    OfferedCalls others;
    /// Sum over the organisations of their calls in proportion to their weights.
    double weighedCalls = 0;
    std::size_t organisations = 0;
};

/// Whether the calls of an organisation, in proportion to its weight, exceed by far the mean of the other active
/// organisations. `all` includes the organisation itself, which is left out of the mean: with it, no organisation could
/// exceed the mean by more than the number of active ones. Each organisation counts once, whatever its size, so that
/// several hot organisations do not raise the mean much.
bool isFarAboveShare(const OrganisationCalls& own, const TotalUse& all);

/// Whether the share of served calls of an organisation is near a quarter of that of all, or below. `own` and `all` are
/// of the same kind: first turns, or others.
bool isOwed(const OfferedCalls& own, const OfferedCalls& all);

/// Position of a call in the queue; a lower one goes first. Calls with equal positions are ordered by time.
using AdmissionOrder = std::array<std::uint32_t, 5>;

struct AdmissionCall {
    /// The call resumes a stream, which has to go on at its version.
    bool isResumption = false;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    bool isFirstTurn = false;
};

/// Order without organisations: resumed streams, then rank, then first turns after others.
AdmissionOrder admissionOrder(const AdmissionCall& call);
/// Order with organisations: resumed streams, then programs under way before new ones, then organisations that are
/// owed, then rank, then organisations far above their share after the others.
///
/// Rank comes after the precedence of programs under way, because a program that is given up half done has used room
/// for nothing, whatever its rank.
AdmissionOrder admissionOrder(const AdmissionCall& call, const OrganisationStanding& standing);

/// What is known of the queue when a call finds no room.
struct QueueView {
    /// Queued calls of the same kind and service that go first.
    std::size_t ahead = 0;
    /// Calls of this kind that have left the queue for an instance, per second in which some waited; empty if unknown.
    std::optional<double> servedPerSecond;
};

/// Returns the time until a call is expected to leave the queue; empty if unknown.
std::optional<Milliseconds> expectedQueueWait(const QueueView& queue);

/// Whether a call that may wait for `maxWait` is refused at once.
bool isWaitTooLong(Milliseconds expectedWait, Milliseconds maxWait);

/// Positions over which refused callers are spread.
constexpr std::uint64_t retryPositions = 1024;

struct RetryInput {
    Milliseconds least { 0 };
    /// Time in which the calls that wait now are expected to be served.
    Milliseconds expectedWait { 0 };
    Milliseconds timeLeft { 0 };
    /// Drawn from the request's id; below `retryPositions`.
    std::uint64_t position = 0;
};

/// Returns the delay after which a refused caller may retry. Callers are spread between the least delay and the sum of
/// that and the expected wait, as far as they honour it: up to a third of the time that they have left.
Milliseconds spreadRetry(const RetryInput& input);

}
