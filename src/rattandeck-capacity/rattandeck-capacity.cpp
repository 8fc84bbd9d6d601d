// Measures the figures of docs/CAPACITY.md: the cost, for each role, of each additional sidecar, entry, program, token,
// configuration change or takeover. Prints one CSV line per measurement, then the least-squares slopes.

#include "localsystem.h"
#include "Rattandeck/wire.h"
#include "RattandeckApp/callerjson.h"
#include "RattandeckApp/log.h"

#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <span>

using namespace Rattandeck;

// Table --------------------------------------------------------------------------------------------------------------

namespace {

struct Point {
    double size = 0;
    double value = 0;
};

// Prints the points and their least-squares line: value = fixed + slope * size.
void report(
    const std::string& measure, const std::string& sizeUnit, const std::string& unit, std::span<const Point> points)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const Point& point : points) {
        std::cout << measure << ',' << point.size << ',' << sizeUnit << ',' << point.value << ',' << unit << '\n';
        meanSize += point.size / static_cast<double>(points.size());
        meanValue += point.value / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Point& point : points) {
        covariance += (point.size - meanSize) * (point.value - meanValue);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    std::cout << measure << ",slope," << unit << " per " << sizeUnit << ',' << slope << ",fixed "
              << meanValue - slope * meanSize << std::endl;
}

double microseconds(std::chrono::nanoseconds time) { return std::chrono::duration<double, std::micro>(time).count(); }

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Requests -----------------------------------------------------------------------------------------------------------

constexpr Milliseconds settleTime { 8000 };
constexpr Milliseconds answerLimit { 20000 };
const std::array<const char*, 3> domains { "a", "b", "c" };

struct Fleet {
    std::vector<NodeId> entries;
    std::vector<NodeId> sidecars;
};

Fleet start(LocalSystem& system, std::size_t entries, std::size_t sidecars)
{
    Fleet fleet;
    for (std::size_t i = 0; i < entries; ++i)
        fleet.entries.push_back(system.addEntry("entry-" + std::to_string(i), domains[i % domains.size()]));
    for (std::size_t i = 0; i < sidecars; ++i)
        fleet.sidecars.push_back(system.addSidecar("sidecar-" + std::to_string(i), domains[i % domains.size()]));
    system.run(settleTime);
    return fleet;
}

ProgramId open(LocalSystem& system, const NodeId& entry)
{
    CallerRequest request;
    request.kind = CallKind::OpenProgram;
    request.organisation = OrganisationId("organisation");
    request.service = ServiceName("model");
    request.latencyTarget = Milliseconds(60000);
    request.budget = TokenCount(100'000'000);
    request.timeLeft = Milliseconds(10000);
    const auto answer = system.await(system.sendRequest(entry, request), answerLimit);
    const auto* done = answer ? std::get_if<AnswerDone>(&*answer) : nullptr;
    return done ? done->program : ProgramId {};
}

// Sends a call and waits for its answer. Returns false when it was refused or not answered in time.
bool call(LocalSystem& system, const NodeId& entry, const ProgramId& program, std::size_t inputBytes)
{
    CallerRequest request;
    request.kind = CallKind::Call;
    request.program = program;
    request.input = std::string(inputBytes, 'i');
    request.maxOutputTokens = TokenCount(100);
    request.timeLeft = Milliseconds(10000);
    const auto answer = system.await(system.sendRequest(entry, request), answerLimit);
    return answer && std::holds_alternative<AnswerDone>(*answer);
}

// Steady state -------------------------------------------------------------------------------------------------------

constexpr Milliseconds steadyStateTime { 30000 };

struct SteadyState {
    double entryCpu = 0;
    double sidecarCpu = 0;
    double entryBytes = 0;
    double sidecarBytes = 0;
    double storeReads = 0;
    double storeWrites = 0;
    double watchEvents = 0;
};

// Cost of an idle system per second: processor time in microseconds and bytes sent of the first entry and of the first
// sidecar, and operations of the object store.
SteadyState measureSteadyState(std::size_t entries, std::size_t sidecars)
{
    LocalSystem system(64);
    const Fleet fleet = start(system, entries, sidecars);
    const ResourceUsage entryBefore = system.usage(fleet.entries[0]);
    const ResourceUsage sidecarBefore = system.usage(fleet.sidecars[0]);
    const StoreCalls storeBefore = system.storeCalls();
    system.run(steadyStateTime);
    const double seconds = std::chrono::duration<double>(steadyStateTime).count();
    const ResourceUsage& entry = system.usage(fleet.entries[0]);
    const ResourceUsage& sidecar = system.usage(fleet.sidecars[0]);
    const StoreCalls& store = system.storeCalls();
    SteadyState state;
    state.entryCpu = microseconds(entry.processorTime - entryBefore.processorTime) / seconds;
    state.sidecarCpu = microseconds(sidecar.processorTime - sidecarBefore.processorTime) / seconds;
    state.entryBytes = static_cast<double>(entry.bytes - entryBefore.bytes) / seconds;
    state.sidecarBytes = static_cast<double>(sidecar.bytes - sidecarBefore.bytes) / seconds;
    state.storeReads = static_cast<double>(store.reads - storeBefore.reads) / seconds;
    state.storeWrites = static_cast<double>(store.writes - storeBefore.writes) / seconds;
    state.watchEvents = static_cast<double>(store.watchEvents - storeBefore.watchEvents) / seconds;
    return state;
}

void reportSteadyState(const std::string& sweptUnit, const std::vector<std::pair<std::size_t, SteadyState>>& states)
{
    const auto column = [&](const std::string& measure, const std::string& unit, double SteadyState::*field) {
        std::vector<Point> points;
        points.reserve(states.size());
        for (const auto& [size, state] : states)
            points.push_back({ static_cast<double>(size), state.*field });
        report("steady " + measure, sweptUnit, unit, points);
    };
    column("entry processor time", "us/s", &SteadyState::entryCpu);
    column("sidecar processor time", "us/s", &SteadyState::sidecarCpu);
    column("entry sends", "bytes/s", &SteadyState::entryBytes);
    column("sidecar sends", "bytes/s", &SteadyState::sidecarBytes);
    column("store reads", "calls/s", &SteadyState::storeReads);
    column("store writes", "calls/s", &SteadyState::storeWrites);
    column("store watch events", "events/s", &SteadyState::watchEvents);
}

void measureSteadyStates()
{
    std::vector<std::pair<std::size_t, SteadyState>> bySidecars;
    for (const std::size_t sidecars : { 25, 50, 100, 200 })
        bySidecars.emplace_back(sidecars, measureSteadyState(3, sidecars));
    reportSteadyState("sidecar", bySidecars);
    std::vector<std::pair<std::size_t, SteadyState>> byEntries;
    for (const std::size_t entries : { 3, 6, 12, 24 })
        byEntries.emplace_back(entries, measureSteadyState(entries, 12));
    reportSteadyState("entry", byEntries);
}

// Programs and calls -------------------------------------------------------------------------------------------------

struct ProgramCost {
    double cpuPerCall = 0;
    double sidecarCpuPerCall = 0;
    double bytesPerCall = 0;
    double heapPerProgram = 0;
};

// Opens programs and runs some turns of each. The heap is that of all processes together, which hold each item at least
// twice.
ProgramCost measurePrograms(std::size_t programs, std::size_t turns, std::size_t inputBytes)
{
    LocalSystem system(16);
    const Fleet fleet = start(system, 3, 6);
    const double heapBefore = heapBytes();
    std::vector<ProgramId> opened;
    for (std::size_t i = 0; i < programs; ++i)
        opened.push_back(open(system, fleet.entries[i % fleet.entries.size()]));
    const auto total = [&](const std::vector<NodeId>& nodes) {
        ResourceUsage sum;
        for (const NodeId& node : nodes) {
            sum.processorTime += system.usage(node).processorTime;
            sum.bytes += system.usage(node).bytes;
        }
        return sum;
    };
    const ResourceUsage entriesBefore = total(fleet.entries);
    const ResourceUsage sidecarsBefore = total(fleet.sidecars);
    std::size_t answered = 0;
    for (std::size_t turn = 0; turn < turns; ++turn) {
        for (std::size_t i = 0; i < programs; ++i)
            answered += call(system, fleet.entries[i % fleet.entries.size()], opened[i], inputBytes) ? 1 : 0;
    }
    const double calls = std::max<double>(1, static_cast<double>(answered));
    const ResourceUsage entriesAfter = total(fleet.entries);
    const ResourceUsage sidecarsAfter = total(fleet.sidecars);
    ProgramCost cost;
    cost.cpuPerCall = microseconds(entriesAfter.processorTime - entriesBefore.processorTime) / calls;
    cost.sidecarCpuPerCall = microseconds(sidecarsAfter.processorTime - sidecarsBefore.processorTime) / calls;
    cost.bytesPerCall
        = static_cast<double>(entriesAfter.bytes - entriesBefore.bytes + sidecarsAfter.bytes - sidecarsBefore.bytes)
        / calls;
    cost.heapPerProgram = (heapBytes() - heapBefore) / static_cast<double>(programs);
    if (answered != programs * turns)
        std::cout << "# only " << answered << " of " << programs * turns << " calls were answered\n";
    return cost;
}

void measureProgramCosts()
{
    std::vector<Point> cpu;
    std::vector<Point> sidecarCpu;
    std::vector<Point> bytes;
    std::vector<Point> heap;
    for (const std::size_t inputBytes : { 1000, 4000, 16000, 64000 }) {
        const ProgramCost cost = measurePrograms(20, 4, inputBytes);
        const auto historyBytes = static_cast<double>(4 * (inputBytes + 400));
        cpu.push_back({ historyBytes, cost.cpuPerCall });
        sidecarCpu.push_back({ historyBytes, cost.sidecarCpuPerCall });
        bytes.push_back({ historyBytes, cost.bytesPerCall });
        heap.push_back({ historyBytes, cost.heapPerProgram });
    }
    report("call entry processor time", "history byte", "us", cpu);
    report("call sidecar processor time", "history byte", "us", sidecarCpu);
    report("call bytes between processes", "history byte", "bytes", bytes);
    report("program heap of the whole system", "history byte", "bytes", heap);
}

// Messages and streaming ---------------------------------------------------------------------------------------------

void measureMessages()
{
    std::vector<Point> tokens;
    for (const std::size_t count : { 20000, 40000, 80000 }) {
        LocalSystem system(4);
        constexpr std::size_t bytesPerToken = 5;
        const OrderTokens part { OrderId(123456789), 7, std::string(bytesPerToken, 't'), TokenCount(1) };
        const auto begun = std::chrono::steady_clock::now();
        std::size_t length = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto message = decode(encode(part));
            length += RattandeckApp::toJson(AnswerTokens { std::get<OrderTokens>(*message).text, part.tokens }).size();
        }
        const std::chrono::nanoseconds taken = std::chrono::steady_clock::now() - begun;
        if (length > 0)
            tokens.push_back({ static_cast<double>(count), microseconds(taken) });
    }
    report("token coding, wire and JSON", "token", "us", tokens);

    std::vector<Point> log;
    for (const std::size_t candidates : { 2, 4, 8 }) {
        PlacementDecision decision;
        decision.program = { ShardId(12), Epoch(3), 45 };
        decision.policy = "expected-cost";
        for (std::size_t i = 0; i < candidates; ++i)
            decision.candidates.push_back({ NodeId("agent-llm-makarpura-12"), 0.123456, 0.234567, 0.004, 0.362023 });
        log.push_back({ static_cast<double>(candidates), static_cast<double>(RattandeckApp::toJson(decision).size()) });
    }
    report("decision log line", "candidate", "bytes", log);
}

// Configuration ------------------------------------------------------------------------------------------------------

void measureConfiguration()
{
    std::vector<Point> cpu;
    std::vector<Point> bytes;
    std::vector<Point> heap;
    for (const std::size_t sidecars : { 12, 24, 48, 96 }) {
        LocalSystem system(16);
        const Fleet fleet = start(system, 3, sidecars);
        const ResourceUsage before = system.usage(fleet.entries[0]);
        const double heapBefore = heapBytes();
        system.run(Milliseconds(2000));
        const ResourceUsage idle = system.usage(fleet.entries[0]);
        constexpr std::size_t changes = 100;
        for (std::size_t i = 0; i < changes; ++i)
            system.storeObject({ "endpoint", "sidecar-" + std::to_string(i) }, R"({"labels":{"tier":"fast"}})");
        system.run(Milliseconds(2000));
        const ResourceUsage after = system.usage(fleet.entries[0]);
        const auto idleCpu = idle.processorTime - before.processorTime;
        const double idleBytes = static_cast<double>(idle.bytes - before.bytes);
        const auto size = static_cast<double>(sidecars);
        cpu.push_back({ size, microseconds(after.processorTime - idle.processorTime - idleCpu) / changes });
        bytes.push_back({ size, (static_cast<double>(after.bytes - idle.bytes) - idleBytes) / changes });
        heap.push_back({ size, (heapBytes() - heapBefore) / changes });
    }
    report("configuration change, entry processor time", "sidecar", "us", cpu);
    report("configuration change, entry sends", "sidecar", "bytes", bytes);
    report("configuration object, heap of the whole system", "sidecar", "bytes", heap);
}

// Takeover -----------------------------------------------------------------------------------------------------------

struct TakeoverCost {
    double seconds = 0;
    double messages = 0;
    double bytes = 0;
    double storeWrites = 0;
};

// Terminates one of three entries and waits until its programs are served again. Counts the messages of the takeover,
// and the store writes in excess of those of an idle system.
std::optional<TakeoverCost> measureTakeover(std::size_t sidecars, std::size_t programs)
{
    LocalSystem system(16);
    const Fleet fleet = start(system, 3, sidecars);
    const NodeId& terminated = fleet.entries[0];
    const NodeId& other = fleet.entries[1];
    std::vector<ProgramId> opened;
    for (std::size_t i = 0; i < programs; ++i) {
        opened.push_back(open(system, terminated));
        call(system, terminated, opened.back(), 400);
    }
    // Messages of state recovery and replication. Reports and lease renewals are not counted, because a takeover
    // doesn't change their rate.
    const std::array<std::size_t, 4> kinds { Message(RecoveryRequest {}).index(), Message(RecoveryAnswer {}).index(),
        Message(CopyRecords {}).index(), Message(CopyAnswer {}).index() };
    const auto sum = [&] {
        std::array<double, 2> total {};
        for (const std::size_t kind : kinds) {
            const auto found = system.usageByKind().find(kind);
            if (found == system.usageByKind().end())
                continue;
            total[0] += static_cast<double>(found->second.messages);
            total[1] += static_cast<double>(found->second.bytes);
        }
        return total;
    };
    const auto idleWrites = system.storeCalls().writes;
    constexpr Milliseconds window { 20000 };
    system.run(window);
    const auto before = sum();
    const auto writesBefore = system.storeCalls().writes;
    const TimePoint killedAt = system.now();
    system.kill(terminated);
    const TimePoint deadline = killedAt + Milliseconds(60000);
    while (!call(system, other, opened.back(), 400) && system.now() < deadline)
        system.run(Milliseconds(50));
    const std::chrono::duration<double> taken = system.now() - killedAt;
    if (system.now() >= deadline)
        return std::nullopt;
    system.run(std::chrono::duration_cast<Milliseconds>(killedAt + window - system.now()));
    const auto after = sum();
    TakeoverCost cost;
    cost.seconds = taken.count();
    cost.messages = after[0] - before[0];
    cost.bytes = after[1] - before[1];
    cost.storeWrites = static_cast<double>(system.storeCalls().writes - writesBefore)
        - static_cast<double>(writesBefore - idleWrites);
    return cost;
}

void reportTakeovers(const std::string& sweptUnit, const std::vector<std::pair<std::size_t, TakeoverCost>>& costs)
{
    const auto column = [&](const std::string& measure, const std::string& unit, double TakeoverCost::*field) {
        std::vector<Point> points;
        points.reserve(costs.size());
        for (const auto& [size, cost] : costs)
            points.push_back({ static_cast<double>(size), cost.*field });
        report("takeover " + measure, sweptUnit, unit, points);
    };
    column("time to the next served call", "s", &TakeoverCost::seconds);
    column("messages", "messages", &TakeoverCost::messages);
    column("bytes", "bytes", &TakeoverCost::bytes);
    column("store writes beyond idling", "writes", &TakeoverCost::storeWrites);
}

void measureTakeovers()
{
    std::vector<std::pair<std::size_t, TakeoverCost>> bySidecars;
    for (const std::size_t sidecars : { 12, 24, 48, 96 }) {
        if (const auto cost = measureTakeover(sidecars, 10))
            bySidecars.emplace_back(sidecars, *cost);
        else
            std::cout << "# takeover with " << sidecars << " sidecars was not finished\n";
    }
    reportTakeovers("sidecar", bySidecars);
    std::vector<std::pair<std::size_t, TakeoverCost>> byPrograms;
    for (const std::size_t programs : { 10, 40, 160 }) {
        if (const auto cost = measureTakeover(12, programs))
            byPrograms.emplace_back(programs, *cost);
        else
            std::cout << "# takeover with " << programs << " programs was not finished\n";
    }
    reportTakeovers("program", byPrograms);
}

}

int main()
{
    std::cout << "measure,size,size unit,value,unit\n";
    measureSteadyStates();
    measureProgramCosts();
    measureMessages();
    measureConfiguration();
    measureTakeovers();
    return 0;
}
