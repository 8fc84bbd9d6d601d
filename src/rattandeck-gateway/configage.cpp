#include "configage.h"

#include "platform/names.h"
#include "RattandeckApp/log.h"

#include <random>

using namespace Rattandeck;
using namespace RattandeckApp;

/// Interval at which the age is checked, while there is a bound.
constexpr Milliseconds checkInterval { 100 };

ConfigAge::ConfigAge(RattandeckNet::EventLoop& loop, Gateway& gateway, StoreFeed& feed, const GossipTable::Send& send,
    std::function<void()> onChanged)
    : timers(loop.timers())
    , gateway(gateway)
    , feed(feed)
    , onChanged(std::move(onChanged))
    , confirmation(this->timers, this->io(send), std::random_device {}())
{
    feed.onRevision([this](std::uint64_t revision, bool hasKeys) {
        this->confirmation.onConfig(revision, hasKeys);
        this->check();
    });
}

ConfigConfirmation::Io ConfigAge::io(const GossipTable::Send& send)
{
    ConfigConfirmation::Io io;
    io.send = send;
    io.readStore = [this] { this->readStore(); };
    io.ownView = [this]() -> std::optional<ConfigConfirmed> {
        const auto view = this->feed.news().configView();
        if (!view)
            return std::nullopt;
        return ConfigConfirmed { view->revision, this->timers.now() - view->age };
    };
    io.gatewayCount = [this] { return this->gateway.permits().gatewayCount().value_or(1); };
    io.onConfirmed = [this](TimePoint confirmedAt) {
        this->gateway.onConfigConfirmed(confirmedAt);
        this->check();
    };
    return io;
}

void ConfigAge::setMaxAge(Milliseconds stated)
{
    this->maxAge = stated;
    this->confirmation.setMaxAge(stated);
    if (this->isWatching)
        return;
    this->isWatching = true;
    this->watch();
}

void ConfigAge::onMessage(const NodeId& from, const Message& message) { this->confirmation.onMessage(from, message); }

void ConfigAge::readStore()
{
    const TimePoint sentAt = this->timers.now();
    this->store->read(Platform::Names::configKind, Platform::Names::configName, [this, sentAt](const auto& result) {
        if (!result)
            return;
        this->feed.news().onConfigRead(*result);
        this->confirmation.onStoreRead(result->revision, sentAt);
    });
}

void ConfigAge::watch()
{
    this->check();
    if (this->maxAge <= Milliseconds(0)) {
        this->isWatching = false;
        return;
    }
    this->timers.subscribeAfter(checkInterval, [this] { this->watch(); });
}

std::optional<Milliseconds> ConfigAge::age() const
{
    const auto confirmedAt = this->confirmation.confirmedAt();
    if (!confirmedAt || this->maxAge <= Milliseconds(0))
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(this->timers.now() - *confirmedAt);
}

void ConfigAge::check()
{
    const bool isTooOldNow = this->isTooOld();
    if (isTooOldNow == this->wasTooOld)
        return;
    this->wasTooOld = isTooOldNow;
    logFields(isTooOldNow ? "configuration too old for keys" : "confirmed again",
        { { "age_ms", std::int64_t(this->age().value_or(Milliseconds(-1)).count()) },
            { "max_age_ms", std::int64_t(this->maxAge.count()) } });
    this->onChanged();
}

void ConfigAge::provideMetrics(Metrics& metrics) const
{
    metrics.provide("rattandeck_config_confirmed_age_seconds", "gauge", [this] {
        const auto present = this->age();
        return present ? std::chrono::duration<double>(*present).count() : -1.0;
    });
}
