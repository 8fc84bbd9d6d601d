#include "Rattandeck/endpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <list>
#include <unordered_map>

namespace Rattandeck {

/// Prompt parts and subjects remembered for each instance.
constexpr std::size_t maxRememberedParts = 512;

// What is known of one instance --------------------------------------------------------------------------------------

namespace {

    /// The prompt parts that an instance has read last, oldest forgotten first.
    class RecentParts {
    public:
        void touch(const PromptPartId& part)
        {
            const auto found = this->places.find(part);
            if (found != this->places.end())
                this->order.erase(found->second);
            this->order.push_front(part);
            this->places[part] = this->order.begin();
            if (this->order.size() <= maxRememberedParts)
                return;
            this->places.erase(this->order.back());
            this->order.pop_back();
        }
        bool contains(const PromptPartId& part) const { return this->places.contains(part); }

    private:
        std::list<PromptPartId> order;
        std::unordered_map<PromptPartId, std::list<PromptPartId>::iterator> places;
    };

    struct Known {
        EndpointInstance instance;
        /// Calls sent from here that have not ended.
        std::uint32_t own = 0;
        /// Calls of other senders at the last report.
        double others = 0;
        std::optional<TimePoint> reportedAt;
        std::optional<TimePoint> failedAt;
        RecentParts parts;
    };

    double age(TimePoint since, TimePoint now) { return std::chrono::duration<double>(now - since).count(); }

}

struct EndpointTable::Impl {
    EndpointCosts costs;
    std::map<EndpointId, Known> instances;
    std::unordered_map<ServiceName, std::vector<Known*>> byService;

    void index()
    {
        this->byService.clear();
        for (auto& [id, known] : this->instances)
            this->byService[known.instance.service].push_back(&known);
    }

    Known* find(const EndpointId& id)
    {
        const auto found = this->instances.find(id);
        return found == this->instances.end() ? nullptr : &found->second;
    }

    double expectedLoad(const Known& known, TimePoint now) const;
    std::int64_t cachedTokens(const Known& known, const PlacementQuery& query) const;
    double cost(const Known& known, const PlacementQuery& query, TimePoint now) const;
};

// Estimates ------------------------------------------------------------------------------------------------------

double EndpointTable::Impl::expectedLoad(const Known& known, TimePoint now) const
{
    if (!known.reportedAt)
        return known.own;
    const double life = std::chrono::duration<double>(this->costs.reportLife).count();
    const double trust = std::max(0.0, 1 - age(*known.reportedAt, now) / life);
    return known.own + known.others * trust;
}

std::int64_t EndpointTable::Impl::cachedTokens(const Known& known, const PlacementQuery& query) const
{
    std::int64_t cached = 0;
    // A part counts only if all parts before it are in memory too.
    for (const PromptPart& part : query.prompt) {
        if (!known.parts.contains(part.id))
            break;
        cached += part.tokens.value;
    }
    return cached;
}

double EndpointTable::Impl::cost(const Known& known, const PlacementQuery& query, TimePoint now) const
{
    const double load = this->expectedLoad(known, now);
    const double slots = std::max<std::uint32_t>(known.instance.slots, 1);
    double cost = std::min(load, slots) * this->costs.batchedCallMs;
    cost += std::max(0.0, load - slots + 1) * this->costs.queuedCallMs;
    std::int64_t promptTokens = 0;
    for (const PromptPart& part : query.prompt)
        promptTokens += part.tokens.value;
    cost += static_cast<double>(promptTokens - this->cachedTokens(known, query)) / this->costs.prefillTokensPerMs;
    if (known.instance.domain != query.domain)
        cost += this->costs.otherDomainMs;
    if (!query.subject.empty() && known.parts.contains(PromptPartId(query.subject)))
        cost -= this->costs.subjectMs;
    if (known.failedAt && now - *known.failedAt < this->costs.failureMemory)
        cost += this->costs.recentFailureMs;
    return cost;
}

// Table ------------------------------------------------------------------------------------------------------------

EndpointTable::EndpointTable(EndpointCosts costs)
    : impl(std::make_unique<Impl>())
{
    this->impl->costs = costs;
}

EndpointTable::~EndpointTable() = default;

void EndpointTable::put(const EndpointInstance& instance)
{
    Known& known = this->impl->instances[instance.id];
    const bool isRestart = known.instance.startedAt != instance.startedAt && known.instance.startedAt != 0;
    const bool isMoved = known.instance.service != instance.service;
    if (isRestart) {
        known.parts = {};
        known.others = 0;
        known.reportedAt.reset();
    }
    known.instance = instance;
    if (isMoved)
        this->impl->index();
}

void EndpointTable::remove(const EndpointId& id)
{
    if (this->impl->instances.erase(id) > 0)
        this->impl->index();
}

std::vector<EndpointId> EndpointTable::ids() const
{
    std::vector<EndpointId> ids;
    for (const auto& [id, known] : this->impl->instances)
        ids.push_back(id);
    return ids;
}

const EndpointInstance* EndpointTable::find(const EndpointId& id) const
{
    const Known* known = this->impl->find(id);
    return known ? &known->instance : nullptr;
}

std::optional<PlacementChoice> EndpointTable::choose(const PlacementQuery& query, TimePoint now) const
{
    const auto candidates = this->impl->byService.find(query.service);
    if (candidates == this->impl->byService.end())
        return std::nullopt;
    const Known* best = nullptr;
    double bestCost = 0;
    for (const Known* known : candidates->second) {
        if (known->instance.isDraining || query.excluded.contains(known->instance.id))
            continue;
        const double cost = this->impl->cost(*known, query, now);
        if (best && cost >= bestCost)
            continue;
        best = known;
        bestCost = cost;
    }
    if (!best)
        return std::nullopt;
    PlacementChoice choice;
    choice.endpoint = best->instance.id;
    choice.address = best->instance.address;
    choice.expectedLoad = this->impl->expectedLoad(*best, now);
    if (best->reportedAt)
        choice.reportAge = std::chrono::duration_cast<Milliseconds>(now - *best->reportedAt);
    choice.slots = best->instance.slots;
    choice.cachedTokens = this->impl->cachedTokens(*best, query);
    return choice;
}

// Load ---------------------------------------------------------------------------------------------------------------

void EndpointTable::onSent(const EndpointId& id, const PlacementQuery& query)
{
    Known* known = this->impl->find(id);
    if (!known)
        return;
    ++known->own;
    for (const PromptPart& part : query.prompt)
        known->parts.touch(part.id);
    if (!query.subject.empty())
        known->parts.touch(PromptPartId(query.subject));
}

void EndpointTable::onEnded(const EndpointId& id)
{
    Known* known = this->impl->find(id);
    if (known && known->own > 0)
        --known->own;
}

void EndpointTable::onLoad(const EndpointId& id, const EndpointLoad& load, TimePoint now)
{
    Known* known = this->impl->find(id);
    if (!known)
        return;
    known->others = std::max(0.0, static_cast<double>(load.running) + load.waiting - known->own);
    known->reportedAt = now;
}

void EndpointTable::onFailure(const EndpointId& id, TimePoint now)
{
    if (Known* known = this->impl->find(id))
        known->failedAt = now;
}

void EndpointTable::onFull(const EndpointId& id, TimePoint now)
{
    Known* known = this->impl->find(id);
    if (!known)
        return;
    // A full instance has at least its slots taken, whoever took them.
    known->others = std::max(known->others, 2.0 * known->instance.slots - known->own);
    known->reportedAt = now;
}

}
