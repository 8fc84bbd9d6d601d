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
    /// Engine that generates tokens, or a plain service.
    bool modelEngine = true;
    std::uint32_t initialConcurrency = 8;
    std::uint32_t maxConcurrency = 64;
    std::uint32_t queueLimit = 64;
    Milliseconds creditLifetime { 3000 };
    Milliseconds reportInterval { 1000 };
    /// A prefix held for a program goes free when its home hasn't renewed it for this long.
    Milliseconds prefixLease { 60000 };
    /// Key records outlive their program by this.
    Milliseconds keyRetention { 3600000 };
    std::uint32_t crashLimit = 2;
    TokenCount cacheCapacity { 100000 };
    /// An idempotent call is cancelled when nobody who awaits it has been linked for this long. Longer than a takeover
    /// takes, so that a new home finds the call running.
    Milliseconds homeAbsence { 12000 };
};

/// A call as the endpoint gets it.
struct EndpointCall {
    /// Given by the sidecar and unique within its life: orders of different entries may have the same id.
    OrderId order;
    ProgramId program;
    IdempotencyKey key;
    /// History and input for engines; the input alone for plain services.
    std::string prompt;
    TokenCount promptTokens;
    TokenCount maxOutputTokens;
    double priority = 0;
    Milliseconds timeLeft { 0 };
    /// Fencing number, for endpoints that check it.
    Epoch epoch;
};

enum class EndpointFailure {
    /// Refused before it began; it may be sent elsewhere.
    NotStarted,
    /// The endpoint answered with an error.
    Error,
    /// The connection broke or the process died under the call.
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
    /// "start", "queue", "refuse: ...", "replay".
    std::string choice;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    double priority = 0;
};

/// How a `SidecarCore` acts on the world. Every function returns at once; answers come back as events.
struct SidecarEffects {
    std::function<void(const NodeId& to, const Message&)> send;
    std::function<void(const EndpointCall&)> startCall;
    std::function<void(OrderId)> cancelCall;
    /// Frees the engine's memory for a program.
    std::function<void(ProgramId)> releasePrefix;
    std::function<void(const AdmissionDecision&)> logAdmission;
    std::function<void(const std::string& event, const std::string& detail)> logEvent;
    /// Frees all of the engine's memory for programs. Called once, soon after the start: an earlier life of this
    /// sidecar may have left prefixes there that nobody knows of.
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
    /// Prefilled again although this endpoint once held it.
    TokenCount wastedTokens;
    ObjectVersion configRevision;
};

/// The only way to one endpoint instance: it fences off former homes, admits and orders calls, and keeps their records.
///
/// Thread safety: not synchronised; call from the thread that advances `timers`.
class SidecarCore {
public:
    /// Precondition: `timers` outlives this object; every function in `effects` is set.
    SidecarCore(SidecarSettings settings, TimerService& timers, SidecarEffects effects);
    ~SidecarCore();

    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// Precondition: the link with `from` is up.
    void onMessage(const NodeId& from, const Message& message);

    /// Events of the endpoint; those for calls that aren't running are ignored.
    void onEndpointTokens(OrderId order, const std::string& text, TokenCount tokens);
    void onEndpointFinished(OrderId order, const EndpointResult& result);
    void onEndpointFailed(OrderId order, EndpointFailure failure);
    /// The engine dropped a prefix by itself (a cache event; may be late or missing).
    void onPrefixDropped(ProgramId program);

    /// Begins a planned stop: no credits, no new calls; running and queued ones finish.
    void beginShutdown();
    bool isDrained() const;

    SidecarStatus status() const;
    /// The configuration objects in force here, deletions included.
    ConfigUpdate configuration() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
