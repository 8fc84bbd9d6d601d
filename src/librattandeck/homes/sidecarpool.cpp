#include "sidecarpool.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Factor by which each success reduces the suspicion.
    constexpr double suspicionDecay = 0.5;

}

// Membership -------------------------------------------------------------------------------------------------------

SidecarPool::Sidecar* SidecarPool::find(const NodeId& node)
{
    const auto found = this->sidecars.find(node);
    return found == this->sidecars.end() ? nullptr : &found->second;
}

void SidecarPool::onLinkUp(const Hello& hello)
{
    Sidecar& sidecar = this->sidecars[hello.node];
    sidecar.linked = false;
    this->updateMembership(sidecar);
    if (sidecar.incarnation != hello.incarnation) {
        const Incarnation registered = sidecar.registered;
        sidecar = Sidecar {};
        sidecar.registered = registered;
    }
    sidecar.incarnation = hello.incarnation;
    sidecar.service = hello.service;
    sidecar.linked = true;
    sidecar.listedLeaving = this->leavingNodes.contains(hello.node);
    sidecar.view.node = hello.node;
    sidecar.view.domain = hello.domain;
    this->services.try_emplace(hello.service);
    this->updateMembership(sidecar);
}

void SidecarPool::onLinkDown(const NodeId& node)
{
    Sidecar* sidecar = this->find(node);
    if (!sidecar)
        return;
    sidecar->linked = false;
    this->updateMembership(*sidecar);
}

void SidecarPool::onRegistered(const NodeId& node, Incarnation incarnation)
{
    Sidecar& sidecar = this->sidecars[node];
    sidecar.registered = incarnation;
    this->updateMembership(sidecar);
}

void SidecarPool::setLeavingNodes(std::set<NodeId> nodes)
{
    this->leavingNodes = std::move(nodes);
    for (auto& [node, sidecar] : this->sidecars) {
        sidecar.listedLeaving = this->leavingNodes.contains(node);
        this->updateMembership(sidecar);
    }
}

void SidecarPool::updateMembership(Sidecar& sidecar)
{
    const bool usable = sidecar.linked && sidecar.registered == sidecar.incarnation && !sidecar.listedLeaving
        && !this->currentView(sidecar).report.leaving;
    if (usable == sidecar.position.has_value())
        return;
    ++this->changes;
    std::vector<SidecarView>& views = this->services[sidecar.service].views;
    if (usable) {
        sidecar.position = views.size();
        views.push_back(std::move(sidecar.view));
        return;
    }
    const std::size_t position = *sidecar.position;
    sidecar.view = std::move(views[position]);
    if (position + 1 != views.size()) {
        views[position] = std::move(views.back());
        this->sidecars.at(views[position].node).position = position;
    }
    views.pop_back();
    sidecar.position.reset();
}

SidecarView& SidecarPool::currentView(Sidecar& sidecar)
{
    if (!sidecar.position)
        return sidecar.view;
    return this->services.at(sidecar.service).views[*sidecar.position];
}

bool SidecarPool::isKnownService(const ServiceName& service) const { return this->services.contains(service); }

std::size_t SidecarPool::sidecarCount(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.views.size();
}

bool SidecarPool::isUsable(const NodeId& node) const
{
    const auto found = this->sidecars.find(node);
    return found != this->sidecars.end() && found->second.position.has_value();
}

// Reports ----------------------------------------------------------------------------------------------------------

void SidecarPool::onReport(const NodeId& node, const LoadReport& report, TimePoint now)
{
    Sidecar* sidecar = this->find(node);
    if (!sidecar)
        return;
    SidecarView& view = this->currentView(*sidecar);
    // Messages of one link arrive in order, but a report sent over an older link may be delivered after one sent over a
    // newer link.
    if (report.sequence < view.report.sequence)
        return;
    view.report = report;
    view.report.heldPrefixes.clear();
    view.report.droppedPrefixes.clear();
    view.endedSinceReport = 0;

    const CreditGrant& grant = report.credits;
    if (grant.count > 0 && grant.id > sidecar->lastGrant) {
        sidecar->grants.push_back({ grant.id, grant.count, now + grant.lifetime });
        sidecar->lastGrant = grant.id;
    }
    while (!sidecar->unreportedOrders.empty() && sidecar->unreportedOrders.front().order <= report.accountedOrder)
        sidecar->unreportedOrders.pop_front();
    this->refreshCredits(*sidecar, now);
    this->refreshUnreportedOrders(*sidecar);
    this->updateMembership(*sidecar);
}

void SidecarPool::refreshCredits(Sidecar& sidecar, TimePoint now)
{
    std::erase_if(sidecar.grants, [&](const Grant& grant) { return grant.left == 0 || grant.until <= now; });
    std::uint32_t left = 0;
    for (const Grant& grant : sidecar.grants)
        left += grant.left;
    this->currentView(sidecar).creditsLeft = left;
}

void SidecarPool::refreshUnreportedOrders(Sidecar& sidecar)
{
    SidecarView& view = this->currentView(sidecar);
    view.placedSinceReport = static_cast<std::uint32_t>(sidecar.unreportedOrders.size());
    view.tokensPlacedSinceReport = TokenCount(0);
    for (const UnreportedOrder& order : sidecar.unreportedOrders)
        view.tokensPlacedSinceReport.value += order.tokens.value;
}

// Placement --------------------------------------------------------------------------------------------------------

TakenCredit SidecarPool::takeCredit(Sidecar& sidecar)
{
    Grant& oldest = sidecar.grants.front();
    --oldest.left;
    SidecarView& view = this->currentView(sidecar);
    --view.creditsLeft;
    TakenCredit taken { view.node, oldest.id };
    if (oldest.left == 0)
        sidecar.grants.erase(sidecar.grants.begin());
    return taken;
}

std::span<const SidecarView> SidecarPool::views(const ServiceName& service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return {};
    return found->second.views;
}

bool SidecarPool::mayServe(const PlacementQuery& query, const SidecarView& view) const
{
    if (view.creditsLeft == 0 || (query.admitted && !query.admitted->contains(view.node)))
        return false;
    return std::find(query.excluded.begin(), query.excluded.end(), view.node) == query.excluded.end();
}

std::optional<TakenCredit> SidecarPool::place(const PlacementQuery& query, TimePoint now, PlacementDecision& decision)
{
    const auto service = this->services.find(query.service);
    if (service == this->services.end())
        return std::nullopt;
    const std::span<const SidecarView> views = service->second.views;
    std::vector<PrefixHolder> holders;
    for (const PrefixLocation& prefix : query.held) {
        const Sidecar* holder = this->find(prefix.sidecar);
        if (holder && holder->position && holder->service == query.service)
            holders.push_back({ static_cast<std::uint32_t>(*holder->position), prefix.tokens });
    }
    const PlacementFilter eligible = [&](std::size_t index) {
        const SidecarView& view = views[index];
        if (!this->mayServe(query, view))
            return false;
        // This also excludes a sidecar that has stopped reporting, because its credits have expired.
        this->refreshCredits(*this->find(view.node), now);
        return view.creditsLeft > 0;
    };
    decision = choosePlacement(views, query.call, query.settings, query.seed, holders, eligible);
    Sidecar* sidecar = this->find(decision.choice);
    if (!sidecar)
        return std::nullopt;
    return this->takeCredit(*sidecar);
}

ServicePressure SidecarPool::pressure(const ServiceName& service) const
{
    double load = 0;
    double limit = 0;
    double used = 0;
    double capacity = 0;
    for (const SidecarView& view : this->views(service)) {
        const double counted = view.report.running + view.report.waiting + view.placedSinceReport;
        load += std::max(0.0, counted - view.endedSinceReport);
        limit += std::max<double>(1, view.report.limit);
        used += static_cast<double>(view.report.cacheUsed.value);
        capacity += static_cast<double>(view.report.cacheCapacity.value);
    }
    return { load / std::max(1.0, limit), used / std::max(1.0, capacity) };
}

void SidecarPool::onOrderPlaced(const NodeId& node, OrderId order, TokenCount tokens)
{
    Sidecar* sidecar = this->find(node);
    if (!sidecar)
        return;
    sidecar->unreportedOrders.push_back({ order, tokens });
    SidecarView& view = this->currentView(*sidecar);
    ++view.placedSinceReport;
    view.tokensPlacedSinceReport.value += tokens.value;
}

void SidecarPool::onOrderDone(const NodeId& node, OrderId order)
{
    Sidecar* sidecar = this->find(node);
    if (!sidecar)
        return;
    const auto erased = std::erase_if(
        sidecar->unreportedOrders, [&](const UnreportedOrder& placed) { return placed.order == order; });
    if (erased == 0)
        ++this->currentView(*sidecar).endedSinceReport;
    this->refreshUnreportedOrders(*sidecar);
}

void SidecarPool::dropCredits(const NodeId& node)
{
    Sidecar* sidecar = this->find(node);
    if (!sidecar)
        return;
    sidecar->grants.clear();
    this->currentView(*sidecar).creditsLeft = 0;
}

void SidecarPool::recordFailure(const NodeId& node)
{
    Sidecar* sidecar = this->find(node);
    if (sidecar)
        this->currentView(*sidecar).suspicion += 1;
}

void SidecarPool::recordSuccess(const NodeId& node)
{
    Sidecar* sidecar = this->find(node);
    if (sidecar)
        this->currentView(*sidecar).suspicion *= suspicionDecay;
}

}
