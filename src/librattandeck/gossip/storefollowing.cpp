#include "Rattandeck/storefollowing.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace Rattandeck {

// Policy ---------------------------------------------------------------------------------------------------------

static bool isRecent(const ReportedView& view, TimePoint now, const StoreFollowingLimits& limits)
{
    return now - view.takenAt <= limits.maxViewAge;
}

/// The order in which journals follow the store. It depends on the ids alone, so that journals that know different
/// members agree on it, and it is hashed, since ids with the same beginning often lie in the same failure domain.
static bool precedes(const NodeId& one, const NodeId& other)
{
    return std::pair(hash64(one.value), one.value) < std::pair(hash64(other.value), other.value);
}

bool shouldJournalFollow(
    const NodeId& self, const std::vector<ReportedView>& views, TimePoint now, const StoreFollowingLimits& limits)
{
    const auto before = std::ranges::count_if(
        views, [&](const ReportedView& view) { return precedes(view.node, self) && isRecent(view, now, limits); });
    return static_cast<std::size_t>(before) < limits.followers;
}

bool shouldGatewayFollow(const std::vector<ReportedView>& views, TimePoint now, const StoreFollowingLimits& limits)
{
    return std::ranges::none_of(views, [&](const ReportedView& view) { return isRecent(view, now, limits); });
}

// State machine --------------------------------------------------------------------------------------------------

struct StoreFollowing::Impl : std::enable_shared_from_this<StoreFollowing::Impl> {
    Impl(TimerService& timers, NodeId self, Role role, Io io, std::uint64_t seed, StoreFollowingLimits limits)
        : timers(timers)
        , self(std::move(self))
        , role(role)
        , io(std::move(io))
        , limits(limits)
        , random(seed)
    {
    }

    TimerService& timers;
    NodeId self;
    Role role;
    Io io;
    StoreFollowingLimits limits;
    std::mt19937_64 random;
    std::set<NodeId> peers;
    std::map<NodeId, TimePoint> views;
    bool isFollowing = false;
    /// When the process is to start or stop following; empty while it does what the policy asks for.
    std::optional<TimePoint> changeAt;

    std::vector<ReportedView> reportedViews() const;
    bool shouldFollow() const;
    Duration drawDelay();
    void scheduleTick();
    void onTick(TimePoint expected);
    void decide();
    void report();
    /// Age of the view that others may rely on; empty if there is none.
    std::optional<Milliseconds> reportableAge() const;
};

std::vector<ReportedView> StoreFollowing::Impl::reportedViews() const
{
    std::vector<ReportedView> reported;
    for (const auto& [node, takenAt] : this->views)
        reported.push_back({ node, takenAt });
    return reported;
}

bool StoreFollowing::Impl::shouldFollow() const
{
    const std::vector<ReportedView> reported = this->reportedViews();
    const TimePoint now = this->timers.now();
    if (this->role == Role::Journal)
        return shouldJournalFollow(this->self, reported, now, this->limits);
    return shouldGatewayFollow(reported, now, this->limits);
}

/// Draws the delay of a change.
Duration StoreFollowing::Impl::drawDelay()
{
    if (this->isFollowing)
        return this->limits.settleTime;
    if (this->role == Role::Journal)
        return Duration(0);
    const Duration spread = this->limits.delayPerGateway * this->io.gatewayCount();
    std::uniform_int_distribution<Duration::rep> drawn(0, spread.count());
    return this->limits.gatewayPatience + Duration(drawn(this->random));
}

void StoreFollowing::Impl::scheduleTick()
{
    const TimePoint when = this->timers.now() + this->limits.reportInterval;
    this->timers.subscribeAt(when, [weak = this->weak_from_this(), when] {
        if (const auto self = weak.lock())
            self->onTick(when);
    });
}

void StoreFollowing::Impl::onTick(TimePoint expected)
{
    // After a pause of this process the reports that arrived meanwhile have not been read yet.
    const bool isLate = this->timers.now() - expected > this->limits.reportInterval;
    if (isLate)
        this->changeAt.reset();
    else
        this->decide();
    this->report();
    this->scheduleTick();
}

void StoreFollowing::Impl::decide()
{
    if (this->shouldFollow() == this->isFollowing) {
        this->changeAt.reset();
        return;
    }
    const TimePoint now = this->timers.now();
    if (!this->changeAt)
        this->changeAt = now + this->drawDelay();
    if (now < *this->changeAt)
        return;
    this->changeAt.reset();
    this->isFollowing = !this->isFollowing;
    this->io.setFollowing(this->isFollowing);
}

std::optional<Milliseconds> StoreFollowing::Impl::reportableAge() const
{
    // Gateways follow only until journals do so again, so nobody is to rely on them.
    if (!this->isFollowing || this->role != Role::Journal)
        return std::nullopt;
    const std::optional<Milliseconds> age = this->io.ownViewAge();
    return age && *age <= this->limits.maxViewAge ? age : std::nullopt;
}

void StoreFollowing::Impl::report()
{
    const std::optional<Milliseconds> age = this->reportableAge();
    if (!age)
        return;
    for (const NodeId& node : this->peers)
        this->io.send(node, StoreView { *age });
}

// Public -------------------------------------------------------------------------------------------------------------

StoreFollowing::StoreFollowing(
    TimerService& timers, NodeId self, Role role, Io io, std::uint64_t seed, StoreFollowingLimits limits)
    : impl(std::make_shared<Impl>(timers, std::move(self), role, std::move(io), seed, limits))
{
}

StoreFollowing::~StoreFollowing() = default;

void StoreFollowing::start()
{
    this->impl->decide();
    this->impl->scheduleTick();
}

void StoreFollowing::onLinkUp(const NodeId& node) { this->impl->peers.insert(node); }

void StoreFollowing::onLinkDown(const NodeId& node)
{
    this->impl->peers.erase(node);
    this->impl->views.erase(node);
}

void StoreFollowing::onMessage(const NodeId& from, const Message& message)
{
    const auto* view = std::get_if<StoreView>(&message);
    if (view && this->impl->peers.contains(from))
        this->impl->views[from] = this->impl->timers.now() - std::max(view->age, Milliseconds(0));
}

void StoreFollowing::reportTo(const NodeId& node)
{
    if (const auto age = this->impl->reportableAge())
        this->impl->io.send(node, StoreView { *age });
}

bool StoreFollowing::isFollowing() const { return this->impl->isFollowing; }

std::optional<Milliseconds> StoreFollowing::viewAge() const
{
    std::optional<Milliseconds> least;
    if (this->impl->isFollowing)
        least = this->impl->io.ownViewAge();
    for (const auto& [node, takenAt] : this->impl->views) {
        const auto age = std::chrono::duration_cast<Milliseconds>(this->impl->timers.now() - takenAt);
        if (!least || age < *least)
            least = age;
    }
    return least;
}

}
