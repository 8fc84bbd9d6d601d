#include "callers.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds retention { 60000 };
    constexpr Milliseconds programInterval { 120 };
    constexpr std::int64_t tokensPerEvent = 10;
    constexpr std::uint32_t maxEvents = 4;
    constexpr std::int64_t turnTokens = tokensPerEvent * maxEvents;
    constexpr std::uint32_t maxTries = 8;
    constexpr double callerLeavesProbability = 0.02;
    constexpr double brokenAnswerProbability = 0.02;
    constexpr double endlessProgramProbability = 0.15;
    constexpr double forkProbability = 0.15;
    constexpr double returnProbability = 0.5;
    constexpr Milliseconds callTime { 3000 };
    constexpr const char* routeName = "retained";

    RoutingConfig configuration()
    {
        Route route;
        route.name = routeName;
        route.host = "host";
        route.pathPrefix = "/retained/";
        route.safety = CallSafety::Stream;
        route.timeout = callTime;
        route.objective = Milliseconds(300);
        route.services = { { ServiceName("engines"), 1 } };
        route.retainsTurns = true;
        route.turnRetention = retention;
        ServiceConfig service;
        service.name = ServiceName("engines");
        service.engine = EngineConfig { 1000, 1000000, TokenCount(tokensPerEvent) };
        RoutingConfig config;
        config.version = 1;
        config.routes = { route };
        config.services = { service };
        return config;
    }

    EndpointInstance instance()
    {
        EndpointInstance endpoint;
        endpoint.id = EndpointId("engine");
        endpoint.service = ServiceName("engines");
        endpoint.address = "engine:1";
        endpoint.domain = FailureDomain("here");
        endpoint.slots = 1000;
        return endpoint;
    }

    std::string_view nameOf(Promise promise)
    {
        constexpr std::array<std::string_view, promiseCount> names { "history never lost or mixed",
            "budget never exceeded", "\"not run\" is true", "service comes back" };
        return names.at(static_cast<std::size_t>(promise));
    }

}

// Gateways -----------------------------------------------------------------------------------------------------------

/// The interface of one run of a gateway to callers and endpoint instances.
class Callers::Io : public GatewayIo {
public:
    Io(Callers& callers, Process& gateway)
        : callers(callers)
        , gateway(gateway)
    {
    }

    void send(CallId call, SendId send, EndpointSend what) override
    {
        this->callers.run(this->gateway, call, send, what);
        this->gateway.gateway->onSendWritten(send);
    }
    std::optional<TimePoint> connectedSince(const std::string&) const override { return std::nullopt; }
    std::optional<std::int64_t> processAt(const std::string&) const override { return std::nullopt; }
    void cancelSend(SendId send) override
    {
        const auto found = this->callers.runOfSend.find({ this->gateway.node, send });
        if (found != this->callers.runOfSend.end())
            this->callers.runs.erase(found->second);
    }
    void answer(CallId, SendId, std::string) override { }
    void begin(CallId, SendId) override { }
    void write(CallId call, std::string_view bytes) override
    {
        const auto found = this->callers.open.find(call);
        if (found == this->callers.open.end())
            return;
        // "id: N\ndata: TEXT\n\n"
        const std::size_t data = bytes.find("data: ") + std::string_view("data: ").size();
        found->second.output += std::string(bytes.substr(data, bytes.find('\n', data) - data)) + "\n";
        Program& program = this->callers.programs[found->second.program];
        program.delivered = TokenCount(program.delivered.value + tokensPerEvent);
        this->callers.checked(Promise::BudgetIsKept);
        if (program.delivered.value > program.limit.value + turnTokens)
            this->callers.breach(Promise::BudgetIsKept, "spent more", program.id.value);
    }
    void end(CallId call) override
    {
        if (auto attempt = this->callers.take(call))
            this->callers.onComplete(*attempt);
    }
    void abortAnswer(CallId call) override { this->callers.onBroken(call); }
    void refuse(CallId call, const CallRefusal& refusal) override { this->callers.onRefused(call, refusal); }
    void reportCrashes(const std::vector<CrashReport>&) override { }
    bool sendToJournal(const NodeId&, const Message&) override { return false; }
    void logSend(const SendDecision&) override { }
    void logSendFailure(const SendFailure&) override { }
    void logEnd(const CallEnd& end) override
    {
        ++this->callers.eventCount;
        this->callers.world.note(this->gateway.node.value + " " + end.request.value + " " + std::string(end.outcome)
            + " " + std::string(end.reason));
    }
    void logLimit(const LimitChange&) override { }
    void logInvalidLimit(const EndpointId&, const std::string&) override { }
    void reportLeaving(const EndpointId&, std::int64_t) override { }
    bool hasIdleConnection(const std::string&) const override { return true; }
    void logInvalidLoad(const EndpointId&, const std::string&) override { }
    void logInvalidLeaving(const EndpointId&, const std::string&) override { }

private:
    Callers& callers;
    Process& gateway;
};

Callers::Callers(World& world, std::vector<std::unique_ptr<Process>>& processes)
    : world(world)
    , processes(processes)
{
}

std::unique_ptr<GatewayIo> Callers::makeGatewayIo(Process& gateway) { return std::make_unique<Io>(*this, gateway); }

void Callers::onGatewayStarted(Process& gateway)
{
    gateway.gateway->setConfig(configuration());
    gateway.gateway->onInstance(instance());
}

void Callers::onGatewayEnded(const Process& gateway)
{
    std::vector<CallId> cut;
    for (const auto& [call, attempt] : this->open) {
        if (attempt.gateway == gateway.node)
            cut.push_back(call);
    }
    for (const CallId call : cut)
        this->onBroken(call);
}

// Programs -----------------------------------------------------------------------------------------------------------

void Callers::start(TimePoint programsUntil, TimePoint recoveredAt)
{
    this->lastStart = programsUntil;
    this->recovered = recoveredAt;
    this->startProgram();
}

void Callers::startProgram()
{
    if (this->world.now() > this->lastStart)
        return;
    Program program;
    program.id = BudgetId("p" + std::to_string(this->programs.size()));
    program.isEndless = this->world.chance.happens(endlessProgramProbability);
    program.turnsLeft = 2 + static_cast<std::uint32_t>(this->world.chance.below(6));
    constexpr std::uint64_t maxUnits = 8;
    constexpr std::int64_t ampleUnits = 10000;
    const auto units = static_cast<std::int64_t>(2 + this->world.chance.below(maxUnits));
    program.limit = TokenCount(turnTokens * (program.isEndless ? units : ampleUnits));
    this->programs.push_back(program);
    Attempt first;
    first.program = this->programs.size() - 1;
    first.turnsAfter = program.turnsLeft;
    this->sendTurn(std::move(first));
    this->world.after(
        this->world.chance.between(Milliseconds(1), 2 * programInterval), [this] { this->startProgram(); });
}

Process* Callers::chooseGateway()
{
    std::vector<Process*> candidates;
    for (const auto& process : this->processes) {
        if (!process->isJournal() && process->canRun())
            candidates.push_back(process.get());
    }
    return candidates.empty() ? nullptr : candidates[this->world.chance.below(candidates.size())];
}

void Callers::sendTurn(Attempt attempt)
{
    Process* gateway = this->chooseGateway();
    if (!gateway) {
        this->retry(std::move(attempt));
        return;
    }
    attempt.call = CallId(++this->lastCall);
    attempt.request = TurnId("r" + std::to_string(this->lastCall));
    attempt.input = "<" + attempt.request.value + ">";
    attempt.output.clear();
    attempt.gateway = gateway->node;
    GatewayCall call;
    call.request = attempt.request;
    call.host = "host";
    call.path = "/retained/1";
    call.body = attempt.input;
    call.timeLeft = callTime;
    call.program = this->programs[attempt.program].id;
    call.tokenLimit = this->programs[attempt.program].limit;
    call.maxOutputTokens = TokenCount(turnTokens);
    call.previousTurn = attempt.previous;
    const CallId id = attempt.call;
    const bool isProbe = attempt.isProbe;
    this->open.emplace(id, std::move(attempt));
    ++this->eventCount;
    gateway->deliver(gateway->runNumber, [gateway, id, call] { gateway->gateway->onCall(id, call); });
    if (isProbe || !this->world.chance.happens(callerLeavesProbability))
        return;
    this->world.after(this->world.chance.between(Milliseconds(1), Milliseconds(100)),
        [this, id, gateway, runNumber = gateway->runNumber] {
            if (this->open.erase(id) > 0)
                gateway->deliver(runNumber, [gateway, id] { gateway->gateway->onCallerDisconnected(id); });
        });
}

void Callers::retry(Attempt attempt)
{
    if (++attempt.tries > maxTries)
        return;
    this->world.after(this->world.chance.between(Milliseconds(100), Milliseconds(400)),
        [this, attempt = std::move(attempt)]() mutable { this->sendTurn(std::move(attempt)); });
}

std::string Callers::expectedPrompt(const Attempt& attempt) const
{
    const auto found = this->retained.find(attempt.previous);
    return (found == this->retained.end() ? std::string() : found->second.transcript) + attempt.input;
}

bool Callers::isRetained(const TurnId& turn) const
{
    const auto found = this->retained.find(turn);
    return found != this->retained.end() && found->second.until > this->world.now();
}

std::optional<Callers::Attempt> Callers::take(CallId call)
{
    auto taken = this->open.extract(call);
    if (taken.empty())
        return std::nullopt;
    return std::move(taken.mapped());
}

void Callers::onComplete(Attempt& attempt)
{
    this->retained[attempt.request]
        = { this->expectedPrompt(attempt) + attempt.output, this->world.now() + retention, attempt.program };
    // A turn extends the retention of the chain that it continues.
    if (const auto before = this->retained.find(attempt.previous); before != this->retained.end())
        before->second.until = this->world.now() + retention;
    // Deferred, since the gateway is still executing this call.
    for (auto& callback : std::exchange(this->nextAnswerCallbacks, {}))
        this->world.after(Duration(0), std::move(callback));
    if (!attempt.isProbe)
        this->continueProgram(attempt);
}

void Callers::continueProgram(const Attempt& ended)
{
    const Program& program = this->programs[ended.program];
    if (program.isOver)
        return;
    if (!program.isEndless && ended.turnsAfter == 0) {
        this->scheduleReturn(ended);
        return;
    }
    Attempt next;
    next.program = ended.program;
    next.previous = ended.request;
    next.isMain = ended.isMain;
    next.turnsAfter = program.isEndless ? 1 : ended.turnsAfter - 1;
    const bool forks = program.isEndless || this->world.chance.happens(forkProbability);
    const std::uint64_t lines = forks ? 2 + this->world.chance.below(5) : 1;
    this->world.after(this->world.chance.between(Milliseconds(10), Milliseconds(200)), [this, next, lines] {
        // Sub-agents start at the same time.
        for (std::uint64_t i = 0; i < lines; ++i) {
            Attempt line = next;
            line.turnsAfter = i == 0 ? next.turnsAfter : std::min(next.turnsAfter, 1U);
            line.isMain = next.isMain && i == 0;
            this->sendTurn(std::move(line));
        }
    });
}

/// Lets an ended program continue from its last turn later, possibly after faults.
void Callers::scheduleReturn(const Attempt& ended)
{
    if (!ended.isMain || !this->world.chance.happens(returnProbability))
        return;
    Attempt next;
    next.program = ended.program;
    next.previous = ended.request;
    next.turnsAfter = 1;
    this->world.after(
        this->world.chance.between(Milliseconds(200), Milliseconds(15000)), [this, next] { this->sendTurn(next); });
}

void Callers::probeRetainedTurns(std::size_t turns)
{
    std::vector<TurnId> candidates;
    for (const auto& [turn, known] : this->retained) {
        if (known.until > this->world.now() + callTime && !this->programs[known.program].isEndless)
            candidates.push_back(turn);
    }
    for (std::size_t i = 0; i < turns && !candidates.empty(); ++i) {
        Attempt probe;
        probe.previous = candidates[this->world.chance.below(candidates.size())];
        probe.program = this->retained.at(probe.previous).program;
        probe.isProbe = true;
        ++this->probes;
        this->world.after(
            this->world.chance.between(Milliseconds(0), Milliseconds(2000)), [this, probe] { this->sendTurn(probe); });
    }
}

// Checks -------------------------------------------------------------------------------------------------------------

void Callers::breach(Promise promise, const std::string& kind, const std::string& seen)
{
    this->world.note("BROKEN: " + kind + ": " + seen);
    this->breaches.at(static_cast<std::size_t>(promise)).push_back({ kind, seen });
}

void Callers::onRefused(CallId call, const CallRefusal& refusal)
{
    auto taken = this->take(call);
    if (!taken)
        return;
    Attempt& attempt = *taken;
    if (!refusal.mayHaveRun) {
        this->checked(Promise::RefusalsAreTrue);
        this->refusedAsNotRun.insert(attempt.request);
        if (this->ran.contains(attempt.request))
            this->breach(Promise::RefusalsAreTrue, "refused after it ran", attempt.request.value);
    }
    if (!attempt.previous.value.empty())
        this->checked(Promise::TurnsAreKept);
    const std::string seen = attempt.request.value + " after " + attempt.previous.value;
    if (refusal.reason == RejectionReason::UnknownTurn && this->isRetained(attempt.previous))
        this->breach(Promise::TurnsAreKept, "kept turn is unknown", seen);
    if (this->world.now() > this->recovered) {
        this->checked(Promise::ServiceComesBack);
        if (refusal.reason == RejectionReason::JournalsUnavailable)
            this->breach(Promise::ServiceComesBack, "journals unavailable", seen);
    }
    if (refusal.reason == RejectionReason::BudgetSpent)
        this->programs[attempt.program].isOver = true;
    else
        this->retry(std::move(attempt));
}

void Callers::onBroken(CallId call)
{
    if (auto attempt = this->take(call))
        this->retry(std::move(*attempt));
}

std::vector<PromiseReport> Callers::reports() const
{
    std::vector<PromiseReport> all;
    for (std::size_t i = 0; i < promiseCount; ++i)
        all.push_back({ std::string(nameOf(static_cast<Promise>(i))), this->checks.at(i), 0, this->breaches.at(i) });
    PromiseReport& service = all.at(static_cast<std::size_t>(Promise::ServiceComesBack));
    service.checked += this->probes;
    if (this->probesServed < this->probes)
        service.breaches.push_back({ "kept turns are not served", std::to_string(this->probes - this->probesServed) });
    return all;
}

// Endpoint instances -------------------------------------------------------------------------------------------------

void Callers::run(Process& gateway, CallId call, SendId send, const EndpointSend& what)
{
    const auto found = this->open.find(call);
    if (found == this->open.end())
        return;
    Attempt& attempt = found->second;
    this->checked(Promise::TurnsAreKept);
    if ((what.body ? *what.body : attempt.input) != this->expectedPrompt(attempt))
        this->breach(Promise::TurnsAreKept, "prompt is not the chain", attempt.request.value);
    if (attempt.isProbe && !std::exchange(attempt.isProbeServed, true))
        ++this->probesServed;
    this->checked(Promise::RefusalsAreTrue);
    if (this->refusedAsNotRun.contains(attempt.request))
        this->breach(Promise::RefusalsAreTrue, "runs after its refusal", attempt.request.value);
    if (!this->ran.insert(attempt.request).second)
        this->breach(Promise::RefusalsAreTrue, "runs twice", attempt.request.value);
    const std::uint64_t number = ++this->lastRun;
    this->runOfSend[{ gateway.node, send }] = number;
    Run& run = this->runs[number];
    run.runNumber = gateway.runNumber;
    run.gateway = &gateway;
    run.send = send;
    run.eventsLeft = 1 + static_cast<std::uint32_t>(this->world.chance.below(maxEvents));
    run.isBroken = this->world.chance.happens(brokenAnswerProbability);
    this->world.after(this->world.chance.between(Milliseconds(5), Milliseconds(40)), [this, number] {
        const auto begun = this->runs.find(number);
        if (begun == this->runs.end())
            return;
        Process& caller = *begun->second.gateway;
        caller.deliver(begun->second.runNumber, [&caller, sent = begun->second.send] {
            EndpointAnswer head;
            head.status = 200;
            head.isEventStream = true;
            head.isSigned = true;
            caller.gateway->onAnswerHead(sent, head);
        });
        this->nextEvent(number);
    });
}

void Callers::nextEvent(std::uint64_t number)
{
    const auto found = this->runs.find(number);
    if (found == this->runs.end())
        return;
    Run& run = found->second;
    Process& gateway = *run.gateway;
    const SendId send = run.send;
    const std::uint64_t runNumber = run.runNumber;
    if (run.eventsLeft == 0 || (run.isBroken && run.nextEvent > 1)) {
        const SendOutcome outcome = run.isBroken ? SendOutcome::Broken : SendOutcome::Complete;
        this->runs.erase(found);
        gateway.deliver(runNumber, [&gateway, send, outcome] { gateway.gateway->onAnswerEnd(send, outcome); });
        return;
    }
    --run.eventsLeft;
    const std::string id = std::to_string(run.nextEvent++);
    const std::string bytes = "id: " + id + "\ndata: " + id + "of" + std::to_string(number) + "\n\n";
    gateway.deliver(runNumber, [&gateway, send, bytes] { gateway.gateway->onAnswerData(send, bytes); });
    this->world.after(Milliseconds(10), [this, number] { this->nextEvent(number); });
}

}
