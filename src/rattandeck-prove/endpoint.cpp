#include "endpoint.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds localDelay { 1 };
    constexpr Milliseconds restartTime { 300 };
    constexpr Milliseconds shortestRun { 20 };
    constexpr Milliseconds longRun { 400 };
    constexpr Milliseconds longestRun { 3000 };
    constexpr double slowShare = 0.1;
    constexpr std::size_t partLength = 8;

}

FakeEndpoints::FakeEndpoints(World& world, Cluster& cluster, const std::map<CallId, CallNature>& natures)
    : world(world)
    , chance(world.chanceFor(5))
    , cluster(cluster)
    , natures(natures)
{
}

void FakeEndpoints::start(Process& sidecar, const EndpointCall& call)
{
    this->world.after(
        localDelay, [this, index = sidecar.index, life = sidecar.life, call] { this->begin(index, life, call); });
}

void FakeEndpoints::begin(std::uint32_t index, Life life, const EndpointCall& call)
{
    Endpoint& endpoint = this->endpoints.at(index);
    const Process& process = this->cluster.at(index);
    if (!endpoint.up)
        return this->fail(index, { {}, call.order, life, {}, {}, {} }, EndpointFailure::NotStarted);
    const std::set<CallId> calls = callsIn(call.prompt);
    const auto mark = call.prompt.rfind(callTag(CallId()).substr(0, callTag(CallId()).find('0')));
    const CallId id
        = mark == std::string::npos ? CallId() : *callsIn(std::string_view(call.prompt).substr(mark)).begin();
    const auto found = this->natures.find(id);
    const CallNature nature = found == this->natures.end() ? CallNature {} : found->second;

    Run run { RunId(++this->lastRun), call.order, life, {}, {}, call.promptTokens };
    run.output = runTag(run.id) + "~~~~~~~~";
    run.tokens = TokenCount(std::min<std::int64_t>(
        std::max<std::int64_t>(call.maxOutputTokens.value, 0), 4 + static_cast<std::int64_t>(this->chance.below(8))));
    endpoint.runs[run.id] = run;
    this->world.record(RunStarted {
        run.id, process.node, id, call.program, nature.idempotent, process.engine, call.prompt, nature.inputTokens });
    if (process.engine && endpoint.prefixes.insert(call.program).second)
        this->world.record(PrefixHeld { process.node, call.program });
    if (nature.poison) {
        this->world.after(shortestRun, [this, index] { this->crash(index); });
        return;
    }
    if (nature.hangs) {
        this->world.after(call.timeLeft, [this, index, id = run.id] {
            const auto hanging = this->endpoints.at(index).runs.find(id);
            if (hanging == this->endpoints.at(index).runs.end())
                return;
            const Run timedOut = hanging->second;
            this->endpoints.at(index).runs.erase(hanging);
            this->world.record(RunEnded { id, false, {}, {} });
            this->fail(index, timedOut, EndpointFailure::TimedOut);
        });
        return;
    }
    const Duration length = this->chance.between(shortestRun, this->chance.happens(slowShare) ? longestRun : longRun);
    const Duration each = length / static_cast<std::int64_t>(run.output.size() / partLength + 2);
    this->world.after(each, [this, index, id = run.id, each] { this->stream(index, id, 0, each); });
}

void FakeEndpoints::stream(std::uint32_t index, RunId run, std::size_t from, Duration each)
{
    const auto found = this->endpoints.at(index).runs.find(run);
    if (found == this->endpoints.at(index).runs.end())
        return;
    const Run& running = found->second;
    Process& process = this->cluster.at(index);
    if (from >= running.output.size())
        return this->finish(index, run);
    if (process.engine) {
        const std::string part = running.output.substr(from, partLength);
        this->cluster.deliver(process, running.sidecarLife,
            [&process, order = running.order, part] { process.sidecar->onEndpointTokens(order, part, TokenCount(1)); });
    }
    this->world.after(
        each, [this, index, run, next = from + partLength, each] { this->stream(index, run, next, each); });
}

void FakeEndpoints::finish(std::uint32_t index, RunId run)
{
    Endpoint& endpoint = this->endpoints.at(index);
    const Run done = endpoint.runs.at(run);
    endpoint.runs.erase(run);
    this->world.record(RunEnded { run, true, done.output, done.tokens });
    Process& process = this->cluster.at(index);
    this->cluster.deliver(process, done.sidecarLife, [&process, done] {
        process.sidecar->onEndpointFinished(done.order, { done.output, done.tokens, TokenCount(0), done.prompt });
    });
}

void FakeEndpoints::fail(std::uint32_t index, const Run& run, EndpointFailure failure)
{
    Process& process = this->cluster.at(index);
    this->world.after(localDelay, [this, &process, run, failure] {
        this->cluster.deliver(process, run.sidecarLife,
            [&process, run, failure] { process.sidecar->onEndpointFailed(run.order, failure); });
    });
}

void FakeEndpoints::cancel(Process& sidecar, OrderId order)
{
    this->world.after(localDelay, [this, index = sidecar.index, life = sidecar.life, order] {
        std::map<RunId, Run>& runs = this->endpoints.at(index).runs;
        for (auto run = runs.begin(); run != runs.end(); ++run) {
            if (run->second.order != order || run->second.sidecarLife != life)
                continue;
            this->world.record(RunEnded { run->first, false, {}, {} });
            runs.erase(run);
            return;
        }
    });
}

void FakeEndpoints::releasePrefix(Process& sidecar, ProgramId program)
{
    if (this->endpoints.at(sidecar.index).prefixes.erase(program) > 0)
        this->world.record(PrefixFreed { sidecar.node, program });
}

void FakeEndpoints::releaseAll(const Process& sidecar)
{
    for (const ProgramId& program : this->endpoints.at(sidecar.index).prefixes)
        this->world.record(PrefixFreed { sidecar.node, program });
    this->endpoints.at(sidecar.index).prefixes.clear();
}

bool FakeEndpoints::crash(std::uint32_t index)
{
    Endpoint& endpoint = this->endpoints.at(index);
    if (!endpoint.up)
        return false;
    endpoint.up = false;
    ++endpoint.life;
    std::map<RunId, Run> cut;
    cut.swap(endpoint.runs);
    for (const auto& [id, run] : cut) {
        this->world.record(RunEnded { id, false, {}, {} });
        this->fail(index, run, EndpointFailure::Crashed);
    }
    this->releaseAll(this->cluster.at(index));
    this->world.after(restartTime, [&endpoint] { endpoint.up = true; });
    return true;
}

}
