#pragma once

#include "Rattandeck/endpoints.h"
#include "Rattandeck/journalmessages.h"

#include <memory>
#include <vector>

namespace Rattandeck {

struct CrashWatchLimits {
    /// An instance found dead within this time after it lost a call's answer is taken to have crashed on the call.
    Milliseconds evidenceWindow { 5000 };
    /// Crashes after which a request is not sent any more.
    std::size_t crashLimit = 3;
    Milliseconds memory { 600000 };
    /// Lost answers that are kept in mind at once.
    std::size_t maxSuspects = 2000;
};

/// Tells requests that crash every instance that runs them. A lost answer alone proves nothing; an instance that turns
/// out to be dead soon after does. A request that was answered since is innocent.
///
/// Thread safety: not synchronised.
class CrashWatch {
public:
    explicit CrashWatch(CrashWatchLimits limits = {});
    ~CrashWatch();
    CrashWatch(const CrashWatch&) = delete;
    CrashWatch& operator=(const CrashWatch&) = delete;

    /// The instance, in the run that began at `startedAt`, lost the answer to a request.
    void onLost(const Fingerprint& request, const EndpointId& instance, std::int64_t startedAt, TimePoint now);
    /// The instance can't be reached, was restarted or is gone. Returns what is to be told to the other gateways.
    std::vector<CrashReport> onDead(const EndpointId& instance, TimePoint now);
    void onAnswered(const Fingerprint& request);
    /// Told by another gateway, or read back.
    void onReport(const CrashReport& report, TimePoint now);

    bool isHeld(const Fingerprint& request, TimePoint now) const;
    /// Nothing is known, so that no fingerprint is needed.
    bool isEmpty() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
