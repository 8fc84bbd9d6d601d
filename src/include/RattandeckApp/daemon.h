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

/// Functions that the daemons share: common settings, listening, admin pages and the planned stop.
///
/// Thread safety: use from the event loop's thread.
namespace RattandeckApp {

// Settings -----------------------------------------------------------------------------------------------------------

/// Settings that every instance has.
struct InstanceSettings {
    std::string node;
    std::string domain;
    std::string peersListen = "127.0.0.1:0";
    /// Address that other processes connect to; if empty, the listening address.
    std::string peersAdvertise;
    std::string adminListen = "127.0.0.1:0";
    /// 0 is the memory of the machine.
    std::int64_t memoryLimitMb = 0;
    LogSettings log;
};

/// Each of these binds the keys of one settings table. Precondition: `settings` outlives `schema`.
void bindIdentity(SettingsSchema& schema, InstanceSettings& settings);
/// The help text of `admin.listen` says that the address is for `pages`.
void bindAdmin(SettingsSchema& schema, InstanceSettings& settings, const std::string& pages);
/// The help text of `peers.listen` says that the address is for `dialers`: the processes that connect to it.
void bindPeers(SettingsSchema& schema, InstanceSettings& settings, const std::string& dialers);
void bindLog(SettingsSchema& schema, LogSettings& settings);
/// Gateways and journals must be configured with the same value.
void bindToleratedLosses(SettingsSchema& schema, std::int64_t& losses);
/// Converts the setting to the value in effect, which is at least 1.
std::size_t toleratedLosses(std::int64_t setting);

// Starting -----------------------------------------------------------------------------------------------------------

/// Calls `startLog` and reports a failure on standard error.
bool startInstanceLog(const InstanceSettings& settings);

/// Wall-clock time in milliseconds. It increases from one start of an instance to the next, also when the instance
/// moves to another machine, as long as the clocks are roughly synchronised.
Rattandeck::Incarnation incarnationFromClock();

/// Parses `text` and calls `listen` with the address. Logs any failure and returns false.
bool listenAt(const std::string& text,
    const std::function<tl::expected<void, RattandeckNet::NetError>(const RattandeckNet::Address&)>& listen);

/// Overload for objects that have a member `listen(Address)`.
template <typename Listener> bool listenAt(const std::string& text, Listener& listener)
{
    return listenAt(text, [&listener](const RattandeckNet::Address& address) { return listener.listen(address); });
}

/// The requested address with its port replaced by the bound one.
std::string boundAddress(const std::string& requested, std::uint16_t port);

/// The address that other instances connect to, given the bound port.
std::string peersAddress(const InstanceSettings& settings, std::uint16_t port);

struct ReadyAddress {
    std::string name;
    std::string address;
};

/// Writes "ready NAME=ADDRESS ..." to standard output, for the process manager or test that started the process.
void printReady(const std::vector<ReadyAddress>& addresses);

/// Limits for links between gateways and journals. Callers' requests wait on these links, so the timeouts are shorter
/// than the defaults and an unresponsive link is dropped early.
RattandeckNet::PeerLimits journalLinkLimits();
/// Logs a message that was too long to be sent; see `PeerHandlers::onTooLong`.
void logTooLong(const Rattandeck::NodeId& to, const Rattandeck::Message& message, std::size_t bytes);

// Running ------------------------------------------------------------------------------------------------------------

/// What a daemon that reloads its settings gives to `runUntilStopped`.
struct DaemonRun {
    std::string node;
    /// Appended to the log line of the start.
    std::string startDetail;
    /// Passed to `printReady`.
    std::vector<ReadyAddress> addresses;
    /// Called on each SIGTERM and SIGINT. Ends the loop when the daemon has stopped.
    std::function<void()> onStop;
    /// Called on each SIGHUP.
    std::function<void()> onReload;
};

/// Handles signals, keeps the log flushed, logs the start and the end, prints that the daemon is ready, and runs `loop`
/// until it is stopped. Precondition: the daemon listens already.
void runUntilStopped(RattandeckNet::EventLoop& loop, const DaemonRun& run);

// Operators ----------------------------------------------------------------------------------------------------------

/// Answers `/healthz`, `/readyz` (503 unless `isReady` returns true) and `/metrics`; other paths get 404.
void answerAdmin(const RattandeckNet::HttpRequest& request, const RattandeckNet::HttpResponder& responder,
    const std::function<bool()>& isReady, const Metrics& metrics);

/// Provides `rattandeck_link_bytes_total`: the bytes of messages on the links of `network`, by direction and kind.
/// Precondition: `network` outlives the last rendering of `metrics`.
void provideLinkTraffic(Metrics& metrics, const RattandeckNet::PeerNetwork& network);

// Stopping -----------------------------------------------------------------------------------------------------------

/// Maximum time that a planned stop waits for links and connections to close.
constexpr Rattandeck::Milliseconds closeLimit { 2000 };

/// Callbacks of a planned stop.
struct PlannedStop {
    /// Returns whether all work in flight has finished.
    std::function<bool()> isDrained;
    /// Starts closing links and connections.
    std::function<void()> close;
    /// Returns whether all links and connections are closed.
    std::function<bool()> isClosed;
    /// Ends the event loop.
    std::function<void()> stop;
};

/// Waits until `isDrained` holds and calls `close`, then waits until `isClosed` holds or `closeLimit` has passed and
/// calls `stop`. The callbacks run within this call or from timers.
///
/// Precondition: objects that the callbacks refer to exist until `stop` has been called, or until `timers` runs no more
/// timers.
void runPlannedStop(Rattandeck::TimerService& timers, PlannedStop steps);

}
