#pragma once

#include "Rattandeck/endpoints.h"

#include <list>
#include <unordered_map>

/// Internal state of the table of instances.
namespace Rattandeck {

/// Maximum number of recent prompt parts and subjects stored per instance.
constexpr std::size_t maxRecentParts = 512;

/// Hashes of prompt parts. Decisions look up each part of a prompt at each instance.
using PartHash = std::uint64_t;

/// LRU set of the prompt parts that were sent to an instance.
class RecentParts {
public:
    void touch(PartHash part)
    {
        const auto found = this->positions.find(part);
        if (found != this->positions.end())
            this->order.erase(found->second);
        this->order.push_front(part);
        this->positions[part] = this->order.begin();
        if (this->order.size() <= maxRecentParts)
            return;
        this->positions.erase(this->order.back());
        this->order.pop_back();
    }
    bool contains(PartHash part) const { return this->positions.contains(part); }

private:
    std::list<PartHash> order;
    std::unordered_map<PartHash, std::list<PartHash>::iterator> positions;
};

struct InstanceState {
    EndpointInstance instance;
    /// Calls sent by this process that have not ended.
    std::uint32_t ownCalls = 0;
    /// Calls of other processes, as of the last report.
    double otherCalls = 0;
    std::optional<TimePoint> reportedAt;
    InstanceSpeed speed;
    /// Moving share of calls that failed.
    double failureShare = 0;
    std::optional<TimePoint> outcomeAt;
    std::optional<TimePoint> failedAt;
    /// When it became doubtful which process runs under the id; empty once that is known again.
    std::optional<TimePoint> doubtedAt;
    /// When it was first known that the instance leaves.
    std::optional<TimePoint> leavingSince;
    /// No other instance of its service and version takes calls.
    bool hasLoneVersion = false;
    RecentParts parts;
};

/// An instance's process that has said that it leaves.
struct LeavingProcess {
    std::int64_t startedAt = 0;
    TimePoint since;
};

/// Load of a service's instances at one moment.
struct ServiceLoad {
    TimePoint now;
    /// Mean number of calls of other processes at the instances that have reported recently.
    double meanOtherCalls = 0;
    /// Number of such calls to expect at an instance that has not reported: it is not taken for idle, since others
    /// call it, too. Less than the mean while few have reported, which may be the busy ones.
    double unreportedCalls = 0;
    double failureShare = 0;
    /// See `EndpointTable::isLearned`.
    bool isLearned = true;
};

/// What is known of a service from all its instances.
struct ServiceWork {
    WorkSpread spread;
    double failureShare = 0;
    /// One of its instances has stated how long work takes.
    bool statesPace = false;
};

/// An instance that may get a call.
struct Candidate {
    const InstanceState* state = nullptr;
    LimitRoom room;
    double load = 0;
    double workTime = 1;
    double cost = 0;
    bool hasRoom = true;
    bool isConnected = false;
};

/// What the costs of a call at all instances have in common.
struct PlacementInputs {
    const PlacementQuery& query;
    ServiceLoad service;
    std::int64_t promptTokens = 0;
    PartHash subject = 0;
};

struct EndpointTable::Impl {
    EndpointCosts costs;
    ConnectionKnowledge connections;
    /// When the store last listed what is known of the instances; empty before that.
    std::optional<TimePoint> viewedAt;
    std::map<EndpointId, InstanceState> instances;
    std::map<EndpointId, LeavingProcess> leaving;
    std::unordered_map<ServiceName, std::vector<InstanceState*>> byService;
    /// Services whose instances have changed since their versions were counted.
    std::set<ServiceName> uncounted;
    std::unordered_map<ServiceName, ServiceWork> work;
    /// Of the decision under way; kept so that a decision allocates nothing.
    std::vector<Candidate> candidates;
    std::vector<PartHash> partHashes;
    std::uint64_t draws = 0;

    void countVersions(const ServiceName& service);
    bool isLeaving(const EndpointInstance& instance) const;
    void setInstance(InstanceState& state, const EndpointInstance& instance, TimePoint now);
    /// The start time of the process that serves at the instance's address, if it has told.
    std::optional<std::int64_t> toldProcess(const InstanceState& state) const;
    bool isProcessKnown(const InstanceState& state, TimePoint now) const;
    bool mayGet(const InstanceState& state, const PlacementQuery& query, TimePoint now) const;

    void index()
    {
        this->byService.clear();
        for (auto& [id, state] : this->instances)
            this->byService[state.instance.service].push_back(&state);
    }

    InstanceState* find(const EndpointId& id)
    {
        const auto found = this->instances.find(id);
        return found == this->instances.end() ? nullptr : &found->second;
    }

    bool isLearned(const ServiceName& service) const;
    ServiceLoad loadOf(const ServiceName& name, const std::vector<InstanceState*>& instances, TimePoint now) const;
    double expectedLoad(const InstanceState& state, const ServiceLoad& service) const;
    /// Precondition: `partHashes` are those of the query's prompt.
    std::int64_t cachedTokens(const InstanceState& state, const PlacementQuery& query) const;
    /// Expected time of the call's work at the instance, in milliseconds.
    double workCost(const Candidate& candidate, const PlacementInputs& inputs, bool isPreferred) const;
    double cost(const Candidate& candidate, const PlacementInputs& inputs, bool isPreferred) const;
    double failurePenalty(const InstanceState& state, const ServiceLoad& service) const;
    void hashParts(const PlacementQuery& query);
    std::uint64_t draw();
};

}
