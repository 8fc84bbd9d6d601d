#include "Rattandeck/quotaissuer.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace Rattandeck {

/// Interval at which the issuer checks whether its process has been paused.
constexpr Milliseconds pauseCheckInterval { 250 };
/// Bound on the tokens of one demand, against malformed messages.
constexpr std::uint32_t maxTokensPerDemand = 100000;
/// What a gateway is told when the issuer doesn't know the organisation yet.
constexpr Milliseconds unknownOrganisationWait { 100 };

namespace {

    struct IssuedOrganisation {
        CallAllowance allowance;
        QuotaBucket bucket;
    };

}

struct QuotaIssuer::Impl : std::enable_shared_from_this<QuotaIssuer::Impl> {
    Impl(TimerService& timers, NodeId self, Send send, QuotaSettings settings)
        : timers(timers)
        , self(std::move(self))
        , send(std::move(send))
        , settings(settings)
    {
    }

    TimerService& timers;
    NodeId self;
    Send send;
    QuotaSettings settings;
    std::unordered_map<OrganisationId, IssuedOrganisation> organisations;
    QuotaPrograms programs;
    Counts counts;
    std::uint64_t lastStamp = 0;

    std::vector<JournalMember> members;
    bool hasMembers = false;
    /// Number by which the allowances are divided; 0 while this issuer has no share.
    std::size_t divisor = 0;
    TimerId growthTimer;
    std::set<NodeId> linked;
    /// When the links to a majority were lost; empty while there are some.
    std::optional<TimePoint> aloneSince;
    bool hasHadMajority = false;
    TimePoint checkedAt;

    bool isIssuing() const;
    std::size_t divisorOfSet() const;
    void setDivisor(std::size_t next);
    void updateMajority();
    void checkPause();
    void schedulePauseCheck();
    void refillAll();
    void resizeAll();
    QuotaShare shareOf(const IssuedOrganisation& organisation) const;
    void takeBack(const QuotaReturn& returned);
    QuotaGrant answer(const QuotaDemand& demand, std::uint64_t stamp);
    void onRequests(const NodeId& from, const QuotaRequests& requests);
};

// Membership ---------------------------------------------------------------------------------------------------------

bool QuotaIssuer::Impl::isIssuing() const
{
    if (this->divisor == 0 || !this->hasHadMajority)
        return false;
    return !this->aloneSince || this->timers.now() - *this->aloneSince < this->settings.maxTimeAlone;
}

std::size_t QuotaIssuer::Impl::divisorOfSet() const
{
    const bool isMember
        = std::ranges::any_of(this->members, [this](const JournalMember& member) { return member.node == this->self; });
    return isMember ? this->members.size() : 0;
}

void QuotaIssuer::Impl::setDivisor(std::size_t next)
{
    if (next == this->divisor)
        return;
    this->refillAll();
    this->divisor = next;
    this->resizeAll();
}

void QuotaIssuer::Impl::updateMajority()
{
    const auto reachable = std::ranges::count_if(this->members, [this](const JournalMember& member) {
        return member.node == this->self || this->linked.contains(member.node);
    });
    if (2 * static_cast<std::size_t>(reachable) > this->members.size()) {
        // Tokens have accrued for a time in which another member may have taken this one's place.
        if (!this->isIssuing())
            for (auto& [id, organisation] : this->organisations)
                clear(organisation.bucket, this->timers.now());
        this->aloneSince.reset();
        this->hasHadMajority = true;
    } else if (!this->aloneSince) {
        this->aloneSince = this->timers.now();
    }
}

// Pauses -------------------------------------------------------------------------------------------------------------

/// While timers that are overdue run, `now` is the time for which they were scheduled; `target` is the actual time.
void QuotaIssuer::Impl::checkPause()
{
    const TimePoint actual = std::max(this->timers.now(), this->timers.target());
    if (actual - this->checkedAt > this->settings.maxPause) {
        for (auto& [id, organisation] : this->organisations)
            clear(organisation.bucket, actual);
    }
    this->checkedAt = std::max(this->checkedAt, actual);
}

void QuotaIssuer::Impl::schedulePauseCheck()
{
    this->timers.subscribeAfter(pauseCheckInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->checkPause();
        self->schedulePauseCheck();
    });
}

// Buckets ------------------------------------------------------------------------------------------------------------

QuotaShare QuotaIssuer::Impl::shareOf(const IssuedOrganisation& organisation) const
{
    return this->divisor == 0 ? QuotaShare {}
                              : Rattandeck::shareOf(organisation.allowance, this->divisor, this->settings);
}

void QuotaIssuer::Impl::refillAll()
{
    const double programCalls = meanCalls(this->programs, this->settings);
    for (auto& [id, organisation] : this->organisations)
        refill(organisation.bucket, this->shareOf(organisation), programCalls, this->timers.now());
}

void QuotaIssuer::Impl::resizeAll()
{
    for (auto& [id, organisation] : this->organisations)
        resize(organisation.bucket, this->shareOf(organisation));
}

// Requests -----------------------------------------------------------------------------------------------------------

void QuotaIssuer::Impl::takeBack(const QuotaReturn& returned)
{
    const auto found = this->organisations.find(returned.organisation);
    if (found == this->organisations.end() || returned.stamp > this->lastStamp)
        return;
    refill(found->second.bucket, this->shareOf(found->second), meanCalls(this->programs, this->settings),
        this->timers.now());
    const double tokens = std::clamp(returned.tokens, 0.0, double(maxTokensPerDemand));
    giveBack(found->second.bucket, tokens, returned.stamp);
    this->counts.returned += tokens;
}

QuotaGrant QuotaIssuer::Impl::answer(const QuotaDemand& demand, std::uint64_t stamp)
{
    QuotaGrant answer;
    answer.organisation = demand.organisation;
    const auto found = this->organisations.find(demand.organisation);
    if (found == this->organisations.end()) {
        answer.wait = unknownOrganisationWait;
        answer.firstTurnWait = unknownOrganisationWait;
        return answer;
    }
    QuotaBucket& bucket = found->second.bucket;
    const QuotaShare share = this->shareOf(found->second);
    const double programCalls = meanCalls(this->programs, this->settings);
    const TimePoint now = this->timers.now();
    refill(bucket, share, programCalls, now);
    QuotaDecision wanted;
    wanted.waiting = std::min(demand.waiting, maxTokensPerDemand);
    wanted.waitingFirstTurns = std::min(demand.waitingFirstTurns, maxTokensPerDemand);
    wanted.advance = std::min(demand.advance, maxTokensPerDemand);
    wanted.part = std::clamp(demand.waitingPart, 0.0, double(maxTokensPerDemand));
    wanted.firstTurnPart = std::clamp(demand.firstTurnPart, 0.0, double(maxTokensPerDemand));
    const QuotaDecision granted = grant(bucket, share, wanted, stamp, now, this->settings);
    answer.tokens = granted.waiting + granted.advance;
    answer.includesFirstTurns = granted.includesFirstTurns;
    answer.firstTurnTokens = granted.waitingFirstTurns;
    answer.part = granted.part;
    answer.firstTurnPart = granted.firstTurnPart;
    const auto waitFor = [&](QuotaKind kind) {
        return std::chrono::ceil<Milliseconds>(timeToNext(bucket, share, kind, programCalls, this->settings));
    };
    if (granted.waiting < wanted.waiting || granted.part < wanted.part)
        answer.wait = waitFor(QuotaKind::Call);
    if (granted.waitingFirstTurns < wanted.waitingFirstTurns || granted.firstTurnPart < wanted.firstTurnPart)
        answer.firstTurnWait = waitFor(QuotaKind::FirstTurn);
    this->counts.granted += answer.tokens + answer.firstTurnTokens + answer.part + answer.firstTurnPart;
    this->counts.denied += wanted.waiting - granted.waiting + wanted.waitingFirstTurns - granted.waitingFirstTurns;
    return answer;
}

void QuotaIssuer::Impl::onRequests(const NodeId& from, const QuotaRequests& requests)
{
    this->checkPause();
    notePrograms(this->programs, requests.calls, requests.firstTurns, this->timers.now(), this->settings);
    for (const QuotaReturn& returned : requests.returned)
        this->takeBack(returned);
    if (requests.demands.empty())
        return;
    QuotaGrants grants;
    grants.ticket = requests.ticket;
    grants.isIssuing = this->isIssuing();
    grants.stamp = ++this->lastStamp;
    if (grants.isIssuing) {
        for (const QuotaDemand& demand : requests.demands)
            grants.grants.push_back(this->answer(demand, grants.stamp));
    }
    this->send(from, grants);
}

// Public -------------------------------------------------------------------------------------------------------------

QuotaIssuer::QuotaIssuer(TimerService& timers, NodeId self, Send send, QuotaSettings settings)
    : impl(std::make_shared<Impl>(timers, std::move(self), std::move(send), settings))
{
    this->impl->checkedAt = timers.now();
    this->impl->schedulePauseCheck();
}

QuotaIssuer::~QuotaIssuer() = default;

void QuotaIssuer::setOrganisations(const std::vector<Organisation>& organisations)
{
    auto& self = *this->impl;
    self.refillAll();
    std::unordered_map<OrganisationId, IssuedOrganisation> next;
    for (const Organisation& organisation : organisations) {
        if (!organisation.allowance)
            continue;
        const auto [added, isNew] = next.try_emplace(organisation.id);
        if (!isNew)
            continue;
        const auto known = self.organisations.find(organisation.id);
        if (known != self.organisations.end())
            added->second.bucket = std::move(known->second.bucket);
        else
            clear(added->second.bucket, self.timers.now());
        added->second.allowance = *organisation.allowance;
    }
    self.organisations = std::move(next);
    self.resizeAll();
}

void QuotaIssuer::setMembers(const std::vector<JournalMember>& members)
{
    auto& self = *this->impl;
    self.members = members;
    const std::size_t next = self.divisorOfSet();
    const bool isLarger = next != 0 && (self.divisor == 0 || next < self.divisor);
    self.timers.cancel(self.growthTimer);
    if (isLarger && self.hasMembers) {
        self.growthTimer = self.timers.subscribeAfter(self.settings.growthDelay, [weak = self.weak_from_this()] {
            if (const auto impl = weak.lock())
                impl->setDivisor(impl->divisorOfSet());
        });
    } else {
        self.setDivisor(next);
    }
    self.hasMembers = self.hasMembers || !members.empty();
    self.updateMajority();
}

void QuotaIssuer::onLinkUp(const NodeId& node, Role role)
{
    if (role != Role::Journal)
        return;
    this->impl->linked.insert(node);
    this->impl->updateMajority();
}

void QuotaIssuer::onLinkDown(const NodeId& node)
{
    this->impl->linked.erase(node);
    this->impl->updateMajority();
}

void QuotaIssuer::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* requests = std::get_if<QuotaRequests>(&message))
        this->impl->onRequests(from, *requests);
}

bool QuotaIssuer::isIssuing() const { return this->impl->isIssuing(); }

std::size_t QuotaIssuer::limitedOrganisations() const { return this->impl->organisations.size(); }

const QuotaIssuer::Counts& QuotaIssuer::counts() const { return this->impl->counts; }

}
