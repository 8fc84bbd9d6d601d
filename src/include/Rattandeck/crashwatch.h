#pragma once

#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"

#include <memory>
#include <optional>
#include <vector>

namespace Rattandeck {

struct CrashWatchLimits {
    /// An instance that fails within this time after the answer to a call was lost is assumed to have crashed on it.
    Milliseconds evidenceWindow { 5000 };
    /// Number of crashes after which a request is quarantined.
    std::size_t crashLimit = 3;
    /// Number of rounds in which these crashes must have happened.
    std::size_t roundLimit = 2;
    /// Time for which crashes of a request are kept after the last one.
    Milliseconds crashRetention { 600000 };
    /// Time after which a suspected request may be tried again if nothing has come of the last trial.
    Milliseconds trialPeriod { 2000 };
    /// Maximum number of lost answers that are tracked at a time.
    std::size_t maxLostAnswers = 2000;
};

/// Detects requests that crash the instances that run them, and quarantines them. A lost answer alone is not
/// evidence of a crash; it is recorded as one only if the instance fails within `evidenceWindow`.
///
/// Instances may also fail for another reason while they run a request, and several of them at the same moment. Crashes
/// are therefore counted in rounds: those of sends that began before an earlier crash of the request was known belong
/// to one round, and a request must have crashed instances in `roundLimit` of them. Until that, a request with enough
/// crashes is suspected: one copy of it is sent at a time, at whichever gateway. An answer to a request, at whichever
/// gateway, voids its crashes up to the round in which it was sent.
///
/// Thread safety: not synchronised.
class CrashWatch {
public:
    /// One send of a request to an instance, whose process is identified by its start time.
    struct Send {
        Fingerprint request;
        EndpointId instance;
        std::int64_t startedAt = 0;
        std::uint32_t round = 0;
    };

    enum class Admission {
        Free,
        /// The request is suspected, and no copy of it is being tried.
        Trial,
        /// The request is suspected, and a copy of it is being tried.
        AwaitsTrial,
        Quarantined,
    };

    explicit CrashWatch(CrashWatchLimits limits = {});
    ~CrashWatch();
    CrashWatch(const CrashWatch&) = delete;
    CrashWatch& operator=(const CrashWatch&) = delete;

    /// The round to which a send of the request that begins now belongs.
    std::uint32_t nextRound(const Fingerprint& request) const;
    void onAnswerLost(const Send& send, TimePoint now);
    /// The instance is unreachable, was restarted or was removed. Returns the crashes to report to other gateways.
    std::vector<CrashReport> onInstanceFailed(const EndpointId& instance, TimePoint now);
    /// A send of this round was answered. Returns what to report to other gateways, if that voids crashes.
    std::optional<CrashReport> onAnswered(const Fingerprint& request, std::uint32_t round, TimePoint now);
    /// Adds a crash or an answer that another gateway reported or that was read from the journals.
    void onReport(const CrashReport& report, TimePoint now);

    Admission admission(const Fingerprint& request, TimePoint now) const;
    /// A copy of a suspected request is about to be sent. Returns what to report to other gateways.
    CrashReport beginTrial(const Fingerprint& request, TimePoint now);
    bool isQuarantined(const Fingerprint& request, TimePoint now) const;
    /// Returns whether no request is tracked; callers can then skip the computation of a fingerprint.
    bool isEmpty() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
