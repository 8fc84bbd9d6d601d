#pragma once

#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"
#include "Rattandeck/organisations.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Calls of callers, their sends to endpoint instances, and answers, as the gateway's core sees them.
namespace Rattandeck {

/// Identifies one request of a caller. A retry by the caller is another call.
using CallId = Strong<struct CallIdTag, std::uint64_t>;
/// Identifies one send of a call to an endpoint instance. A call that is retried has several.
using SendId = Strong<struct SendIdTag, std::uint64_t>;

/// A caller's request, decoded.
struct GatewayCall {
    /// Request id, chosen by the caller.
    TurnId request;
    std::string host;
    /// Without the query.
    std::string path;
    std::string body;
    /// The body was not kept, see `Gateway::needsBody`. Such a call is never sent.
    bool isBodyOmitted = false;
    /// Time until the caller's deadline.
    std::optional<Milliseconds> timeLeft;
    /// Program that the call belongs to; empty for a call without a program.
    BudgetId program;
    /// Identifies the sequence of turns within the program.
    std::string session;
    /// Token budget: upper bound on the tokens that all turns of the program generate together.
    std::optional<TokenCount> tokenLimit;
    /// Upper bound on the tokens that this turn generates.
    TokenCount maxOutputTokens;
    /// The caller's estimate of the tokens that this turn generates; often far off.
    std::optional<TokenCount> expectedOutputTokens;
    std::vector<PromptPart> prompt;
    std::string subject;
    /// Turn that this one continues; empty for the first turn of a chain.
    TurnId previousTurn;
    /// Id of the last event that the caller received on an earlier request; the stream resumes after it.
    std::string resumeAfter;
    /// The caller's request that brought the first event of that stream; empty for a call that begins one.
    TurnId resumedRequest;
    /// Empty if the call carries no key.
    std::optional<KeyDigest> key;
};

/// Whether an instance is asked which process it is, if that is not known.
enum class ProcessCheck {
    None,
    /// While the call runs.
    Meanwhile,
    /// Before the call is sent, which must go only to the process that is registered. If the instance doesn't tell,
    /// the call is not sent.
    First,
};

/// Parameters of one send to an endpoint instance.
struct EndpointSend {
    EndpointId endpoint;
    std::string address;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent. Without a value the engine uses its default.
    std::optional<std::uint32_t> priority;
    /// The body to send; it begins with the transcript of the chain if the turn continues one.
    std::optional<std::string> body;
    /// Replaces the caller's last event id when a stream is resumed at another instance.
    std::optional<std::string> resumeAfter;
    /// Maximum number of connections from this process to the instance.
    std::uint32_t maxConnections = 1;
    /// The call must not be written to its connection after this time: its permit has expired then.
    std::optional<TimePoint> writeBy;
    ProcessCheck processCheck = ProcessCheck::None;
    /// Start time of the process that is registered, in milliseconds since the Unix epoch.
    std::int64_t startedAt = 0;
    /// The configuration has organisations: keys and organisations that the caller states are not sent on.
    bool hasOrganisations = false;
    /// The organisation that holds the caller's key.
    std::optional<OrganisationId> organisation;
};

/// What a caller would take from an answer's status, because the gateway's own refusals say it by that status.
enum class StatusMeaning {
    /// Nothing that the gateway would have to vouch for.
    None,
    /// The call has not run and will not run.
    NotRun,
    /// For a turn: its program's budget is spent, so it has not run and will not run.
    BudgetSpent,
    /// For a turn that continues another one: that one is not known.
    UnknownTurn,
};

/// Status and headers of an instance's answer.
struct EndpointAnswer {
    int status = 0;
    StatusMeaning meaning = StatusMeaning::None;
    /// The instance states that it has not run the call and will not run it.
    bool isNotRun = false;
    /// The body is a stream of events.
    bool isEventStream = false;
    /// The answer carries the instance's signature. A success status without it is treated as a lost answer.
    bool isSigned = false;
    /// A length or chunks tell where the body ends. Otherwise it ends with its connection, also when it is not whole.
    bool statesItsEnd = false;
    std::optional<EndpointLoad> load;
    /// Text of a load report that can't be read, or whose pace can't, for the log; empty if there is none.
    std::string invalidLoad;
    /// Rate of calls that the instance takes from all gateways together. Empty when the answer states no limit.
    std::optional<CallRate> limit;
    /// Text of a stated limit that is not a rate, for the log; empty if there is none. Such a limit is ignored.
    std::string invalidLimit;
    /// The instance says that it leaves.
    bool isLeaving = false;
    /// What it says of leaving instead of that, for the log; empty if there is nothing. It is ignored.
    std::string invalidLeaving;
    /// The instance that answered, as far as the answer tells.
    std::optional<EndpointId> answeredBy;
};

enum class SendOutcome {
    /// The answer is complete.
    Complete,
    /// No byte of the call was sent.
    NotSent,
    /// The instance's machine refused the connection, so that nothing was sent: no process listens there.
    Unreachable,
    /// The answer is missing or incomplete; the call may have run.
    Broken,
};

enum class RejectionReason {
    NoRoute,
    NotReady,
    Overloaded,
    NoInstance,
    /// The limits that instances state leave no room for the call in time.
    RateLimited,
    BudgetSpent,
    UnknownTurn,
    JournalsUnavailable,
    /// The caller's deadline or the route's timeout has passed.
    TimedOut,
    /// The gateway ends, in a planned stop, before the call can be expected to be answered.
    Stopping,
    /// The call was sent and its answer was lost.
    AnswerLost,
    /// The instance has answered with a status that would tell the caller what nobody knows; see `StatusMeaning`.
    AnswerUnfounded,
    /// The call resumes a stream of which it is not known at which version of the endpoint's software it began.
    StreamUnknown,
    /// The call resumes a turn that is to be retained, of which the events before are not known.
    StreamOutputUnknown,
    /// No instance has the version at which the resumed stream began, or the route has left its service.
    StreamVersionGone,
    /// The request is quarantined: requests with the same content have crashed several instances.
    Quarantined,
    /// Instances failed together while they ran requests with the same content, and one such request is being tried.
    Suspected,
    /// The call carries no key, or one that no organisation holds.
    KeyUnknown,
    /// The configuration is too old to tell whether the caller's key is still valid.
    ConfigurationTooOld,
    /// The caller's organisation has used its allowance of calls.
    AllowanceUsed,
    /// The turn that the call continues was stored without an organisation, so that it is not known whose it is.
    TurnOwnerUnknown,
};

/// Error answer that the gateway itself gives to a caller.
struct CallRefusal {
    RejectionReason reason = RejectionReason::NotReady;
    bool mayHaveRun = false;
    /// Delay after which the caller may retry. 0 when a retry can't succeed or the outcome of the call is unknown.
    Milliseconds retryAfter { 0 };
};

std::string_view describe(RejectionReason reason);

}
