#include "Rattandeck/crashwatch.h"

#include <deque>
#include <map>
#include <set>

namespace Rattandeck {

namespace {

    struct Suspect {
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
    std::deque<Suspect> suspects;
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
    auto& suspects = this->impl->suspects;
    while (!suspects.empty()
        && (suspects.size() >= this->impl->limits.maxSuspects
            || now - suspects.front().lostAt > this->impl->limits.evidenceWindow))
        suspects.pop_front();
    suspects.push_back({ request, instance, startedAt, now });
}

std::vector<CrashReport> CrashWatch::onInstanceFailed(const EndpointId& instance, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const Suspect& suspect : this->impl->suspects) {
        if (suspect.instance != instance || now - suspect.lostAt > this->impl->limits.evidenceWindow)
            continue;
        const std::string crash = instance.value + "/" + std::to_string(suspect.startedAt);
        reports.push_back({ suspect.request, crash, this->impl->limits.crashRetention });
    }
    std::erase_if(this->impl->suspects, [&instance](const Suspect& suspect) { return suspect.instance == instance; });
    for (const CrashReport& report : reports)
        this->onReport(report, now);
    return reports;
}

void CrashWatch::onAnswered(const Fingerprint& request)
{
    this->impl->records.erase(request);
    std::erase_if(this->impl->suspects, [&request](const Suspect& suspect) { return suspect.request == request; });
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

bool CrashWatch::isEmpty() const { return this->impl->records.empty() && this->impl->suspects.empty(); }

}
