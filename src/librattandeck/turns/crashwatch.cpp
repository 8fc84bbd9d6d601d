#include "Rattandeck/crashwatch.h"

#include <deque>
#include <map>
#include <set>

namespace Rattandeck {

namespace {

    struct LostAnswer {
        Fingerprint request;
        EndpointId instance;
        std::int64_t startedAt = 0;
        TimePoint lostAt;
    };

    /// Crashes attributed to one request.
    struct CrashRecord {
        std::set<std::string> crashes;
        TimePoint until;
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

void CrashWatch::onAnswerLost(
    const Fingerprint& request, const EndpointId& instance, std::int64_t startedAt, TimePoint now)
{
    auto& lostAnswers = this->impl->lostAnswers;
    while (!lostAnswers.empty()
        && (lostAnswers.size() >= this->impl->limits.maxLostAnswers
            || now - lostAnswers.front().lostAt > this->impl->limits.evidenceWindow))
        lostAnswers.pop_front();
    lostAnswers.push_back({ request, instance, startedAt, now });
}

std::vector<CrashReport> CrashWatch::onInstanceFailed(const EndpointId& instance, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const LostAnswer& lostAnswer : this->impl->lostAnswers) {
        if (lostAnswer.instance != instance || now - lostAnswer.lostAt > this->impl->limits.evidenceWindow)
            continue;
        const std::string crash = instance.value + "/" + std::to_string(lostAnswer.startedAt);
        reports.push_back({ lostAnswer.request, crash, this->impl->limits.crashRetention });
    }
    std::erase_if(
        this->impl->lostAnswers, [&instance](const LostAnswer& lostAnswer) { return lostAnswer.instance == instance; });
    for (const CrashReport& report : reports)
        this->onReport(report, now);
    return reports;
}

void CrashWatch::onAnswered(const Fingerprint& request)
{
    this->impl->records.erase(request);
    std::erase_if(
        this->impl->lostAnswers, [&request](const LostAnswer& lostAnswer) { return lostAnswer.request == request; });
}

void CrashWatch::onReport(const CrashReport& report, TimePoint now)
{
    std::erase_if(this->impl->records, [now](const auto& entry) { return entry.second.until <= now; });
    CrashRecord& record = this->impl->records[report.request];
    record.crashes.insert(report.crash);
    record.until = now + this->impl->limits.crashRetention;
}

bool CrashWatch::isQuarantined(const Fingerprint& request, TimePoint now) const
{
    const auto found = this->impl->records.find(request);
    return found != this->impl->records.end() && found->second.until > now
        && found->second.crashes.size() >= this->impl->limits.crashLimit;
}

bool CrashWatch::isEmpty() const { return this->impl->records.empty() && this->impl->lostAnswers.empty(); }

}
