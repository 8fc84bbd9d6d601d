#include "Rattandeck/configconfirmation.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Rattandeck {

/// Bound on the confirmations of revisions that this process doesn't have yet, and on open questions.
constexpr std::size_t maxPending = 16;

// Policy ---------------------------------------------------------------------------------------------------------

std::optional<TimePoint> keysValidUntil(std::optional<TimePoint> confirmedAt, Milliseconds maxAge)
{
    if (!confirmedAt)
        return std::nullopt;
    return *confirmedAt + std::chrono::duration_cast<Duration>(maxAge * appliedConfigAgeRatio);
}

bool isConfigTooOld(std::optional<TimePoint> confirmedAt, Milliseconds maxAge, TimePoint now)
{
    if (maxAge <= Milliseconds(0))
        return false;
    const auto until = keysValidUntil(confirmedAt, maxAge);
    return !until || now > *until;
}

// State machine --------------------------------------------------------------------------------------------------

struct ConfigConfirmation::Impl : std::enable_shared_from_this<ConfigConfirmation::Impl> {
    Impl(TimerService& timers, Io io, std::uint64_t seed, ConfigConfirmationLimits limits)
        : timers(timers)
        , io(std::move(io))
        , random(seed)
        , limits(limits)
        , lastTicket(this->random())
    {
    }

    TimerService& timers;
    Io io;
    std::mt19937_64 random;
    ConfigConfirmationLimits limits;
    Milliseconds maxAge { 0 };
    bool hasKeys = false;
    std::uint64_t revision = 0;
    std::optional<TimePoint> confirmedAt;
    /// Confirmations of revisions that this process doesn't have yet, by revision.
    std::map<std::uint64_t, TimePoint> pending;

    /// Linked journals, with the time of their last reported view of the store.
    std::map<NodeId, std::optional<TimePoint>> journals;
    /// When each open question was asked. Late answers count too.
    std::map<std::uint64_t, TimePoint> asked;
    std::uint64_t lastTicket;
    std::set<NodeId> askedInRound;
    bool isRoundOpen = false;
    bool isActive = false;
    TimerId roundTimer;
    TimerId timeoutTimer;
    TimePoint nextReadAt;

    bool isNeeded() const { return this->hasKeys && this->maxAge > Milliseconds(0); }
    void update();
    void beginRound();
    void askNext();
    void onAnswer(const ConfigAgeAnswer& answer);
    /// Whether the confirmation is so old that the store is read.
    bool isLate() const;
    void readStoreIfLate();
    void take(const ConfigConfirmed& confirmed);
    void count(TimePoint at);
    void countPending();
};

/// Starts or stops asking.
void ConfigConfirmation::Impl::update()
{
    if (this->isNeeded() == this->isActive)
        return;
    this->isActive = this->isNeeded();
    if (this->isActive) {
        // Journals are asked first.
        this->nextReadAt = this->timers.now() + this->limits.minReadInterval;
        this->beginRound();
        return;
    }
    this->timers.cancel(this->roundTimer);
    this->timers.cancel(this->timeoutTimer);
    this->isRoundOpen = false;
}

void ConfigConfirmation::Impl::beginRound()
{
    this->timers.cancel(this->roundTimer);
    const bool hasExpired = this->confirmedAt && this->isLate();
    const Milliseconds interval = hasExpired ? this->limits.lateAskInterval : this->limits.askInterval;
    this->roundTimer = this->timers.subscribeAfter(interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->beginRound();
    });
    if (const auto own = this->io.ownView())
        this->take(*own);
    this->readStoreIfLate();
    this->askedInRound.clear();
    this->isRoundOpen = true;
    this->askNext();
}

/// Asks a journal that was not asked in this round, preferably one that has reported a recent view of the store.
void ConfigConfirmation::Impl::askNext()
{
    this->timers.cancel(this->timeoutTimer);
    const TimePoint now = this->timers.now();
    std::vector<NodeId> followers;
    std::vector<NodeId> others;
    for (const auto& [journal, viewedAt] : this->journals) {
        if (this->askedInRound.contains(journal))
            continue;
        const bool isFollower = viewedAt && now - *viewedAt <= this->limits.maxViewAge;
        (isFollower ? followers : others).push_back(journal);
    }
    const std::vector<NodeId>& candidates = followers.empty() ? others : followers;
    if (candidates.empty()) {
        this->isRoundOpen = false;
        return;
    }
    std::uniform_int_distribution<std::size_t> drawn(0, candidates.size() - 1);
    const NodeId journal = candidates[drawn(this->random)];
    this->askedInRound.insert(journal);
    this->asked.emplace(++this->lastTicket, now);
    if (this->asked.size() > maxPending)
        this->asked.erase(std::ranges::min_element(this->asked, {}, [](const auto& entry) { return entry.second; }));
    this->timeoutTimer = this->timers.subscribeAfter(this->limits.answerTimeout, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->askNext();
    });
    this->io.send(journal, ConfigAgeRequest { this->lastTicket });
}

void ConfigConfirmation::Impl::onAnswer(const ConfigAgeAnswer& answer)
{
    const auto found = this->asked.find(answer.ticket);
    if (found == this->asked.end())
        return;
    const TimePoint askedAt = found->second;
    const bool isLast = answer.ticket == this->lastTicket;
    this->asked.erase(found);
    if (answer.isKnown) {
        this->isRoundOpen = false;
        this->timers.cancel(this->timeoutTimer);
        this->take({ answer.revision, askedAt - std::max(answer.age, Milliseconds(0)) });
    } else if (isLast && this->isRoundOpen) {
        this->askNext();
    }
}

bool ConfigConfirmation::Impl::isLate() const
{
    const auto patience
        = std::chrono::duration_cast<Milliseconds>(this->maxAge * appliedConfigAgeRatio * this->limits.ownReadRatio);
    return !this->confirmedAt || this->timers.now() - *this->confirmedAt > patience;
}

void ConfigConfirmation::Impl::readStoreIfLate()
{
    const TimePoint now = this->timers.now();
    if (!this->isLate() || now < this->nextReadAt)
        return;
    const Milliseconds mean
        = std::max(this->limits.minReadInterval, this->limits.readIntervalPerGateway * this->io.gatewayCount());
    std::uniform_int_distribution<std::int64_t> drawn(mean.count() / 2, mean.count() * 3 / 2);
    this->nextReadAt = now + Milliseconds(drawn(this->random));
    this->io.readStore();
}

void ConfigConfirmation::Impl::take(const ConfigConfirmed& confirmed)
{
    if (confirmed.revision <= this->revision) {
        this->count(confirmed.at);
        return;
    }
    TimePoint& at = this->pending.try_emplace(confirmed.revision, confirmed.at).first->second;
    at = std::max(at, confirmed.at);
    if (this->pending.size() > maxPending)
        this->pending.erase(this->pending.begin());
}

void ConfigConfirmation::Impl::count(TimePoint at)
{
    if (this->confirmedAt && at <= *this->confirmedAt)
        return;
    this->confirmedAt = at;
    this->io.onConfirmed(at);
}

void ConfigConfirmation::Impl::countPending()
{
    while (!this->pending.empty() && this->pending.begin()->first <= this->revision) {
        const TimePoint at = this->pending.begin()->second;
        this->pending.erase(this->pending.begin());
        this->count(at);
    }
}

// Public ---------------------------------------------------------------------------------------------------------

ConfigConfirmation::ConfigConfirmation(TimerService& timers, Io io, std::uint64_t seed, ConfigConfirmationLimits limits)
    : impl(std::make_shared<Impl>(timers, std::move(io), seed, limits))
{
}

ConfigConfirmation::~ConfigConfirmation() = default;

void ConfigConfirmation::setMaxAge(Milliseconds maxAge)
{
    this->impl->maxAge = maxAge;
    this->impl->update();
}

void ConfigConfirmation::onConfig(std::uint64_t revision, bool hasKeys)
{
    this->impl->revision = std::max(this->impl->revision, revision);
    this->impl->hasKeys = hasKeys;
    this->impl->countPending();
    this->impl->update();
}

void ConfigConfirmation::onLinkUp(const NodeId& journal)
{
    this->impl->journals.try_emplace(journal);
    // The confirmation may be missing altogether, or have become old while no journal was linked.
    if (this->impl->isActive && !this->impl->isRoundOpen)
        this->impl->beginRound();
}

void ConfigConfirmation::onLinkDown(const NodeId& journal) { this->impl->journals.erase(journal); }

void ConfigConfirmation::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* answer = std::get_if<ConfigAgeAnswer>(&message))
        this->impl->onAnswer(*answer);
    const auto* view = std::get_if<StoreView>(&message);
    const auto journal = this->impl->journals.find(from);
    if (view && journal != this->impl->journals.end())
        journal->second = this->impl->timers.now() - std::max(view->age, Milliseconds(0));
}

void ConfigConfirmation::onStoreRead(std::uint64_t revision, TimePoint sentAt)
{
    this->impl->take({ revision, sentAt });
}

std::optional<TimePoint> ConfigConfirmation::confirmedAt() const { return this->impl->confirmedAt; }

}
