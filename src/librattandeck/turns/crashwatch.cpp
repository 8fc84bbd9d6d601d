#include "Rattandeck/crashwatch.h"

#include "Rattandeck/tickets.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace Rattandeck {

namespace {

    struct LostAnswer {
        CrashWatch::Send send;
        TimePoint lostAt;
    };

    /// What is known of one request.
    struct CrashRecord {
        /// Crashes, with the rounds in which they happened.
        std::map<std::string, std::uint32_t> crashes;
        /// The last round in which the request was answered.
        std::optional<std::uint32_t> answeredRound;
        TimePoint until;
        TimePoint trialUntil;

        bool isVoid(std::uint32_t round) const { return this->answeredRound && round <= *this->answeredRound; }
        void dropVoidCrashes()
        {
            std::erase_if(this->crashes, [this](const auto& crash) { return this->isVoid(crash.second); });
        }
        std::uint32_t nextRound() const
        {
            std::uint32_t next = this->answeredRound ? *this->answeredRound + 1 : 0;
            for (const auto& [crash, round] : this->crashes)
                next = std::max(next, round + 1);
            return next;
        }
        std::size_t rounds() const
        {
            std::set<std::uint32_t> distinct;
            for (const auto& [crash, round] : this->crashes)
                distinct.insert(round);
            return distinct.size();
        }
    };

}

struct CrashWatch::Impl {
    CrashWatchLimits limits;
    std::deque<LostAnswer> lostAnswers;
    std::map<Fingerprint, CrashRecord> records;
};

CrashWatch::CrashWatch(CrashWatchLimits limits)
    : impl(std::make_unique<Impl>())
{
    this->impl->limits = limits;
}

CrashWatch::~CrashWatch() = default;

std::uint32_t CrashWatch::nextRound(const Fingerprint& request) const
{
    const auto found = this->impl->records.find(request);
    return found == this->impl->records.end() ? 0 : found->second.nextRound();
}

void CrashWatch::onAnswerLost(const Send& send, TimePoint now)
{
    auto& lostAnswers = this->impl->lostAnswers;
    while (!lostAnswers.empty()
        && (lostAnswers.size() >= this->impl->limits.maxLostAnswers
            || now - lostAnswers.front().lostAt > this->impl->limits.evidenceWindow))
        lostAnswers.pop_front();
    lostAnswers.push_back({ send, now });
}

std::vector<CrashReport> CrashWatch::onInstanceFailed(const EndpointId& instance, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const auto& [send, lostAt] : this->impl->lostAnswers) {
        if (send.instance != instance || now - lostAt > this->impl->limits.evidenceWindow)
            continue;
        const std::string crash = instance.value + "/" + std::to_string(send.startedAt);
        reports.push_back({ send.request, crash, this->impl->limits.crashRetention, send.round });
    }
    std::erase_if(this->impl->lostAnswers,
        [&instance](const LostAnswer& lostAnswer) { return lostAnswer.send.instance == instance; });
    for (const CrashReport& report : reports)
        this->onReport(report, now);
    return reports;
}

std::optional<CrashReport> CrashWatch::onAnswered(const Fingerprint& request, std::uint32_t round, TimePoint now)
{
    std::erase_if(this->impl->lostAnswers, [&](const LostAnswer& lostAnswer) {
        return lostAnswer.send.request == request && lostAnswer.send.round <= round;
    });
    const auto found = this->impl->records.find(request);
    if (found == this->impl->records.end())
        return std::nullopt;
    const auto& crashes = found->second.crashes;
    if (std::ranges::none_of(crashes, [round](const auto& crash) { return crash.second <= round; }))
        return std::nullopt;
    CrashReport report;
    report.request = request;
    report.crash = "answered in round " + std::to_string(round);
    report.retention = this->impl->limits.crashRetention;
    report.round = round;
    report.isAnswer = true;
    this->onReport(report, now);
    return report;
}

void CrashWatch::onReport(const CrashReport& report, TimePoint now)
{
    std::erase_if(this->impl->records, [now](const auto& entry) { return entry.second.until <= now; });
    CrashRecord& record = this->impl->records[report.request];
    if (report.isTrial)
        record.trialUntil = now + this->impl->limits.trialPeriod;
    else if (report.isAnswer)
        record.answeredRound = std::max(report.round, record.answeredRound.value_or(0));
    else
        record.crashes.emplace(report.crash, report.round);
    record.dropVoidCrashes();
    record.until = now + this->impl->limits.crashRetention;
}

CrashWatch::Admission CrashWatch::admission(const Fingerprint& request, TimePoint now) const
{
    const auto found = this->impl->records.find(request);
    if (found == this->impl->records.end() || found->second.until <= now
        || found->second.crashes.size() < this->impl->limits.crashLimit)
        return Admission::Free;
    if (found->second.rounds() >= this->impl->limits.roundLimit)
        return Admission::Quarantined;
    return found->second.trialUntil > now ? Admission::AwaitsTrial : Admission::Trial;
}

CrashReport CrashWatch::beginTrial(const Fingerprint& request, TimePoint now)
{
    CrashReport report;
    report.request = request;
    report.crash = "trial " + std::to_string(drawTicket());
    report.retention = this->impl->limits.trialPeriod;
    report.round = this->nextRound(request);
    report.isTrial = true;
    this->onReport(report, now);
    return report;
}

bool CrashWatch::isQuarantined(const Fingerprint& request, TimePoint now) const
{
    return this->admission(request, now) == Admission::Quarantined;
}

bool CrashWatch::isEmpty() const { return this->impl->records.empty() && this->impl->lostAnswers.empty(); }

}
