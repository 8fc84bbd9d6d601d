#pragma once

#include "Rattandeck/timer.h"
#include "RattandeckApp/log.h"
#include "RattandeckApp/metrics.h"
#include "RattandeckApp/settings.h"
#include "RattandeckNet/http.h"
#include "RattandeckNet/peer.h"

#include <functional>
#include <string>
#include <vector>

/// What the daemons (entry and sidecar) share: settings, listening, admin pages and the planned stop.
///
/// Thread safety: use from the event loop's thread.
namespace RattandeckApp {

// Settings -----------------------------------------------------------------------------------------------------------

/// Settings that every instance has.
struct InstanceSettings {
    std::string node;
    std::string domain;
    std::string peersListen = "127.0.0.1:0";
    /// What other processes dial; empty is the address listened on.
    std::string peersAdvertise;
    std::string adminListen = "127.0.0.1:0";
    LogSettings log;
};

/// Bind the keys of one table each. Precondition: `settings` outlives `schema`.
void bindIdentity(SettingsSchema& schema, InstanceSettings& settings);
/// `pages` says in the help text what the address is for.
void bindAdmin(SettingsSchema& schema, InstanceSettings& settings, const std::string& pages);
/// `dialers` says in the help text who connects.
void bindPeers(SettingsSchema& schema, InstanceSettings& settings, const std::string& dialers);
void bindLog(SettingsSchema& schema, LogSettings& settings);
/// Gateways and journals must be told the same.
void bindToleratedLosses(SettingsSchema& schema, std::int64_t& losses);
/// What the setting stands for: 1 at least.
std::size_t toleratedLosses(std::int64_t setting);

// Starting -----------------------------------------------------------------------------------------------------------

/// As `startLog`; a failure is told on standard error.
bool startInstanceLog(const InstanceSettings& settings);

/// Milliseconds of the wall clock: grows from one start to the next, also on another machine with a roughly right
/// clock.
Rattandeck::Incarnation incarnationFromClock();

/// Calls `listen` with the address read from `text`. Failures are logged and make it false.
bool listenAt(const std::string& text,
    const std::function<tl::expected<void, RattandeckNet::NetError>(const RattandeckNet::Address&)>& listen);

/// As above for anything with `listen(Address)`.
template <typename Listener> bool listenAt(const std::string& text, Listener& listener)
{
    return listenAt(text, [&listener](const RattandeckNet::Address& address) { return listener.listen(address); });
}

/// The requested address with the port that was bound.
std::string boundAddress(const std::string& requested, std::uint16_t port);

/// What other instances dial when `port` was bound.
std::string peersAddress(const InstanceSettings& settings, std::uint16_t port);

struct ReadyAddress {
    std::string name;
    std::string address;
};

/// Writes "ready NAME=ADDRESS ..." to standard output, for whoever started the process.
void printReady(const std::vector<ReadyAddress>& addresses);

/// Limits of the links between gateways and journals: callers wait for them, so a silent one is given up soon.
RattandeckNet::PeerLimits journalLinkLimits();

/// Hands buffered log lines to standard output from now on, until `timers` calls nobody any more.
void keepLogFlushed(Rattandeck::TimerService& timers);

// Operators ----------------------------------------------------------------------------------------------------------

/// Answers `/healthz`, `/readyz` (503 unless `isReady`) and `/metrics`; other paths get 404.
void answerAdmin(const RattandeckNet::HttpRequest& request, const RattandeckNet::HttpResponder& responder,
    const std::function<bool()>& isReady, const Metrics& metrics);

// Stopping -----------------------------------------------------------------------------------------------------------

/// Longest wait for links and connections to close at a planned stop.
constexpr Rattandeck::Milliseconds closeLimit { 2000 };

/// The steps of a planned stop.
struct PlannedStop {
    /// Whether all work is finished.
    std::function<bool()> isDrained;
    /// Begins to close links and connections.
    std::function<void()> close;
    /// Whether links and connections are closed.
    std::function<bool()> isClosed;
    /// Ends the event loop.
    std::function<void()> stop;
};

/// Waits until `isDrained`, calls `close`, waits until `isClosed` or for `closeLimit`, and calls `stop`. The steps are
/// called from within this call or from timers.
///
/// Precondition: what the steps refer to is there until `stop` is called, or until `timers` calls nobody any more.
void runPlannedStop(Rattandeck::TimerService& timers, PlannedStop steps);

}
