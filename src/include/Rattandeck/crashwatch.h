#pragma once

#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"

#include <memory>
#include <vector>

namespace Rattandeck {

struct CrashWatchLimits {
    /// An instance that fails within this time after the answer to a call was lost is assumed to have crashed on it.
    Milliseconds evidenceWindow { 5000 };
    /// Number of crashes after which a request is quarantined.
    std::size_t crashLimit = 3;
    /// Time for which crashes of a request are kept after the last one.
    Milliseconds crashRetention { 600000 };
    /// Maximum number of lost answers that are tracked at a time.
    std::size_t maxLostAnswers = 2000;
};

/// Detects requests that crash the instances that run them, and quarantines them. A lost answer alone is not
/// evidence of a crash; it is recorded as one only if the instance fails within `evidenceWindow`. An answer to a
/// request deletes everything recorded about it.
///
/// Thread safety: not synchronised.
class CrashWatch {
public:
    explicit CrashWatch(CrashWatchLimits limits = {});
    ~CrashWatch();
    CrashWatch(const CrashWatch&) = delete;
    CrashWatch& operator=(const CrashWatch&) = delete;

    /// The answer to a request was lost. `startedAt` identifies the process of the instance.
    void onAnswerLost(const Fingerprint& request, const EndpointId& instance, std::int64_t startedAt, TimePoint now);
    /// The instance is unreachable, was restarted or was removed. Returns the crashes to report to other gateways.
    std::vector<CrashReport> onInstanceFailed(const EndpointId& instance, TimePoint now);
    void onAnswered(const Fingerprint& request);
    /// Adds a crash that another gateway reported or that was read from the journals.
    void onReport(const CrashReport& report, TimePoint now);

    bool isQuarantined(const Fingerprint& request, TimePoint now) const;
    /// Returns whether no request is tracked; callers can then skip the computation of a fingerprint.
    bool isEmpty() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
