#include "standin.h"

#include "RattandeckApp/commandline.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <map>
#include <optional>

namespace Options = boost::program_options;
using namespace RattandeckStandin;
using RattandeckApp::ExitCode;

namespace {

struct CommandLine {
    std::string mode;
    std::string listen = "127.0.0.1:0";
    std::uint32_t delayMs = 0;
    std::uint32_t lagMs = 0;
    std::uint32_t eventDelayMs = 500;
    std::uint32_t loadLagMs = 200;
    std::uint32_t latencyMs = 20;
    ObjectsOptions objects;
    EngineOptions engine;
    ServiceOptions service;
};

}

static Options::options_description describeOptions(CommandLine& line)
{
    Options::options_description options("Usage: rattandeck-standin MODE [options]\n"
                                         "MODE is objects, instances, engine or service. Options");
    auto add = options.add_options();
    add("help", "print this");
    add("mode", Options::value(&line.mode)->required(), "kind of service to simulate");
    add("listen", Options::value(&line.listen)->default_value(line.listen),
        "listening address; port 0 selects a free port");
    add("delay-ms", Options::value(&line.delayMs)->default_value(line.delayMs), "delay before a request is processed");
    add("data", Options::value(&line.objects.dataFile), "objects: journal file, loaded at start-up");
    add("lag-ms", Options::value(&line.lagMs)->default_value(line.lagMs), "instances: age of the returned list");
    add("speed", Options::value(&line.engine.speed)->default_value(line.engine.speed), "engine: speed-up factor");
    add("max-batch", Options::value(&line.engine.maxBatch)->default_value(line.engine.maxBatch),
        "engine: maximum number of running sequences");
    add("cache-tokens", Options::value(&line.engine.cacheTokens)->default_value(line.engine.cacheTokens),
        "engine: size of the memory for prefixes and running sequences");
    add("event-delay-ms", Options::value(&line.eventDelayMs)->default_value(line.eventDelayMs),
        "engine: delay of cache events");
    add("event-gap", Options::value(&line.engine.eventGap)->default_value(line.engine.eventGap),
        "engine: every n-th cache event is lost; 0: none");
    add("load-lag-ms", Options::value(&line.loadLagMs)->default_value(line.loadLagMs),
        "engine: maximum age of the reported load");
    add("latency-ms", Options::value(&line.latencyMs)->default_value(line.latencyMs), "service: time of a call");
    add("ledger", Options::value(&line.service.ledgerFile), "service: file of the executed calls");
    return options;
}

static std::optional<ExitCode> readOptions(int argc, char** argv, CommandLine& line)
{
    const Options::options_description options = describeOptions(line);
    Options::positional_options_description positional;
    positional.add("mode", 1);
    try {
        Options::variables_map values;
        Options::store(Options::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        if (values.contains("help")) {
            std::cout << options;
            return RattandeckApp::ExitSuccess;
        }
        Options::notify(values);
    } catch (const Options::error& error) {
        std::cerr << error.what() << '\n';
        return RattandeckApp::ExitUsage;
    }
    if (line.engine.speed <= 0) {
        std::cerr << "--speed must be greater than 0\n";
        return RattandeckApp::ExitUsage;
    }
    line.engine.eventDelay = Milliseconds(line.eventDelayMs);
    line.engine.loadLag = Milliseconds(line.loadLagMs);
    line.service.latency = Milliseconds(line.latencyMs);
    return std::nullopt;
}

static std::optional<Mode> makeMode(EventLoop& loop, Faults& faults, const CommandLine& line)
{
    if (line.mode == "objects")
        return makeObjects(loop, faults, line.objects);
    if (line.mode == "instances")
        return makeInstances(loop, { Milliseconds(line.lagMs) });
    if (line.mode == "engine")
        return makeEngine(loop, line.engine);
    if (line.mode == "service")
        return makeService(loop, faults, line.service);
    return std::nullopt;
}

static void changeFaults(const HttpRequest& request, const HttpResponder& responder, const Mode& mode, Faults& faults)
{
    if (!readFaults(Json::parse(request.body, nullptr, false), faults)) {
        answerError(responder, 400, "not an object of known faults");
        return;
    }
    if (mode.onFaultsChanged)
        mode.onFaultsChanged();
    answer(responder, 200, Json::object());
}

/// Passes a request to the mode, or answers it as the active faults require.
static void handle(
    EventLoop& loop, const Mode& mode, Faults& faults, const HttpRequest& request, const HttpResponder& responder)
{
    if (request.path == "/faults") {
        changeFaults(request, responder, mode, faults);
        return;
    }
    if (request.path != "/stats" && faults.close) {
        responder.abort();
        return;
    }
    if (request.path != "/stats" && faults.down) {
        answerError(responder, 503, "fault");
        return;
    }
    if (faults.delay == Milliseconds(0)) {
        mode.handle(request, responder);
        return;
    }
    loop.timers().subscribeAfter(faults.delay, [&mode, request, responder] { mode.handle(request, responder); });
}

static int run(const CommandLine& line)
{
    EventLoop loop;
    Faults faults;
    faults.delay = Milliseconds(line.delayMs);
    const std::optional<Mode> mode = makeMode(loop, faults, line);
    const auto address = RattandeckNet::parseAddress(line.listen);
    if (!mode || !address) {
        std::cerr << (mode ? "--listen: invalid address, expected HOST:PORT\n"
                           : "unknown mode, expected objects, instances, engine or service\n");
        return RattandeckApp::ExitUsage;
    }
    RattandeckNet::HttpLimits limits;
    // Clients of stand-ins are trusted, and watches keep their connections open.
    limits.maxConnections = 8192;
    RattandeckNet::HttpServer server(loop, limits, [&](const HttpRequest& request, const HttpResponder& responder) {
        handle(loop, *mode, faults, request, responder);
    });
    if (!server.listen(*address)) {
        std::cerr << "can't listen on " << line.listen << '\n';
        return RattandeckApp::ExitUnavailable;
    }
    std::cout << "listening " << address->host << ':' << server.port() << std::endl;
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    loop.run();
    return RattandeckApp::ExitSuccess;
}

int main(int argc, char** argv)
{
    CommandLine line;
    if (const auto code = readOptions(argc, argv, line))
        return *code;
    return run(line);
}
