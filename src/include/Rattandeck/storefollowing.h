#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Rattandeck {

// Policy ---------------------------------------------------------------------------------------------------------

struct StoreFollowingLimits {
    /// Number of journals that follow the store while all of them reach it: the store has one reader in each of three
    /// places, so two may fail at the same moment.
    std::size_t followers = 3;
    /// Interval at which a follower tells its peers the age of its view.
    Milliseconds reportInterval { 200 };
    /// Age from which on a view counts as lost. Longer than a follower's watch takes, with its answer and the report.
    Milliseconds maxViewAge { 1500 };
    /// Time without a recent view after which a gateway follows the store itself. Journals do so first.
    Milliseconds gatewayPatience { 500 };
    /// Additional time drawn by each gateway, for each gateway there is, since they share the rate of the store.
    Milliseconds delayPerGateway { 5 };
    /// Time for which others must have had recent views before a process stops following the store.
    Milliseconds settleTime { 1000 };
};

/// A view of the store that a peer has reported.
struct ReportedView {
    NodeId node;
    /// Time at which the view was taken, by the clock of the process that received the report.
    TimePoint takenAt;
};

/// Whether a journal is to follow the store: unless enough journals that come before it in a fixed order have recent
/// views. So when one of them stops reporting, the next in order takes its place.
///
/// Load that it answers: each follower makes about one call a second for each kind of object and one for each change,
/// whatever the number of processes that rely on it.
bool shouldJournalFollow(
    const NodeId& self, const std::vector<ReportedView>& views, TimePoint now, const StoreFollowingLimits& limits);

/// Whether a gateway is to follow the store: only if no peer has a recent view.
bool shouldGatewayFollow(const std::vector<ReportedView>& views, TimePoint now, const StoreFollowingLimits& limits);

// State machine --------------------------------------------------------------------------------------------------

/// Decides whether this process follows the platform's store or relies on journals that follow it, whose news arrive by
/// gossip. A journal that follows reports the age of its view to all peers.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class StoreFollowing {
public:
    struct Io {
        std::function<bool(const NodeId& node, const Message& message)> send;
        /// Starts or stops following the store.
        std::function<void(bool isFollowing)> setFollowing;
        /// Age of what this process has read itself; empty before it has read everything once. Called only while
        /// following.
        std::function<std::optional<Milliseconds>()> ownViewAge;
        /// Number of gateways as far as known, at least 1.
        std::function<std::uint32_t()> gatewayCount;
    };

    /// `seed` is for the drawn delays; processes must have different ones.
    StoreFollowing(
        TimerService& timers, NodeId self, Role role, Io io, std::uint64_t seed, StoreFollowingLimits limits = {});
    ~StoreFollowing();
    StoreFollowing(const StoreFollowing&) = delete;
    StoreFollowing& operator=(const StoreFollowing&) = delete;

    /// Precondition: called once.
    void start();
    void onLinkUp(const NodeId& node);
    void onLinkDown(const NodeId& node);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    /// Tells one peer how old this process's view is, if others may rely on it. To be called after what the peer lacked
    /// has been sent to it.
    void reportTo(const NodeId& node);

    bool isFollowing() const;
    /// Age of the most recent view of the store that this process has, its own or a peer's; empty if there is none.
    std::optional<Milliseconds> viewAge() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
