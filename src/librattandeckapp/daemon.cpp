#include "RattandeckApp/daemon.h"

#include "Rattandeck/wire.h"
#include "RattandeckApp/log.h"
#include "RattandeckApp/version.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>

using namespace Rattandeck;
using namespace RattandeckNet;

namespace RattandeckApp {

// Settings -----------------------------------------------------------------------------------------------------------

void bindIdentity(SettingsSchema& schema, InstanceSettings& settings)
{
    schema.addRequiredString("node", settings.node, "name of this instance, unique in the system");
    schema.addRequiredString("domain", settings.domain, "failure domain of this instance");
}

void bindAdmin(SettingsSchema& schema, InstanceSettings& settings, const std::string& pages)
{
    schema.addAddress("admin.listen", settings.adminListen, "address for " + pages + " (HTTP)");
}

void bindPeers(SettingsSchema& schema, InstanceSettings& settings, const std::string& dialers)
{
    schema.addAddress("peers.listen", settings.peersListen, "address for " + dialers + " (HTTP/2)");
    schema.addAddress("peers.advertise", settings.peersAdvertise, "address that others dial, if it differs");
}

void bindLog(SettingsSchema& schema, LogSettings& settings)
{
    schema.addChoice("log.level", settings.level, { "debug", "info", "warning", "error" }, "lowest level written");
    schema.addChoice("log.format", settings.format, { "text", "json" }, "form of the lines");
    schema.addString("log.file", settings.file, "file to append to; empty is standard error, \"-\" standard output");
    schema.addInteger("log.bytes_per_second", settings.bytesPerSecond, 1024, 1 << 30,
        "most that goes to standard output; what is beyond is dropped and counted");
}

void bindToleratedLosses(SettingsSchema& schema, std::int64_t& losses)
{
    constexpr std::int64_t most = 4;
    schema.addInteger("journals.tolerated_losses", losses, 0, most,
        "disks that may be lost at once, taken for 1 at least; a record has one copy more, and twice as many "
        "journals and one are kept");
}

std::size_t toleratedLosses(std::int64_t setting)
{
    return static_cast<std::size_t>(std::max<std::int64_t>(setting, 1));
}

// Starting -----------------------------------------------------------------------------------------------------------

bool startInstanceLog(const InstanceSettings& settings)
{
    if (startLog(settings.log, settings.node))
        return true;
    std::cerr << settings.log.file << ": can't be opened\n";
    return false;
}

Incarnation incarnationFromClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count()));
}

bool listenAt(
    const std::string& text, const std::function<tl::expected<void, NetError>(const Address& address)>& listen)
{
    const auto address = parseAddress(text);
    const auto result = address ? listen(*address) : tl::unexpected(address.error());
    if (!result)
        logError("listen", text + ": " + std::string(describe(result.error())));
    return result.has_value();
}

std::string boundAddress(const std::string& requested, std::uint16_t port)
{
    Address address = parseAddress(requested).value_or(Address {});
    address.port = port;
    return toString(address);
}

std::string peersAddress(const InstanceSettings& settings, std::uint16_t port)
{
    if (!settings.peersAdvertise.empty())
        return settings.peersAdvertise;
    return boundAddress(settings.peersListen, port);
}

void printReady(const std::vector<ReadyAddress>& addresses)
{
    std::cout << "ready";
    for (const ReadyAddress& ready : addresses)
        std::cout << " " << ready.name << "=" << ready.address;
    std::cout << std::endl;
}

PeerLimits journalLinkLimits()
{
    PeerLimits limits;
    limits.pingInterval = Milliseconds(400);
    limits.silenceLimit = Milliseconds(1200);
    limits.reconnectDelay = Milliseconds(60);
    limits.connectTimeout = Milliseconds(200);
    return limits;
}

// Running ------------------------------------------------------------------------------------------------------------

/// Flushes buffered log lines to standard output periodically, for as long as `timers` runs its timers.
static void keepLogFlushed(TimerService& timers)
{
    constexpr Milliseconds interval { 100 };
    flushLog();
    timers.subscribeAfter(interval, [&timers] { keepLogFlushed(timers); });
}

void runUntilStopped(EventLoop& loop, const DaemonRun& run)
{
    keepLogFlushed(loop.timers());
    loop.onHandlerError([](const std::exception& error) { logError("unexpected error", error.what()); });
    loop.onSignal(SIGTERM, run.onStop);
    loop.onSignal(SIGINT, run.onStop);
    loop.onSignal(SIGHUP, run.onReload);
    logEvent("start", "version " + std::string(version()) + ", node " + run.node + run.startDetail);
    printReady(run.addresses);
    loop.run();
    logEvent("stopped", run.node);
    flushLog();
}

// Operators ----------------------------------------------------------------------------------------------------------

void answerAdmin(const HttpRequest& request, const HttpResponder& responder, const std::function<bool()>& isReady,
    const Metrics& metrics)
{
    const HttpHeaders text { { "content-type", "text/plain; version=0.0.4" } };
    if (request.path == "/healthz")
        return responder.send({ 200, text, "ok\n" });
    if (request.path == "/readyz") {
        const bool ready = isReady();
        return responder.send({ ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n" });
    }
    if (request.path == "/metrics")
        return responder.send({ 200, text, metrics.render() });
    responder.send({ 404, text, "no such page\n" });
}

void provideLinkTraffic(Metrics& metrics, const PeerNetwork& network)
{
    metrics.provideFamily("rattandeck_link_bytes_total", "counter", [&network] {
        std::vector<std::pair<MetricLabels, double>> values;
        const auto add = [&values](const char* direction, const PeerTrafficByKind& traffic) {
            for (const auto& [kind, ofKind] : traffic)
                values.emplace_back(
                    MetricLabels { { "direction", direction }, { "kind", std::string(kind) } }, double(ofKind.bytes));
        };
        add("received", network.receivedTraffic());
        add("sent", network.sentTraffic());
        return values;
    });
    metrics.provide(
        "rattandeck_link_messages_skipped_total", "counter", [&network] { return double(network.skippedMessages()); });
}

void logTooLong(const NodeId& to, const Message& message, std::size_t bytes)
{
    logFields("message too long",
        { { "to", to.value }, { "kind", std::string(kindName(message)) }, { "bytes", std::int64_t(bytes) } });
}

// Stopping -----------------------------------------------------------------------------------------------------------

namespace {

    constexpr Milliseconds drainCheckInterval { 50 };
    constexpr Milliseconds closeCheckInterval { 10 };

    void awaitClosed(TimerService& timers, const std::shared_ptr<PlannedStop>& steps, TimePoint latest)
    {
        if (steps->isClosed() || timers.now() >= latest)
            return steps->stop();
        timers.subscribeAfter(closeCheckInterval, [&timers, steps, latest] { awaitClosed(timers, steps, latest); });
    }

    void awaitDrained(TimerService& timers, const std::shared_ptr<PlannedStop>& steps)
    {
        if (steps->isDrained()) {
            steps->close();
            return awaitClosed(timers, steps, timers.now() + closeLimit);
        }
        timers.subscribeAfter(drainCheckInterval, [&timers, steps] { awaitDrained(timers, steps); });
    }

}

void runPlannedStop(TimerService& timers, PlannedStop steps)
{
    awaitDrained(timers, std::make_shared<PlannedStop>(std::move(steps)));
}

}
