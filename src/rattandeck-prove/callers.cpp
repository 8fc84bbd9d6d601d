#include "callers.h"

#include <algorithm>

namespace RattandeckProve {

namespace {

    constexpr std::uint32_t agentCount = 24;
    constexpr std::uint32_t singleCallCount = 16;
    constexpr std::uint32_t attemptLimit = 12;
    constexpr Milliseconds connectDelay { 2 };
    constexpr Milliseconds retryDelay { 300 };
    constexpr Milliseconds minTimeLeft { 3000 };
    constexpr Milliseconds maxTimeLeft { 15000 };
    constexpr double duplicateShare = 0.2;
    constexpr double disconnectShare = 0.03;
    constexpr double hangingShare = 0.03;
    constexpr std::int64_t bytesPerToken = 4;

    bool isFinal(const CallerEvent& event) { return !std::holds_alternative<AnswerTokens>(event); }

}

Callers::Callers(World& world, Cluster& cluster, std::map<CallId, CallNature>& natures)
    : world(world)
    , chance(world.chanceFor(1))
    , cluster(cluster)
    , natures(natures)
{
}

// Requests ---------------------------------------------------------------------------------------------------------

CallId Callers::newCall(CallerRequest& body, const CallNature& nature)
{
    const CallId call(++this->lastCall);
    body.input = callTag(call);
    CallNature known = nature;
    known.idempotent = body.idempotent;
    known.inputTokens = TokenCount((static_cast<std::int64_t>(body.input.size()) + bytesPerToken - 1) / bytesPerToken);
    this->natures[call] = known;
    return call;
}

Process* Callers::chooseEntry()
{
    std::vector<Process*> usable;
    for (std::uint32_t i = 0; i < entryCount; ++i) {
        Process& entry = this->cluster.at(i);
        if (entry.alive && (!entry.stopping || this->chance.happens(0.1)))
            usable.push_back(&entry);
    }
    return usable.empty() ? nullptr : usable[this->chance.below(usable.size())];
}

Callers::AttemptRef Callers::attemptFor(CallId call, CallerRequest body, Done done)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->call = call;
    body.timeLeft = std::chrono::duration_cast<Milliseconds>(this->chance.between(minTimeLeft, maxTimeLeft));
    attempt->body = std::move(body);
    attempt->attemptsLeft = attemptLimit;
    attempt->isDuplicated = call.value != 0 && this->chance.happens(duplicateShare);
    attempt->done = std::move(done);
    return attempt;
}

void Callers::ask(const AttemptRef& attempt)
{
    Process* entry = this->chooseEntry();
    if (!entry)
        return this->scheduleRetry(attempt, retryDelay);
    this->send(attempt, *entry);
    if (!attempt->isDuplicated)
        return;
    attempt->isDuplicated = false;
    this->world.after(this->chance.between(Milliseconds(0), Milliseconds(50)), [this, attempt] {
        if (Process* other = this->chooseEntry())
            this->send(attempt, *other);
    });
}

void Callers::send(const AttemptRef& attempt, Process& entry)
{
    const RequestId request(++this->lastRequest);
    this->world.record(RequestSent { request, attempt->call, entry.node, attempt->body });
    this->open[request]
        = { entry.index, entry.life, [this, attempt](const CallerEvent& event) { this->onFinal(attempt, event); } };
    const CallerTicket ticket(request.value);
    this->world.after(connectDelay, [this, &entry, life = entry.life, ticket, body = attempt->body] {
        this->cluster.deliver(entry, life, [this, &entry, ticket, body] {
            this->world.record(RequestArrived { RequestId(ticket.value) });
            entry.entry->onCallerRequest(ticket, body);
        });
    });
    if (attempt->call.value == 0 || !this->chance.happens(disconnectShare))
        return;
    this->world.after(
        this->chance.between(Milliseconds(10), Milliseconds(500)), [this, &entry, request, ticket, attempt] {
            const auto found = this->open.find(request);
            if (found == this->open.end())
                return;
            const Life life = found->second.life;
            this->open.erase(found);
            this->world.record(RequestAbandoned { request });
            this->cluster.deliver(entry, life, [&entry, ticket] { entry.entry->onCallerDisconnected(ticket); });
            this->scheduleRetry(attempt, retryDelay);
        });
}

void Callers::onReply(CallerTicket ticket, const CallerEvent& event)
{
    const RequestId request(ticket.value);
    const auto found = this->open.find(request);
    // The event is recorded even if the request is no longer open, so that the checks detect events after the final
    // answer.
    this->world.record(RequestEvent { request, event });
    if (found == this->open.end() || !isFinal(event))
        return;
    const Done done = found->second.done;
    this->open.erase(found);
    this->world.after(connectDelay, [done, event] { done(event); });
}

void Callers::onEntryEnded(const Process& entry)
{
    std::vector<std::pair<RequestId, Done>> broken;
    for (const auto& [request, asked] : this->open) {
        if (asked.entry == entry.index)
            broken.emplace_back(request, asked.done);
    }
    for (const auto& item : broken) {
        const Done done = item.second;
        this->open.erase(item.first);
        this->world.record(RequestAbandoned { item.first });
        const CallerEvent lost = Problem { ProblemKind::NotServing, Ran::Unknown, retryDelay, "connection lost" };
        this->world.after(connectDelay, [done, lost] { done(lost); });
    }
}

void Callers::onFinal(const AttemptRef& attempt, const CallerEvent& event)
{
    if (attempt->settled)
        return;
    const auto* problem = std::get_if<Problem>(&event);
    const bool shouldRetry = problem && attempt->attemptsLeft > 0
        && (problem->retryAfter.count() > 0 || problem->kind == ProblemKind::DeadlineExceeded);
    if (shouldRetry)
        return this->scheduleRetry(attempt, std::max(problem->retryAfter, Milliseconds(10)));
    attempt->settled = true;
    attempt->done(event);
}

void Callers::scheduleRetry(const AttemptRef& attempt, Duration wait)
{
    if (attempt->settled)
        return;
    if (attempt->attemptsLeft == 0) {
        attempt->settled = true;
        return attempt->done(Problem { ProblemKind::NotServing, Ran::Unknown, {}, "given up" });
    }
    --attempt->attemptsLeft;
    this->world.after(wait, [this, attempt] {
        if (!attempt->settled)
            this->ask(attempt);
    });
}

// Programs ---------------------------------------------------------------------------------------------------------

void Callers::start()
{
    for (std::uint32_t i = 0; i < agentCount; ++i) {
        this->world.after(this->chance.between(Milliseconds(3000), faultWindow), [this, i] {
            auto agent = std::make_shared<Agent>();
            agent->organisation = OrganisationId(i % 2 == 0 ? "anodisers" : "savers");
            agent->stepsLeft = 2 + static_cast<std::uint32_t>(this->chance.below(9));
            agent->budget = TokenCount(60 + static_cast<std::int64_t>(this->chance.below(240)));
            this->beginAgent(agent);
        });
    }
    for (std::uint32_t i = 0; i < singleCallCount; ++i)
        this->world.after(
            this->chance.between(Milliseconds(3000), faultWindow), [this] { this->callWithoutProgram(); });
}

void Callers::startPoisoned()
{
    auto agent = std::make_shared<Agent>();
    agent->organisation = OrganisationId("savers");
    agent->stepsLeft = 2;
    agent->budget = TokenCount(200);
    agent->poisoned = true;
    this->beginAgent(agent);
}

void Callers::beginAgent(const AgentRef& agent)
{
    CallerRequest body;
    body.kind = CallKind::OpenProgram;
    body.organisation = agent->organisation;
    body.program = agent->parent;
    body.service = ServiceName("llm");
    body.latencyTarget = Milliseconds(20000);
    body.budget = agent->budget;
    this->ask(this->attemptFor(CallId(), body, [this, agent](const CallerEvent& event) {
        const auto* done = std::get_if<AnswerDone>(&event);
        if (!done) {
            if (agent->finished)
                agent->finished();
            return;
        }
        agent->program = done->program;
        this->nextStep(agent);
    }));
}

void Callers::nextStep(const AgentRef& agent)
{
    if (agent->stepsLeft == 0)
        return this->endAgent(agent);
    --agent->stepsLeft;
    const Duration pause = this->chance.between(Milliseconds(0), Milliseconds(this->chance.happens(0.2) ? 6000 : 600));
    this->world.after(pause, [this, agent] {
        const std::uint64_t kind = this->chance.below(10);
        if (agent->poisoned || kind < 6)
            this->callEngine(agent);
        else if (kind < 9 || agent->parent.serial != 0)
            this->callTool(agent);
        else
            this->spawn(agent);
    });
}

void Callers::callEngine(const AgentRef& agent)
{
    CallerRequest body;
    body.organisation = agent->organisation;
    body.program = agent->program;
    body.turn = TurnNumber(agent->lastTurn.value + 1);
    if (this->chance.happens(0.5))
        body.head = agent->head;
    body.maxOutputTokens = TokenCount(8 + static_cast<std::int64_t>(this->chance.below(16)));
    body.expectedPause = Milliseconds(this->chance.happens(0.5) ? 2000 : 0);
    CallNature nature;
    nature.poison = agent->poisoned;
    const CallId call = this->newCall(body, nature);
    this->ask(this->attemptFor(call, body, [this, agent](const CallerEvent& event) { this->onTurn(agent, event); }));
}

void Callers::callTool(const AgentRef& agent)
{
    CallerRequest body;
    body.organisation = agent->organisation;
    body.program = agent->program;
    body.service = ServiceName("tool");
    body.idempotent = this->chance.happens(0.3);
    body.maxOutputTokens = TokenCount(12);
    CallNature nature;
    nature.hangs = this->chance.happens(hangingShare);
    const CallId call = this->newCall(body, nature);
    body.key = IdempotencyKey("k" + std::to_string(call.value));
    if (this->chance.happens(0.5))
        body.turn = TurnNumber(agent->lastTurn.value + 1);
    this->ask(this->attemptFor(call, body, [this, agent](const CallerEvent& event) { this->onTurn(agent, event); }));
}

void Callers::spawn(const AgentRef& agent)
{
    auto child = std::make_shared<Agent>();
    child->organisation = agent->organisation;
    child->parent = agent->program;
    child->stepsLeft = 1 + static_cast<std::uint32_t>(this->chance.below(3));
    // The parent either continues while the child runs or waits for it to finish.
    if (this->chance.happens(0.5))
        child->finished = [this, agent] { this->nextStep(agent); };
    this->beginAgent(child);
    if (!child->finished)
        this->nextStep(agent);
}

void Callers::onTurn(const AgentRef& agent, const CallerEvent& event)
{
    if (const auto* done = std::get_if<AnswerDone>(&event)) {
        agent->lastTurn = done->turn;
        agent->head = done->head;
        return this->nextStep(agent);
    }
    const auto& problem = std::get<Problem>(event);
    const bool over
        = problem.kind == ProblemKind::BudgetExceeded || problem.kind == ProblemKind::ProgramEnded || agent->poisoned;
    if (over)
        return this->endAgent(agent);
    this->lookUp(agent, 3);
}

// After a failed call the caller does not know its program's last turn, so it asks for it.
void Callers::lookUp(const AgentRef& agent, std::uint32_t tries)
{
    CallerRequest body;
    body.kind = CallKind::GetProgram;
    body.organisation = agent->organisation;
    body.program = agent->program;
    this->ask(this->attemptFor(CallId(), body, [this, agent, tries](const CallerEvent& event) {
        if (const auto* done = std::get_if<AnswerDone>(&event)) {
            agent->lastTurn = done->turn;
            agent->head = done->head;
            return this->nextStep(agent);
        }
        if (tries == 0)
            return this->endAgent(agent);
        this->world.after(retryDelay, [this, agent, tries] { this->lookUp(agent, tries - 1); });
    }));
}

void Callers::endAgent(const AgentRef& agent)
{
    CallerRequest body;
    body.kind = CallKind::EndProgram;
    body.organisation = agent->organisation;
    body.program = agent->program;
    this->ask(this->attemptFor(CallId(), body, [agent](const CallerEvent&) {
        if (agent->finished)
            agent->finished();
    }));
}

void Callers::callWithoutProgram()
{
    CallerRequest body;
    body.organisation = OrganisationId("anodisers");
    body.service = ServiceName("tool");
    body.idempotent = this->chance.happens(0.2);
    body.maxOutputTokens = TokenCount(12);
    const CallId call = this->newCall(body, {});
    body.key = IdempotencyKey("single" + std::to_string(call.value));
    const AttemptRef attempt = this->attemptFor(call, body, [](const CallerEvent&) {});
    attempt->isDuplicated = true;
    this->ask(attempt);
}

}
