#include "pathbench.h"
#include "plan.h"
#include "programrun.h"
#include "results.h"

#include "RattandeckApp/commandline.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <unistd.h>

namespace Options = boost::program_options;
using namespace RattandeckLoad;
using RattandeckApp::ExitCode;
using RattandeckNet::Address;

namespace {

constexpr Milliseconds ledgerTimeout { 5000 };
constexpr Milliseconds progressInterval { 1000 };

struct CommandLine {
    WorkloadOptions workload;
    std::uint32_t durationSeconds = 10;
    std::uint32_t limitSeconds = 0;
    std::size_t concurrency = 64;
    std::vector<std::string> entries;
    std::vector<std::string> ledgers;
    std::string modelService;
    std::string plainService;
    std::string report;
    std::string benchEngine;
    bool quiet = false;
    bool allowUnknown = false;
};

/// One run of a workload, from the first arrival to the comparison of the records with the ledgers.
class LoadRun {
public:
    LoadRun(RattandeckNet::EventLoop& loop, const CommandLine& line, std::vector<Arrival> arrivals,
        const std::vector<Address>& entries, const std::vector<Address>& ledgers);

    /// Precondition: the loop runs until this object stops it.
    void start();
    Results results;

private:
    void onArrival(std::size_t index);
    void startWaitingPrograms();
    void onEnded(std::size_t index, const std::string& failure);
    void onLimit();
    void showProgress();
    void readLedgers();
    void onLedger(const tl::expected<RattandeckNet::HttpResponse, RattandeckNet::NetError>& response);

    RattandeckNet::EventLoop& loop;
    const CommandLine& line;
    std::vector<Arrival> arrivals;
    CallerApi api;
    RunContext context;
    Rattandeck::TimePoint begin;
    std::vector<std::size_t> waiting;
    std::size_t running = 0;
    std::size_t ended = 0;
    std::vector<std::unique_ptr<RattandeckNet::HttpClient>> ledgerClients;
    std::size_t pendingLedgers = 0;
    bool isReadingLedgers = false;
    std::vector<LedgerEntry> executed;
};

}

LoadRun::LoadRun(RattandeckNet::EventLoop& loop, const CommandLine& line, std::vector<Arrival> arrivals,
    const std::vector<Address>& entries, const std::vector<Address>& ledgers)
    : loop(loop)
    , line(line)
    , arrivals(std::move(arrivals))
    , api(loop, entries)
    , context { loop, this->api, this->results, line.modelService, line.plainService, {} }
{
    this->results.workload = line.workload.workload;
    this->results.seed = line.workload.seed;
    this->results.planned = this->arrivals.size();
    this->results.allowUnknown = line.allowUnknown;
    const auto sinceBoot = loop.timers().now().time_since_epoch().count();
    this->context.keyPrefix = line.workload.workload + "-" + std::to_string(sinceBoot) + "-" + std::to_string(getpid());
    for (const Address& ledger : ledgers)
        this->ledgerClients.push_back(std::make_unique<RattandeckNet::HttpClient>(loop, ledger));
}

void LoadRun::start()
{
    this->begin = this->loop.timers().now();
    for (std::size_t i = 0; i < this->arrivals.size(); ++i)
        this->loop.timers().subscribeAfter(this->arrivals[i].at, [this, i] { this->onArrival(i); });
    this->loop.timers().subscribeAfter(std::chrono::seconds(this->line.limitSeconds), [this] { this->onLimit(); });
    if (!this->line.quiet)
        this->showProgress();
}

void LoadRun::onArrival(std::size_t index)
{
    this->waiting.push_back(index);
    this->startWaitingPrograms();
}

void LoadRun::startWaitingPrograms()
{
    while (!this->waiting.empty() && this->running < this->line.concurrency && !this->isReadingLedgers) {
        const std::size_t index = this->waiting.front();
        this->waiting.erase(this->waiting.begin());
        ++this->running;
        ++this->results.started;
        const auto run = std::make_shared<ProgramRun>(this->context, this->arrivals[index].plan, index, std::string());
        run->start([this, index](const std::string& failure) { this->onEnded(index, failure); });
    }
}

void LoadRun::onEnded(std::size_t index, const std::string& failure)
{
    if (this->isReadingLedgers)
        return;
    --this->running;
    ++this->ended;
    const Arrival& arrival = this->arrivals[index];
    if (failure.empty()) {
        const std::chrono::duration<double> latency = this->loop.timers().now() - this->begin - arrival.at;
        ++this->results.finished;
        this->results.latencies.push_back(latency.count());
        if (latency <= arrival.plan.latencyTarget)
            ++this->results.withinLatencyTarget;
    } else {
        ++this->results.failures[failure];
    }
    if (this->ended == this->arrivals.size())
        this->readLedgers();
    else
        this->startWaitingPrograms();
}

void LoadRun::onLimit()
{
    if (this->isReadingLedgers)
        return;
    this->results.failures["time limit"] += this->arrivals.size() - this->ended;
    this->readLedgers();
}

void LoadRun::showProgress()
{
    const auto seconds
        = std::chrono::duration_cast<std::chrono::seconds>(this->loop.timers().now() - this->begin).count();
    std::cerr << seconds << " s: " << this->results.started << " programs started, " << this->results.finished
              << " finished, " << this->ended - this->results.finished << " failed, " << this->results.calls
              << " calls answered\n";
    this->loop.timers().subscribeAfter(progressInterval, [this] { this->showProgress(); });
}

// Ledgers --------------------------------------------------------------------------------------------------------

void LoadRun::readLedgers()
{
    this->isReadingLedgers = true;
    this->api.stopRetries();
    this->results.api = this->api.statistics();
    this->pendingLedgers = this->ledgerClients.size();
    this->results.ledgersRead = this->pendingLedgers > 0;
    if (this->pendingLedgers == 0)
        this->loop.stop();
    for (const auto& client : this->ledgerClients) {
        RattandeckNet::HttpRequest request;
        request.path = "/ledger";
        client->fetch(request, ledgerTimeout, [this](const auto& response) { this->onLedger(response); });
    }
}

void LoadRun::onLedger(const tl::expected<RattandeckNet::HttpResponse, RattandeckNet::NetError>& response)
{
    const Json ledger = response ? Json::parse(response->body, nullptr, false) : Json();
    if (!ledger.is_array())
        this->results.ledgersRead = false;
    for (const Json& call : ledger)
        this->executed.push_back({ call.value("key", std::string()), call.value("body", std::string()) });
    if (--this->pendingLedgers > 0)
        return;
    this->results.recordCounts = compareRecords(this->results.records, this->executed);
    this->loop.stop();
}

// Command line -----------------------------------------------------------------------------------------------------

static Options::options_description describeOptions(CommandLine& line)
{
    Options::options_description options("Usage: rattandeck-load --entry HOST:PORT ... [options]\n"
                                         "Runs a workload and checks every answer. Options");
    auto add = options.add_options();
    add("help", "print this");
    add("entry", Options::value(&line.entries)->required()->composing(),
        "address of an entry's callers' API; repeatable");
    add("ledger", Options::value(&line.ledgers)->composing(), "address of a plain service's stand-in; repeatable");
    add("workload", Options::value(&line.workload.workload)->default_value("vadodara"), "vadodara or mizani");
    add("model-service", Options::value(&line.modelService)->required(), "service of the model engines");
    add("plain-service", Options::value(&line.plainService), "service that keeps the records");
    add("programs", Options::value(&line.workload.programs)->default_value(60), "number of programs");
    add("concurrency", Options::value(&line.concurrency)->default_value(line.concurrency),
        "maximum number of concurrent programs");
    add("seed", Options::value(&line.workload.seed)->default_value(line.workload.seed), "seed of the programs");
    add("duration-s", Options::value(&line.durationSeconds)->default_value(line.durationSeconds),
        "time over which the arrivals are distributed");
    add("limit-s", Options::value(&line.limitSeconds),
        "time after which unfinished programs count as failed; 60 s after the last arrival unless given");
    add("report", Options::value(&line.report), "file for a JSON report");
    add("bench-path", Options::value(&line.benchEngine),
        "instead of a workload, compare calls through the first entry with direct ones to this model engine");
    add("allow-unknown", Options::bool_switch(&line.allowUnknown),
        "don't fail the run for records with an unknown outcome (for runs with faults that cause them)");
    add("quiet", Options::bool_switch(&line.quiet), "show no progress");
    return options;
}

static std::optional<ExitCode> readOptions(int argc, char** argv, CommandLine& line)
{
    constexpr std::uint32_t drainSeconds = 60;
    const Options::options_description options = describeOptions(line);
    try {
        Options::variables_map values;
        Options::store(Options::parse_command_line(argc, argv, options), values);
        if (values.contains("help")) {
            std::cout << options;
            return RattandeckApp::ExitSuccess;
        }
        Options::notify(values);
        if (line.benchEngine.empty() && line.plainService.empty())
            throw Options::required_option("--plain-service");
        if (!values.contains("limit-s"))
            line.limitSeconds = line.durationSeconds + drainSeconds;
    } catch (const Options::error& error) {
        std::cerr << error.what() << '\n';
        return RattandeckApp::ExitUsage;
    }
    line.workload.duration = std::chrono::seconds(line.durationSeconds);
    return std::nullopt;
}

static std::optional<std::vector<Address>> parseAddresses(const std::vector<std::string>& texts)
{
    std::vector<Address> addresses;
    for (const std::string& text : texts) {
        const auto address = RattandeckNet::parseAddress(text);
        if (!address) {
            std::cerr << text << ": invalid address, expected HOST:PORT\n";
            return std::nullopt;
        }
        addresses.push_back(*address);
    }
    return addresses;
}

static bool writeReport(const std::string& file, const Results& results)
{
    std::ofstream output(file);
    output << toJson(results).dump(2) << '\n';
    output.close();
    return output.good();
}

static int benchPath(const CommandLine& line, const Address& entry)
{
    const auto engine = parseAddresses({ line.benchEngine });
    if (!engine)
        return RattandeckApp::ExitUsage;
    RattandeckNet::EventLoop loop;
    const Json result = runPathBench(loop, { engine->front(), entry, line.modelService });
    std::cout << result.dump(2) << '\n';
    return result.contains("error") ? RattandeckApp::ExitFailure : RattandeckApp::ExitSuccess;
}

int main(int argc, char** argv)
{
    CommandLine line;
    if (const auto code = readOptions(argc, argv, line))
        return *code;
    const auto entries = parseAddresses(line.entries);
    if (entries && !line.benchEngine.empty())
        return benchPath(line, entries->front());
    const auto ledgers = parseAddresses(line.ledgers);
    auto arrivals = planWorkload(line.workload);
    if (!entries || !ledgers)
        return RattandeckApp::ExitUsage;
    if (!arrivals) {
        std::cerr << line.workload.workload << ": unknown workload, expected vadodara or mizani\n";
        return RattandeckApp::ExitUsage;
    }
    RattandeckNet::EventLoop loop;
    LoadRun run(loop, line, std::move(*arrivals), *entries, *ledgers);
    run.start();
    loop.run();
    std::cout << toTable(run.results);
    if (!line.report.empty() && !writeReport(line.report, run.results)) {
        std::cerr << "can't write " << line.report << '\n';
        return RattandeckApp::ExitFailure;
    }
    return isGood(run.results) ? RattandeckApp::ExitSuccess : RattandeckApp::ExitFailure;
}
