#include "sidecarimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // An entry that has just sent orders gets a larger share of the credits than idle ones.
    constexpr double activityWeight = 4;
    // Below this an entry counts as idle.
    constexpr double leastActivity = 0.05;
    // After its last call a leaving sidecar stays for so many report intervals, so that homes can copy its records.
    constexpr int recopyIntervals = 2;

    // Credits of a former process must not be taken for those of this one.
    CreditId firstCredit(const SidecarSettings& settings)
    {
        constexpr unsigned lifeBits = 32;
        const std::string lifetime = settings.node.value + "/" + std::to_string(settings.incarnation.value);
        return CreditId(hash64(lifetime) << lifeBits >> 1U);
    }

}

// Public face ------------------------------------------------------------------------------------------------------

SidecarCore::SidecarCore(SidecarSettings settings, TimerService& timers, SidecarEffects effects)
    : impl(std::make_unique<Impl>(std::move(settings), timers, std::move(effects)))
{
}

SidecarCore::~SidecarCore() = default;

void SidecarCore::onLinkUp(const Hello& hello) { this->impl->linkUp(hello); }

void SidecarCore::onLinkDown(const NodeId& node) { this->impl->linkDown(node); }

void SidecarCore::onMessage(const NodeId& from, const Message& message) { this->impl->dispatch(from, message); }

void SidecarCore::onEndpointTokens(OrderId order, const std::string& text, TokenCount tokens)
{
    this->impl->onTokens(order, text, tokens);
}

void SidecarCore::onEndpointFinished(OrderId order, const EndpointResult& result)
{
    this->impl->onFinished(order, result);
}

void SidecarCore::onEndpointFailed(OrderId order, EndpointFailure failure) { this->impl->onFailed(order, failure); }

void SidecarCore::onPrefixDropped(ProgramId program) { dropPrefix(this->impl->prefixes, program); }

void SidecarCore::beginShutdown() { this->impl->beginShutdown(); }

bool SidecarCore::isDrained() const { return this->impl->isDrained(); }

ConfigUpdate SidecarCore::configuration() const { return this->impl->config.all(); }

SidecarStatus SidecarCore::status() const
{
    SidecarStatus status = this->impl->counters;
    status.leaving = this->impl->leaving;
    status.running = this->impl->running;
    status.waiting = this->impl->waiting();
    status.limit = this->impl->places();
    status.records = recordCount(this->impl->records);
    status.heldPrefixes = this->impl->prefixes.held.size();
    status.configRevision = std::max(this->impl->config.revision(), this->impl->config.highestVersion());
    return status;
}

SidecarCore::Impl::Impl(SidecarSettings initial, TimerService& timerService, SidecarEffects given)
    : settings(std::move(initial))
    , timers(timerService)
    , effects(std::move(given))
{
    this->credits.lastId = firstCredit(this->settings);
    this->limit.limit = this->settings.initialConcurrency;
    this->limit.maximum = this->settings.maxConcurrency;
    this->lastTick = this->now();
    this->after(Duration(0), [this] { this->effects.releaseAllPrefixes(); });
    this->after(this->settings.reportInterval, [this] { this->tick(); });
}

void SidecarCore::Impl::after(Duration delay, std::function<void()> callback)
{
    const std::weak_ptr<int> guard = this->alive;
    this->timers.subscribeAfter(delay, [guard, callback = std::move(callback)] {
        if (!guard.expired())
            callback();
    });
}

void SidecarCore::Impl::dispatch(const NodeId& from, const Message& message)
{
    if (!this->links.contains(from))
        return;
    if (const auto* order = std::get_if<Order>(&message))
        this->onOrder(from, *order);
    else if (const auto* cancel = std::get_if<CancelOrder>(&message))
        this->onCancel(from, *cancel);
    else if (const auto* release = std::get_if<ReleaseProgram>(&message))
        this->onRelease(*release);
    else if (const auto* hold = std::get_if<HoldPrefix>(&message))
        this->onHoldPrefix(*hold);
    else if (const auto* recovery = std::get_if<RecoveryRequest>(&message))
        this->onRecoveryRequest(from, *recovery);
    else if (const auto* copy = std::get_if<CopyRecords>(&message))
        this->onCopy(from, *copy);
    else if (const auto* update = std::get_if<ConfigUpdate>(&message))
        this->onConfig(*update);
}

// Links ------------------------------------------------------------------------------------------------------------

EntryLink* SidecarCore::Impl::findLink(const NodeId& node)
{
    const auto found = this->links.find(node);
    return found == this->links.end() ? nullptr : &found->second;
}

bool SidecarCore::Impl::isReachable(const Subscriber& subscriber)
{
    const EntryLink* link = this->findLink(subscriber.node);
    return link && link->up && link->hello.incarnation == subscriber.incarnation;
}

void SidecarCore::Impl::sendTo(const NodeId& node, const Message& message)
{
    const EntryLink* link = this->findLink(node);
    if (link && link->up)
        this->effects.send(node, message);
}

void SidecarCore::Impl::linkUp(const Hello& hello)
{
    if (hello.role != Role::Entry)
        return;
    // A link that replaces another: the entry may have given up what it ordered over the earlier one.
    this->linkDown(hello.node);
    EntryLink& link = this->links[hello.node];
    if (link.hello.incarnation != hello.incarnation) {
        link = EntryLink {};
        revokeCredits(this->credits, hello.node);
        this->forgetSubscribers(hello.node, hello.incarnation);
    }
    link.hello = hello;
    link.up = true;
    link.reportedChange = 0;
    if (hello.configRevision < this->config.revision())
        this->sendTo(hello.node, this->config.all());

    const std::vector<MissedEnd> missed = std::exchange(link.missedEnds, {});
    for (const MissedEnd& end : missed) {
        if (const TurnRecord* record = findTurn(this->records, end.program, end.turn))
            this->sendTo(hello.node, OrderEnded { end.order, *record });
    }
    this->reportEarly(link);
}

void SidecarCore::Impl::linkDown(const NodeId& node)
{
    EntryLink* link = this->findLink(node);
    if (!link || !link->up)
        return;
    link->up = false;
    this->dropQueued(*link);
    this->reportToHungry();
    this->checkDrained();
}

void SidecarCore::Impl::dropQueued(EntryLink& link)
{
    std::vector<OrderId> unawaited;
    for (auto& [id, call] : this->calls) {
        if (call.running)
            continue;
        for (const Subscriber& subscriber : call.subscribers) {
            if (subscriber.node != link.hello.node)
                continue;
            Order order = call.order;
            order.id = subscriber.order;
            this->refuse(link, order, RefusalReason::Overloaded);
        }
        std::erase_if(
            call.subscribers, [&](const Subscriber& subscriber) { return subscriber.node == link.hello.node; });
        if (call.subscribers.empty())
            unawaited.push_back(id);
    }
    for (const OrderId id : unawaited)
        this->calls.erase(id);
}

void SidecarCore::Impl::forgetSubscribers(const NodeId& node, Incarnation incarnation)
{
    for (auto& [id, call] : this->calls) {
        std::erase_if(call.subscribers, [&](const Subscriber& subscriber) {
            return subscriber.node == node && subscriber.incarnation != incarnation;
        });
    }
}

void SidecarCore::Impl::cancelAbandoned()
{
    std::vector<OrderId> abandoned;
    for (auto& [id, call] : this->calls) {
        const bool attended = std::ranges::any_of(
            call.subscribers, [this](const Subscriber& subscriber) { return this->isReachable(subscriber); });
        if (attended)
            call.unattendedSince.reset();
        else if (!call.unattendedSince)
            call.unattendedSince = this->now();
        else if (this->now() - *call.unattendedSince >= this->settings.homeAbsence)
            abandoned.push_back(id);
    }
    for (const OrderId id : abandoned) {
        const auto found = this->calls.find(id);
        if (found != this->calls.end() && found->second.running && found->second.order.idempotent)
            this->cancelRunning(found->second);
    }
}

// Reports and credits ----------------------------------------------------------------------------------------------

void SidecarCore::Impl::tick()
{
    this->after(this->settings.reportInterval, [this] { this->tick(); });
    this->refuseAfterPause();
    this->lastTick = this->now();
    expireRecords(this->records, this->settings.keyRetention, this->now());
    for (const ProgramId& program : expiredPrefixes(this->prefixes, this->now())) {
        if (!this->isActive(program)) {
            this->effects.logEvent("prefix lease lapsed", toString(program));
            this->releasePrefix(program);
        }
    }
    std::erase_if(this->onceHeld, [this](const auto& item) { return !this->records.programs.contains(item.first); });
    std::erase_if(this->links, [this](const auto& item) {
        const EntryLink& link = item.second;
        return !link.up && this->now() - link.lastReport > this->settings.keyRetention;
    });
    this->cancelAbandoned();
    this->reportAll();
    for (auto& [node, link] : this->links)
        link.activity = link.activity < leastActivity ? 0 : link.activity / 2;
}

// Calls that may still be let in: free places in the endpoint and in the queue.
std::uint32_t SidecarCore::Impl::creditRoom()
{
    if (this->leaving)
        return 0;
    const auto places = this->places() + this->settings.queueLimit;
    const auto taken = static_cast<std::uint32_t>(this->calls.size()) + liveCredits(this->credits, this->now());
    return places > taken ? places - taken : 0;
}

std::map<NodeId, std::uint32_t> SidecarCore::Impl::divideRoom()
{
    std::unordered_map<NodeId, std::uint32_t> prefixesOf;
    for (const auto& [program, prefix] : this->prefixes.held) {
        const auto home = this->fence.homes.find(program.shard);
        if (home != this->fence.homes.end())
            ++prefixesOf[home->second.node];
    }
    std::vector<NodeId> nodes;
    std::vector<CreditClaim> claims;
    std::unordered_map<NodeId, std::uint32_t> held = liveCreditsByHolder(this->credits, this->now());
    for (const auto& [node, link] : this->links) {
        if (!link.up)
            continue;
        const std::uint32_t prefixCount = prefixesOf[node];
        const bool likely = link.activity > 0 || prefixCount > 0;
        nodes.push_back(node);
        claims.push_back({ 1 + activityWeight * link.activity + prefixCount, held[node], likely });
    }
    std::map<NodeId, std::uint32_t> shares;
    if (nodes.empty())
        return shares;
    const std::vector<std::uint32_t> extra = divideCredits(this->creditRoom(), claims, this->creditRotation);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        // Half of the share at a time: the other half comes with the next report, so that an idle entry's credits
        // don't all expire at the same time.
        const std::uint32_t half = (claims[i].held + extra[i] + 1) / 2;
        shares[nodes[i]] = std::min(extra[i], half);
    }
    return shares;
}

void SidecarCore::Impl::reportAll()
{
    const std::map<NodeId, std::uint32_t> shares = this->divideRoom();
    this->creditRotation += 1;
    for (auto& [node, link] : this->links) {
        if (link.up)
            this->report(link, shares.at(node));
    }
}

void SidecarCore::Impl::reportEarly(EntryLink& link)
{
    link.earlyReportDue = true;
    this->divideEarly();
}

// Divides credits before the next regular reports; soon, so that one division serves all that ask for it.
void SidecarCore::Impl::divideEarly()
{
    if (std::exchange(this->earlyDivisionDue, true))
        return;
    const TimePoint due = std::max(this->now(), this->lastEarlyDivision + reportSpacing);
    this->after(due - this->now(), [this] { this->sendEarlyReports(); });
}

void SidecarCore::Impl::sendEarlyReports()
{
    this->earlyDivisionDue = false;
    this->lastEarlyDivision = this->now();
    const std::map<NodeId, std::uint32_t> shares = this->divideRoom();
    this->creditRotation += 1;
    const std::unordered_map<NodeId, std::uint32_t> held = liveCreditsByHolder(this->credits, this->now());
    for (auto& [node, link] : this->links) {
        const bool firstCredit = link.up && shares.at(node) > 0 && !held.contains(node);
        if (link.up && (link.earlyReportDue || firstCredit))
            this->report(link, shares.at(node));
    }
}

// Entries that have used their credits up hear at once when there is room again.
void SidecarCore::Impl::reportToHungry()
{
    if (this->creditRoom() == 0)
        return;
    std::unordered_map<NodeId, std::uint32_t> held = liveCreditsByHolder(this->credits, this->now());
    for (auto& [node, link] : this->links) {
        if (link.up && link.activity > 0 && held[node] == 0)
            this->reportEarly(link);
    }
}

// Engine memory of running calls beyond the prefixes that are counted as held.
TokenCount SidecarCore::Impl::runningTokens() const
{
    TokenCount sum;
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            continue;
        const auto held = this->prefixes.held.find(call.order.program.id);
        const std::int64_t prefix = held == this->prefixes.held.end() ? 0 : held->second.tokens.value;
        const std::int64_t used = call.order.historyTokens.value + call.order.inputTokens.value + call.textTokens.value;
        sum.value += std::max<std::int64_t>(0, used - prefix);
    }
    return sum;
}

void SidecarCore::Impl::report(EntryLink& link, std::uint32_t creditCount)
{
    const NodeId& node = link.hello.node;
    LoadReport report;
    report.sequence = ++link.reports;
    report.service = this->settings.service;
    report.leaving = this->leaving;
    report.running = this->running;
    report.waiting = this->waiting();
    report.limit = this->places();
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            report.waitingTokens.value += call.order.inputTokens.value + call.order.maxOutputTokens.value;
    }
    report.prefillTokensPerSecond = this->speed.prefillTokensPerSecond;
    report.decodeTokensPerSecond = this->speed.decodeTokensPerSecond;
    report.cacheCapacity = this->settings.cacheCapacity;
    report.cacheUsed = TokenCount(totalHeldTokens(this->prefixes).value + this->runningTokens().value);
    report.accountedOrder = link.accountedOrder;
    report.credits = issueCredits(this->credits, node, creditCount, this->settings.creditLifetime, this->now());
    if (creditCount > 0)
        this->after(this->settings.creditLifetime, [this] { this->divideEarly(); });
    report.credits.lifetime = std::max(Milliseconds(0), report.credits.lifetime - creditTransit);
    reportPrefixes(
        this->prefixes, link.reportedChange,
        [&](const ProgramId& program) { return isHome(this->fence, program.shard, node); }, report);
    link.reportedChange = this->prefixes.lastChange;
    link.lastReport = this->now();
    link.earlyReportDue = false;
    this->sendTo(node, report);
}

// Planned stop -----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::beginShutdown()
{
    if (this->leaving)
        return;
    this->leaving = true;
    this->effects.logEvent("leaving", std::to_string(this->calls.size()) + " calls are finished first");
    this->reportAll();
    this->checkDrained();
}

// After the last call every home gets a last report and time to copy the records that it finds here.
void SidecarCore::Impl::checkDrained()
{
    if (!this->leaving || this->finalReportSent || !this->calls.empty())
        return;
    this->finalReportSent = true;
    // No program comes back here, and nobody would be left to free the engine's memory.
    while (!this->prefixes.held.empty()) {
        const ProgramId program = this->prefixes.held.begin()->first;
        this->releasePrefix(program);
    }
    const bool copiesNeeded = recordCount(this->records) > 0
        && std::ranges::any_of(this->links, [](const auto& item) { return item.second.up; });
    this->drainedFrom = this->now();
    if (copiesNeeded)
        this->drainedFrom += recopyIntervals * this->settings.reportInterval;
    this->reportAll();
}

bool SidecarCore::Impl::isDrained() const { return this->finalReportSent && this->now() >= this->drainedFrom; }

}
