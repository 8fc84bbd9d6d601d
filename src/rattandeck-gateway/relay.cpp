#include "relay.h"

#include "platform/calls.h"
#include "RattandeckApp/log.h"

#include <array>
#include <set>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

/// Added to the time left of a call to get the timeout of the HTTP client. The core cancels a send at the deadline;
/// the client's timeout is a fallback in case the timer of the core does not fire.
constexpr Milliseconds clientTimeoutSlack { 1000 };

/// Organisations that the metric of refused calls names; the others are counted together.
constexpr std::size_t maxOrganisationsInMetrics = 20;

Relay::Relay(EventLoop& loop, Metrics& metrics, JournalClient& journals, const FailureDomain& domain,
    const GatewayLimits& limits)
    : loop(loop)
    , metrics(metrics)
    , core(loop.timers(), *this, journals, domain, limits)
{
    metrics.provideFamily("rattandeck_calls_over_allowance_total", "counter", [this] {
        std::vector<std::pair<MetricLabels, double>> values;
        for (const auto& [organisation, count] : this->quotaRefusals.largest(maxOrganisationsInMetrics))
            values.emplace_back(MetricLabels { { "organisation", organisation.value } }, double(count));
        const auto others = this->quotaRefusals.countBeyond(maxOrganisationsInMetrics);
        values.emplace_back(MetricLabels { { "organisation", "" } }, double(others));
        return values;
    });
}

// Callers ------------------------------------------------------------------------------------------------------------

void Relay::onRequest(HttpRequest request, const HttpResponder& responder)
{
    const CallId id(++this->lastCall);
    GatewayCall call = Platform::readCall(request);
    // The core has the only copy.
    std::string().swap(request.body);
    this->calls.emplace(id, OpenCall { std::move(request), responder, call.request });
    responder.onClosed([this, id] {
        if (this->calls.erase(id) > 0)
            this->core.onCallerDisconnected(id);
    });
    this->core.onCall(id, std::move(call));
}

bool Relay::needsBody(const HttpRequest& head) const { return this->core.needsBody(Platform::readCall(head)); }

Relay::OpenCall* Relay::findCall(CallId call)
{
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : &found->second;
}

void Relay::answer(CallId call, SendId send, std::string body)
{
    const OpenCall* open = this->findCall(call);
    const auto sent = this->sends.find(send);
    if (!open || sent == this->sends.end())
        return;
    open->responder.send({ sent->second.status, Platform::writeAnswerHeaders(sent->second.headers), std::move(body) });
    this->calls.erase(call);
}

void Relay::begin(CallId call, SendId send)
{
    const OpenCall* open = this->findCall(call);
    const auto sent = this->sends.find(send);
    if (!open || sent == this->sends.end())
        return;
    open->responder.begin(sent->second.status, Platform::writeAnswerHeaders(sent->second.headers));
    open->responder.onRelieved([this, call] {
        if (OpenCall* relieved = this->findCall(call))
            this->setPaused(*relieved, false);
    });
}

void Relay::write(CallId call, std::string_view bytes)
{
    OpenCall* open = this->findCall(call);
    if (!open)
        return;
    open->responder.write(bytes);
    if (open->responder.isCongested())
        this->setPaused(*open, true);
}

bool Relay::isCallerBehind(CallId call) const
{
    const auto found = this->calls.find(call);
    return found != this->calls.end() && found->second.isPaused;
}

void Relay::setPaused(OpenCall& open, bool isPaused)
{
    open.isPaused = isPaused;
    const auto sent = this->sends.find(open.send);
    if (sent == this->sends.end())
        return;
    HttpClient& client = this->clients.at(sent->second.address).instance->http();
    if (isPaused)
        client.pause(sent->second.httpCall);
    else
        client.resume(sent->second.httpCall);
}

void Relay::end(CallId call)
{
    if (const OpenCall* open = this->findCall(call))
        open->responder.end();
    this->calls.erase(call);
}

void Relay::abortAnswer(CallId call)
{
    if (const OpenCall* open = this->findCall(call))
        open->responder.abort();
    this->calls.erase(call);
}

void Relay::refuse(CallId call, const CallRefusal& refusal)
{
    if (const OpenCall* open = this->findCall(call))
        open->responder.send(Platform::writeRefusal(refusal, open->requestId));
    this->calls.erase(call);
}

// Endpoint instances -------------------------------------------------------------------------------------------------

Relay::Client& Relay::clientFor(const std::string& address, std::size_t maxConnections)
{
    Client& client = this->clients[address];
    if (!client.instance) {
        const Address server = parseAddress(address).value_or(Address {});
        client.instance = std::make_unique<InstanceClient>(this->loop, this->metrics, server, maxConnections);
        client.instance->http().onLost([this, address] { this->core.onConnectionsLost(address); });
        client.instance->http().onConnect([this, address](ConnectCause cause, std::size_t connections) {
            this->noteConnection(address, cause, connections);
        });
        client.instance->onTold([this, address] { this->core.onProcessTold(address); });
    }
    return client;
}

static SendOutcome outcomeFor(NetError error)
{
    switch (error) {
    case NetError::ConnectFailed:
    case NetError::BadAddress:
        return SendOutcome::Unreachable;
    case NetError::NotSent:
        return SendOutcome::NotSent;
    default:
        return SendOutcome::Broken;
    }
}

HttpCallbacks Relay::callbacks(SendId send, const TurnId& requestId)
{
    HttpCallbacks callbacks;
    callbacks.isOwn = [requestId](const HttpHeaders& headers) { return Platform::isAnswerTo(headers, requestId); };
    callbacks.isNamed = Platform::namesItsRequest;
    callbacks.onWrite = [this, send] { this->core.onSendWritten(send); };
    callbacks.onHead = [this, send](int status, const HttpHeaders& headers) {
        const auto found = this->sends.find(send);
        if (found == this->sends.end())
            return;
        found->second.status = status;
        found->second.headers = headers;
        this->core.onAnswerHead(send, Platform::readAnswer(status, headers));
    };
    callbacks.onData = [this, send](std::string_view bytes) { this->core.onAnswerData(send, bytes); };
    callbacks.onEnd = [this, send](tl::expected<void, NetError> outcome) {
        if (this->core.onAnswerEnd(send, outcome ? SendOutcome::Complete : outcomeFor(outcome.error())))
            this->forgetSend(send);
    };
    return callbacks;
}

void Relay::send(CallId call, SendId send, EndpointSend details)
{
    if (!this->findCall(call))
        return;
    Client& client = this->clientFor(details.address, details.maxConnections);
    ++client.sends;
    this->sends[send].address = details.address;
    if (details.processCheck == ProcessCheck::First && !client.instance->process()) {
        client.instance->identify([this, call, send, deadline = this->loop.timers().now() + details.timeLeft, details] {
            EndpointSend rest = details;
            rest.timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - this->loop.timers().now());
            this->onIdentified(call, send, std::move(rest));
        });
        return;
    }
    this->write(call, send, details);
    if (details.processCheck != ProcessCheck::None)
        client.instance->identify();
}

void Relay::write(CallId call, SendId send, const EndpointSend& details)
{
    OpenCall& open = *this->findCall(call);
    open.send = send;
    open.isPaused = false;
    HttpRequest request = Platform::writeCall(open.request, details);
    this->sends.at(send).httpCall = this->clients.at(details.address)
                                        .instance->http()
                                        .start(std::move(request), details.timeLeft + clientTimeoutSlack,
                                            this->callbacks(send, open.requestId), details.writeBy);
}

void Relay::onIdentified(CallId call, SendId send, EndpointSend details)
{
    if (!this->sends.contains(send))
        return;
    const auto told = this->processAt(details.address);
    // Entries of some instances don't say when they started; they can't be compared.
    if (details.startedAt == 0 || told == details.startedAt) {
        this->write(call, send, details);
        return;
    }
    logFields(told ? "another process serves" : "process unknown",
        { { "endpoint", details.endpoint.value }, { "registered", details.startedAt },
            { "started_at", told.value_or(0) } });
    const bool isUnreachable = !told && this->clients.at(details.address).instance->isUnreachable();
    this->core.onAnswerEnd(send, isUnreachable ? SendOutcome::Unreachable : SendOutcome::NotSent);
    this->forgetSend(send);
}

void Relay::cancelSend(SendId send)
{
    const auto found = this->sends.find(send);
    if (found == this->sends.end())
        return;
    this->clients.at(found->second.address).instance->http().cancel(found->second.httpCall);
    this->forgetSend(send);
}

std::optional<TimePoint> Relay::connectedSince(const std::string& address) const
{
    const auto found = this->clients.find(address);
    return found == this->clients.end() ? std::nullopt : found->second.instance->http().connectedSince();
}

bool Relay::hasIdleConnection(const std::string& address) const
{
    const auto found = this->clients.find(address);
    return found != this->clients.end() && found->second.instance->http().hasIdle();
}

std::optional<std::int64_t> Relay::processAt(const std::string& address) const
{
    const auto found = this->clients.find(address);
    return found == this->clients.end() ? std::nullopt : found->second.instance->process();
}

void Relay::forgetSend(SendId send)
{
    const auto found = this->sends.find(send);
    if (found == this->sends.end())
        return;
    --this->clients.at(found->second.address).sends;
    this->sends.erase(found);
}

void Relay::closeUnusedClients()
{
    std::set<std::string> used;
    for (const EndpointId& id : this->core.endpoints().ids())
        used.insert(this->core.endpoints().find(id)->address);
    std::erase_if(
        this->clients, [&used](const auto& entry) { return entry.second.sends == 0 && !used.contains(entry.first); });
}

void Relay::onCrashReports(std::function<void(const CrashReports&)> handler)
{
    this->crashHandler = std::move(handler);
}

void Relay::reportCrashes(const std::vector<CrashReport>& reports)
{
    for (const CrashReport& report : reports)
        logFields(report.isTrial  ? "suspected request tried"
                : report.isAnswer ? "crashes void"
                                  : "instance crashed",
            { { "fingerprint", report.request.value }, { "crash", report.crash },
                { "round", std::int64_t(report.round) } });
    if (this->crashHandler)
        this->crashHandler({ reports });
}

void Relay::onJournalMessage(std::function<bool(const NodeId& journal, const Message& message)> handler)
{
    this->journalSender = std::move(handler);
}

bool Relay::sendToJournal(const NodeId& journal, const Message& message)
{
    return this->journalSender && this->journalSender(journal, message);
}

// Log ----------------------------------------------------------------------------------------------------------------

void Relay::logSend(const SendDecision& decision)
{
    std::vector<LogField> fields { { "request", decision.request.value }, { "program", decision.program.value },
        { "route", decision.route }, { "config", std::int64_t(decision.configVersion) },
        { "endpoint", decision.choice.endpoint.value }, { "version", decision.version.value },
        { "load", decision.choice.expectedLoad },
        { "load_age_ms", std::int64_t(decision.choice.reportAge.value_or(Milliseconds(-1)).count()) },
        { "slots", std::int64_t(decision.choice.slots) }, { "cached_tokens", decision.choice.cachedTokens },
        { "attempt", std::int64_t(decision.attempt) }, { "waited_ms", std::int64_t(decision.waited.count()) },
        { "time_left_ms", std::int64_t(decision.timeLeft.count()) } };
    if (decision.limit) {
        fields.push_back({ "limit", decision.limit->value });
        fields.push_back({ "permits_left", std::int64_t(decision.permitsLeft) });
    }
    if (decision.choice.workTime != 1)
        fields.push_back({ "work_time", decision.choice.workTime });
    if (decision.choice.expectedMs > 0)
        fields.push_back({ "expected_ms", std::int64_t(decision.choice.expectedMs) });
    if (!decision.choice.passedOver.value.empty())
        fields.push_back({ "passed_over", decision.choice.passedOver.value });
    if (!decision.resumeAfter.empty()) {
        fields.push_back({ "resumes", decision.resumedRequest.value });
        fields.push_back({ "resume_after", decision.resumeAfter });
    }
    logFields("send", fields);
}

void Relay::logSendFailure(const SendFailure& failure)
{
    const std::string cause(describe(failure.cause));
    this->metrics.count("rattandeck_send_failures_total", { { "cause", cause } });
    logFields("send failed",
        { { "request", failure.request.value }, { "program", failure.program.value }, { "route", failure.route },
            { "endpoint", failure.endpoint.value }, { "cause", cause }, { "attempt", std::int64_t(failure.attempt) },
            { "events", std::int64_t(failure.events) }, { "age_ms", std::int64_t(failure.age.count()) },
            { "time_left_ms", std::int64_t(failure.timeLeft.count()) }, { "retry_budget", failure.retryBudget } });
}

void Relay::noteConnection(const std::string& address, ConnectCause cause, std::size_t connections)
{
    const std::string text(describe(cause));
    this->metrics.count("rattandeck_instance_connections_total", { { "cause", text } });
    const auto leftOut = this->connectionLines.admit(this->loop.timers().now());
    if (!leftOut)
        return;
    logFields("instance connection",
        { { "address", address }, { "cause", text }, { "connections", std::int64_t(connections) },
            { "left_out", *leftOut } });
}

/// Logs and counts what a call has waited for. What it has not waited for is left out.
static void addWaits(const CallWaits& waits, Metrics& metrics, std::vector<LogField>& fields)
{
    struct Named {
        const char* name;
        const char* field;
        Duration wait;
    };
    const std::array<Named, 5> all { {
        { "claim", "claim_ms", waits.claim.value_or(Duration(0)) },
        { "transcript", "transcript_ms", waits.transcript.value_or(Duration(0)) },
        { "room", "room_ms", waits.room },
        { "permit", "permit_ms", waits.permit },
        { "connection", "connection_ms", waits.connection },
    } };
    for (const Named& named : all) {
        if (named.wait <= Duration(0))
            continue;
        metrics.observe("rattandeck_wait_seconds", std::chrono::duration<double>(named.wait).count(),
            { { "for", std::string(named.name) } });
        const auto rounded = std::chrono::duration_cast<Milliseconds>(named.wait);
        if (rounded.count() > 0)
            fields.push_back({ named.field, std::int64_t(rounded.count()) });
    }
}

void Relay::logEnd(const CallEnd& end)
{
    const auto seconds = [](Milliseconds time) { return std::chrono::duration<double>(time).count(); };
    this->metrics.observe(
        "rattandeck_call_seconds", seconds(end.duration), { { "outcome", std::string(end.outcome) } });
    if (end.waited)
        this->metrics.observe("rattandeck_call_wait_seconds", seconds(*end.waited));
    if (end.firstEvent)
        this->metrics.observe("rattandeck_first_event_seconds", seconds(*end.firstEvent));
    if (end.reason == describe(RejectionReason::AllowanceUsed))
        this->noteAllowanceUsed(end.organisation);
    if (!end.reason.empty())
        this->metrics.count("rattandeck_calls_not_answered_total", { { "reason", std::string(end.reason) } });
    std::vector<LogField> fields { { "request", end.request.value }, { "program", end.program.value },
        { "route", end.route }, { "outcome", std::string(end.outcome) }, { "reason", std::string(end.reason) },
        { "endpoint", end.endpoint }, { "status", std::int64_t(end.status) }, { "sends", std::int64_t(end.sends) },
        { "events", std::int64_t(end.events) }, { "duration_ms", std::int64_t(end.duration.count()) },
        { "config", std::int64_t(end.configVersion) } };
    if (!end.organisation.value.empty())
        fields.push_back({ "organisation", end.organisation.value });
    if (end.isFarAboveShare)
        fields.push_back({ "far_above_share", std::int64_t(1) });
    if (end.waited)
        fields.push_back({ "waited_ms", std::int64_t(end.waited->count()) });
    addWaits(end.waits, this->metrics, fields);
    if (end.prepared)
        fields.push_back({ "prepared_ms", std::int64_t(end.prepared->count()) });
    if (!end.resumedRequest.value.empty())
        fields.push_back({ "resumes", end.resumedRequest.value });
    if (end.stored)
        fields.push_back({ "stored_ms", std::int64_t(end.stored->count()) });
    // Inputs of the decision to refuse.
    if (end.outcome == "refused") {
        fields.push_back({ "queued", std::int64_t(end.queued) });
        fields.push_back({ "best_endpoint", end.bestChoice ? end.bestChoice->endpoint.value : std::string() });
        fields.push_back({ "best_load", end.bestChoice ? end.bestChoice->expectedLoad : 0.0 });
        const auto age = end.bestChoice ? end.bestChoice->reportAge : std::nullopt;
        fields.push_back({ "best_load_age_ms", std::int64_t(age.value_or(Milliseconds(-1)).count()) });
        fields.push_back({ "best_limit", end.bestLimit ? end.bestLimit->value : -1.0 });
        fields.push_back({ "best_wait_ms", std::int64_t(end.bestChoice ? end.bestChoice->wait.count() : 0) });
        fields.push_back({ "best_slots", std::int64_t(end.bestChoice ? end.bestChoice->slots : 0) });
    }
    logFields("call", fields);
}

void Relay::noteAllowanceUsed(const OrganisationId& organisation)
{
    const auto count = this->quotaRefusals.note(organisation, this->loop.timers().now());
    if (count)
        logFields("allowance used", { { "organisation", organisation.value }, { "refused", std::int64_t(*count) } });
}

void Relay::logLimit(const LimitChange& change)
{
    const auto rate = [](const std::optional<CallRate>& limit) { return limit ? limit->value : -1.0; };
    logFields("endpoint limit",
        { { "endpoint", change.endpoint.value }, { "limit", rate(change.limit) }, { "previous", rate(change.previous) },
            { "age_ms", std::int64_t(change.age.count()) }, { "learnt_from", change.learntFrom } });
}

void Relay::onLeaving(std::function<void(const EndpointId& endpoint, std::int64_t startedAt)> handler)
{
    this->leavingHandler = std::move(handler);
}

void Relay::reportLeaving(const EndpointId& endpoint, std::int64_t startedAt)
{
    logFields("endpoint leaving",
        { { "endpoint", endpoint.value }, { "started_at", startedAt }, { "learnt_from", "answer" } });
    if (this->leavingHandler)
        this->leavingHandler(endpoint, startedAt);
}

void Relay::logInvalidLeaving(const EndpointId& endpoint, const std::string& text)
{
    constexpr std::size_t maxText = 64;
    this->metrics.count("rattandeck_invalid_leaving_total");
    logFields("endpoint's leave ignored", { { "endpoint", endpoint.value }, { "text", text.substr(0, maxText) } });
}

void Relay::logInvalidLimit(const EndpointId& endpoint, const std::string& text)
{
    constexpr std::size_t maxText = 64;
    this->metrics.count("rattandeck_invalid_limits_total");
    logFields("endpoint limit ignored", { { "endpoint", endpoint.value }, { "text", text.substr(0, maxText) } });
}

void Relay::logInvalidLoad(const EndpointId& endpoint, const std::string& text)
{
    constexpr std::size_t maxText = 64;
    this->metrics.count("rattandeck_invalid_loads_total");
    const auto leftOut = this->invalidLoadLines.admit(this->loop.timers().now());
    if (!leftOut)
        return;
    logFields("endpoint load ignored",
        { { "endpoint", endpoint.value }, { "text", text.substr(0, maxText) }, { "reports", *leftOut + 1 } });
}
