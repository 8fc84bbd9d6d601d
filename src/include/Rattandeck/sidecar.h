#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace Rattandeck {

struct SidecarSettings {
    NodeId node;
    Incarnation incarnation;
    FailureDomain domain;
    ServiceName service;
    std::string address;
    /// The endpoint is a model engine that generates tokens; false for a plain service.
    bool modelEngine = true;
    std::uint32_t initialConcurrency = 8;
    std::uint32_t maxConcurrency = 64;
    std::uint32_t queueLimit = 64;
    Milliseconds creditLifetime { 3000 };
    Milliseconds reportInterval { 1000 };
    /// A program's cached prefix is released when its home has not renewed the lease of the prefix for this long.
    Milliseconds prefixLease { 60000 };
    /// Records of calls with an idempotency key are kept for this time after their program has ended.
    Milliseconds keyRetention { 3600000 };
    std::uint32_t crashLimit = 2;
    TokenCount cacheCapacity { 100000 };
    /// A running idempotent call is cancelled when none of the entries that wait for its outcome has been linked for
    /// this long. This is longer than a takeover takes, so that the new home still finds the call running.
    Milliseconds orphanTimeout { 12000 };
};

/// A call as it is sent to the endpoint.
struct EndpointCall {
    /// Assigned by the sidecar and unique within its incarnation: orders of different entries may have the same id.
    OrderId order;
    ProgramId program;
    IdempotencyKey key;
    /// History and input for engines; only the input for plain services.
    std::string prompt;
    TokenCount promptTokens;
    TokenCount maxOutputTokens;
    double priority = 0;
    Milliseconds timeLeft { 0 };
    /// Fencing number, for endpoints that check it.
    Epoch epoch;
};

enum class EndpointFailure {
    /// Rejected before execution; the call may be sent to another endpoint.
    NotStarted,
    /// The endpoint answered with an error.
    Error,
    /// The connection broke, or the process ended, during the call.
    Crashed,
    TimedOut,
};

struct EndpointResult {
    std::string output;
    TokenCount outputTokens;
    TokenCount cachedTokens;
    TokenCount prefilledTokens;
};

struct AdmissionDecision {
    ProgramId program;
    TurnNumber turn;
    OrderId order;
    /// One of "start", "queue", "refuse: ..." and "replay".
    std::string choice;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    double priority = 0;
};

/// Outgoing operations of a `SidecarCore`. None of them blocks; results are delivered through the `on...` functions of
/// the core.
struct SidecarEffects {
    std::function<void(const NodeId& to, const Message&)> send;
    std::function<void(const EndpointCall&)> startCall;
    std::function<void(OrderId)> cancelCall;
    /// Frees the engine's cached prefix of a program.
    std::function<void(ProgramId)> releasePrefix;
    std::function<void(const AdmissionDecision&)> logAdmission;
    std::function<void(const std::string& event, const std::string& detail)> logEvent;
    /// Frees the engine's cached prefixes of all programs. Called once, directly after the start: an earlier
    /// incarnation of this sidecar may have left prefixes in the engine that this incarnation does not track.
    std::function<void()> releaseAllPrefixes = [] {};
};

struct SidecarStatus {
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0;
    std::uint64_t records = 0;
    std::uint64_t heldPrefixes = 0;
    TokenCount prefilledTokens;
    TokenCount cachedTokens;
    /// Tokens that were prefilled again although this endpoint had held them before.
    TokenCount wastedTokens;
    ObjectVersion configRevision;
};

/// Controls all access to one endpoint instance: rejects orders of former homes (fencing), admits and schedules calls,
/// and keeps their records.
///
/// Thread safety: not synchronised; call from the thread that advances `timers`.
class SidecarCore {
public:
    /// Precondition: `timers` outlives this object, and every function in `effects` is set.
    SidecarCore(SidecarSettings settings, TimerService& timers, SidecarEffects effects);
    ~SidecarCore();

    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// Precondition: the link with `from` is up.
    void onMessage(const NodeId& from, const Message& message);

    /// Events of the endpoint. Events for calls that are not running are ignored.
    void onEndpointTokens(OrderId order, const std::string& text, TokenCount tokens);
    void onEndpointFinished(OrderId order, const EndpointResult& result);
    void onEndpointFailed(OrderId order, EndpointFailure failure);
    /// The engine has evicted a prefix on its own. Such cache events may be late or missing.
    void onPrefixEvicted(ProgramId program);

    /// Begins a planned stop: no credits are issued and new calls are refused; running and queued calls finish.
    void beginShutdown();
    bool isDrained() const;

    SidecarStatus status() const;
    /// The configuration objects in force, including deletions.
    ConfigUpdate configuration() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
