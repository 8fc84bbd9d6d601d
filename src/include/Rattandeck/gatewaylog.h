#pragma once

#include "Rattandeck/gatewaycalls.h"

#include <optional>
#include <string>
#include <string_view>

/// What a gateway logs of its decisions.
namespace Rattandeck {

struct SendDecision {
    CallId call;
    TurnId request;
    BudgetId program;
    std::string route;
    std::uint64_t configVersion = 0;
    PlacementChoice choice;
    /// Software of the instance.
    SoftwareVersion version;
    /// The request that began the stream which the call resumes, and the event after which the instance resumes it;
    /// empty for a new stream.
    TurnId resumedRequest;
    std::string resumeAfter;
    /// Position of this send in the sequence of the call's sends, starting at 1.
    std::uint32_t attempt = 1;
    Milliseconds timeLeft { 0 };
    Milliseconds waited { 0 };
    /// Limit that the instance states, and the permits that this process still holds for it.
    std::optional<CallRate> limit;
    std::uint32_t permitsLeft = 0;
};

/// Why a send has brought no answer that could be passed on.
enum class SendFailureCause {
    /// The instance states that it did not run the call.
    Refused,
    NotSent,
    Unreachable,
    /// The answer is missing, incomplete or unsigned.
    Interrupted,
    /// No answer or event arrived within the time-out for it, and the call was sent to another instance.
    Stalled,
    /// As `Stalled`, but no other instance could take the call, or no retry was allowed: it stays where it is.
    StalledAndKept,
    /// Answers hold too much memory together, and this one holds most.
    TooLarge,
};

std::string_view describe(SendFailureCause cause);

struct SendFailure {
    TurnId request;
    BudgetId program;
    std::string route;
    EndpointId endpoint;
    SendFailureCause cause = SendFailureCause::Interrupted;
    std::uint32_t attempt = 1;
    /// Events received from this and earlier sends of the call.
    std::uint64_t events = 0;
    /// Time since the send.
    Milliseconds age { 0 };
    Milliseconds timeLeft { 0 };
    /// Retries that the budget allows at this moment.
    double retryBudget = 0;
};

/// What a call has waited for until instances had it.
struct CallWaits {
    /// From the arrival until the journals had answered; empty if they were not asked or haven't answered.
    std::optional<Duration> claim;
    std::optional<Duration> transcript;
    /// In the queue, while no instance had room, and while there was room but no permit.
    Duration room { 0 };
    Duration permit { 0 };
    /// From the placement until the call was written to its connection, all sends together. Includes the answer of the
    /// instance's process, where it had to tell first which one it is.
    Duration connection { 0 };
};

struct CallEnd {
    TurnId request;
    BudgetId program;
    /// Empty if the caller has none.
    OrganisationId organisation;
    /// The organisation was far above its share of the calls when the call was ready to be sent.
    bool isFarAboveShare = false;
    std::string route;
    /// "answered", "refused", "broken" (the answer was aborted) or "left" (the caller disconnected).
    std::string_view outcome;
    std::string_view reason;
    std::string endpoint;
    /// The request that began the stream which the call resumed; empty if there was none.
    TurnId resumedRequest;
    int status = 0;
    std::uint32_t sends = 0;
    std::uint64_t events = 0;
    Milliseconds duration { 0 };
    /// Time from the arrival to the first send; empty when the call was never sent.
    std::optional<Milliseconds> waited;
    CallWaits waits;
    /// Time from the arrival to the first event of a stream.
    std::optional<Milliseconds> firstEvent;
    /// Time from the arrival until its tokens were claimed and its transcript fetched.
    std::optional<Milliseconds> prepared;
    /// Time that the journals took to store the turn.
    std::optional<Milliseconds> stored;
    /// Version of the configuration under which the call was handled; 0 when there was none.
    std::uint64_t configVersion = 0;
    /// Best instance at the last placement of the call, and the limit that it states.
    std::optional<PlacementChoice> bestChoice;
    std::optional<CallRate> bestLimit;
    /// Calls in the gateway's queue when the call ended.
    std::size_t queued = 0;
};

}
