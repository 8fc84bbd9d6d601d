#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>

/// How long ago the configuration of a gateway is known to have been the current one, which bounds the time for which
/// the gateway goes on admitting a caller's key that has been removed.
///
/// A list or watch that the platform's store has answered proves that the configuration in the answer was current when
/// the request was sent; the time of the answer's arrival proves nothing, since links and processes can hold it for
/// seconds. Journals that follow the store pass on the age of that moment, and a gateway counts it from the moment at
/// which it asked. So whatever is delayed on the way makes a configuration seem older than it is, never newer.
namespace Rattandeck {

// Policy ---------------------------------------------------------------------------------------------------------

/// Part of the bound on the age that is applied: clocks of different machines differ in speed.
constexpr double appliedConfigAgeRatio = 0.9;

/// Time until which calls with keys may be admitted; empty if none may. Precondition: `maxAge` is above 0.
std::optional<TimePoint> keysValidUntil(std::optional<TimePoint> confirmedAt, Milliseconds maxAge);

/// Whether a configuration that was confirmed then is too old for keys. `maxAge` 0 means that there is no bound.
bool isConfigTooOld(std::optional<TimePoint> confirmedAt, Milliseconds maxAge, TimePoint now);

/// A later revision replaces an earlier one, so a confirmation of `revision` at `at` also holds for whoever has a later
/// one.
struct ConfigConfirmed {
    std::uint64_t revision = 0;
    TimePoint at;
};

// State machine --------------------------------------------------------------------------------------------------

struct ConfigConfirmationLimits {
    Milliseconds askInterval { 500 };
    /// As `askInterval`, while the last confirmation is older than `ownReadRatio` allows: after an outage of the store,
    /// calls are refused until a question is answered.
    Milliseconds lateAskInterval { 100 };
    /// Time after which another journal is asked.
    Milliseconds answerTimeout { 300 };
    /// Age, as a part of the bound that is applied, from which on the process reads the store itself: no journal that
    /// follows it answers, or all of them run a version that doesn't know the question.
    double ownReadRatio = 0.5;
    /// As for the search of journals: all gateways together share the rate of the store.
    Milliseconds minReadInterval { 500 };
    Milliseconds readIntervalPerGateway { 25 };
    /// Age of a journal's view from which on it isn't asked first. See `StoreFollowingLimits::maxViewAge`.
    Milliseconds maxViewAge { 1500 };
};

/// Keeps the configuration of a gateway confirmed. Does nothing while there is no bound, or while the configuration has
/// no keys.
///
/// Load that it answers: a gateway asks twice a second, so 60 gateways ask each of three journals 40 times a second.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class ConfigConfirmation {
public:
    struct Io {
        std::function<bool(const NodeId& node, const Message& message)> send;
        /// Reads the configuration from the store. Answered by `onStoreRead`, or not at all.
        std::function<void()> readStore;
        /// What the store has confirmed to this process if it follows the store itself.
        std::function<std::optional<ConfigConfirmed>()> ownView;
        /// Number of gateways as far as known, at least 1.
        std::function<std::uint32_t()> gatewayCount;
        /// Called when `confirmedAt` has changed.
        std::function<void(TimePoint confirmedAt)> onConfirmed;
    };

    /// `seed` is for the choice of journals and for drawn intervals; processes must have different ones.
    ConfigConfirmation(TimerService& timers, Io io, std::uint64_t seed, ConfigConfirmationLimits limits = {});
    ~ConfigConfirmation();
    ConfigConfirmation(const ConfigConfirmation&) = delete;
    ConfigConfirmation& operator=(const ConfigConfirmation&) = delete;

    /// Bound on the age as it is stated; 0 if there is none.
    void setMaxAge(Milliseconds maxAge);
    /// This process has taken the configuration of `revision`, or has found that the one in force stays in force.
    void onConfig(std::uint64_t revision, bool hasKeys);

    void onLinkUp(const NodeId& journal);
    void onLinkDown(const NodeId& journal);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);
    /// The store has answered, to a request sent at `sentAt`, that the configuration of `revision` is current.
    void onStoreRead(std::uint64_t revision, TimePoint sentAt);

    /// A moment at which the configuration of this process, or a later one, was current; empty if none is known.
    std::optional<TimePoint> confirmedAt() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
