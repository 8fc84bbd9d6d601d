#pragma once

#include "platform/objectstore.h"
#include "Rattandeck/configconfirmation.h"
#include "Rattandeck/gateway.h"
#include "RattandeckApp/metrics.h"
#include "storefeed.h"

/// Keeps the gateway's configuration confirmed as current, and tells when it is too old for callers' keys.
///
/// Thread safety: use from the loop's thread. Precondition: the loop, the gateway and the feed outlive this object, and
/// the loop doesn't run after its destruction.
class ConfigAge {
public:
    /// `onChanged` is called after `isTooOld` has changed.
    ConfigAge(RattandeckNet::EventLoop& loop, Rattandeck::Gateway& gateway, StoreFeed& feed,
        const Rattandeck::GossipTable::Send& send, std::function<void()> onChanged);

    /// Precondition: called once; `store` outlives this object's last use.
    void start(Platform::ObjectStore& store) { this->store = &store; }
    /// As `GatewayLimits::maxConfigAge`, which the gateway has got already.
    void setMaxAge(Rattandeck::Milliseconds maxAge);

    void onLinkUp(const Rattandeck::NodeId& journal) { this->confirmation.onLinkUp(journal); }
    void onLinkDown(const Rattandeck::NodeId& journal) { this->confirmation.onLinkDown(journal); }
    void onMessage(const Rattandeck::NodeId& from, const Rattandeck::Message& message);

    bool isTooOld() const { return this->gateway.isConfigTooOld(); }

    /// Provides `rattandeck_config_confirmed_age_seconds`, which is -1 before the first confirmation and while there is
    /// no bound. Precondition: this object outlives the last rendering of `metrics`.
    void provideMetrics(RattandeckApp::Metrics& metrics) const;

private:
    Rattandeck::ConfigConfirmation::Io io(const Rattandeck::GossipTable::Send& send);
    void readStore();
    void check();
    void watch();
    std::optional<Rattandeck::Milliseconds> age() const;

    Rattandeck::TimerService& timers;
    Rattandeck::Gateway& gateway;
    StoreFeed& feed;
    std::function<void()> onChanged;
    Rattandeck::ConfigConfirmation confirmation;
    Platform::ObjectStore* store = nullptr;
    Rattandeck::Milliseconds maxAge { 0 };
    bool wasTooOld = false;
    bool isWatching = false;
};
