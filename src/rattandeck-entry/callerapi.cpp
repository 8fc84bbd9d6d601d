#include "callerapi.h"

#include "RattandeckApp/callerjson.h"

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;

// Routes -------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::string_view programsPath = "/v1/programs";
constexpr std::string_view keyedCallsPath = "/v1/calls";
constexpr std::string_view callsSuffix = "/calls";

/// The operation that a path and a method select. `known` is false when there is no such route.
struct Route {
    bool known = false;
    CallKind kind = CallKind::Call;
    bool keyed = false;
    ProgramId program;
};

Route routeOf(const std::string& method, std::string_view path)
{
    if (path == programsPath && method == "POST")
        return { true, CallKind::OpenProgram };
    if (path == keyedCallsPath && method == "POST")
        return { true, CallKind::Call, true };
    if (!path.starts_with(programsPath) || path.size() <= programsPath.size() + 1)
        return {};
    path.remove_prefix(programsPath.size() + 1);

    Route route { true, method == "DELETE" ? CallKind::EndProgram : CallKind::GetProgram };
    if (path.ends_with(callsSuffix) && method == "POST") {
        path.remove_suffix(callsSuffix.size());
        route.kind = CallKind::Call;
    } else if (method != "GET" && method != "DELETE") {
        return {};
    }
    route.known = parseProgramId(std::string(path), route.program) && route.program.serial != 0;
    return route;
}

tl::expected<CallerRequest, RequestError> readRequest(const Route& route, const HttpRequest& http)
{
    if (route.kind == CallKind::OpenProgram)
        return readOpening(http.body);
    if (route.keyed)
        return readKeyedCall(http.body, http.headers);
    if (route.kind == CallKind::Call)
        return readCall(route.program, http.body, http.headers);
    CallerRequest request;
    request.kind = route.kind;
    request.program = route.program;
    constexpr Milliseconds controlDeadline { 10000 };
    request.timeLeft = controlDeadline;
    return request;
}

HttpResponse problemResponse(const Problem& problem, const std::string& body)
{
    HttpResponse response { httpStatus(problem), { { "content-type", "application/problem+json" } }, body };
    if (problem.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter);
        response.headers["retry-after"] = std::to_string(seconds.count());
    }
    return response;
}

HttpResponse problemResponse(const Problem& problem) { return problemResponse(problem, toJson(problem)); }

}

// Requests -----------------------------------------------------------------------------------------------------------

CallerApi::CallerApi(EventLoop& eventLoop, HttpLimits limits, MemoryBudget& memory, Metrics& metricsToUse)
    : loop(eventLoop)
    , metrics(metricsToUse)
    , server(eventLoop, limits, memory,
          [this](const HttpRequest& request, const HttpResponder& responder) { this->handle(request, responder); })
{
    this->server.setNeedsBody([](const HttpRequest& head) { return routeOf(head.method, head.path).known; });
}

tl::expected<void, NetError> CallerApi::listen(const Address& address) { return this->server.listen(address); }

std::uint16_t CallerApi::port() const { return this->server.port(); }

void CallerApi::stopAccepting() { this->server.stopAccepting(); }

std::size_t CallerApi::inFlight() const { return this->pending.size(); }

std::size_t CallerApi::openConnections() const { return this->server.openConnections(); }

void CallerApi::handle(const HttpRequest& http, const HttpResponder& responder)
{
    const Route route = routeOf(http.method, http.path);
    if (!route.known) {
        responder.send(problemResponse({ ProblemKind::UnknownProgram, Ran::No, Milliseconds(0), "no such route" }));
        return;
    }
    auto request = readRequest(route, http);
    if (!request) {
        this->metrics.count("rattandeck_entry_bad_requests_total");
        const Problem problem { ProblemKind::BadRequest, Ran::No, Milliseconds(0), {} };
        responder.send(problemResponse(problem, toJson(request.error())));
        return;
    }
    this->pass(std::move(*request), http, responder);
}

void CallerApi::pass(CallerRequest request, const HttpRequest& http, const HttpResponder& responder)
{
    const CallerTicket ticket { ++this->lastTicket };
    const auto accept = http.headers.find("accept");
    const bool streamed = request.kind == CallKind::Call && accept != http.headers.end()
        && accept->second.find("text/event-stream") != std::string::npos;
    const bool opening = request.kind == CallKind::OpenProgram;
    this->pending.emplace(ticket, PendingAnswer { responder, streamed, false, opening, this->loop.timers().now() });
    responder.onClosed([this, ticket] {
        if (this->pending.erase(ticket) != 0)
            this->onGone(ticket);
    });
    this->onRequest(ticket, std::move(request));
}

// Answers ------------------------------------------------------------------------------------------------------------

void CallerApi::reply(CallerTicket ticket, const CallerEvent& event)
{
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end())
        return;
    PendingAnswer& answer = found->second;
    if (const auto* tokens = std::get_if<AnswerTokens>(&event)) {
        this->sendTokens(answer, *tokens);
        return;
    }
    const std::chrono::duration<double> taken = this->loop.timers().now() - answer.receivedAt;
    this->metrics.observe("rattandeck_entry_request_seconds", taken.count());
    if (const auto* done = std::get_if<AnswerDone>(&event))
        this->sendDone(answer, *done);
    else
        this->sendProblem(answer, std::get<Problem>(event));
    this->pending.erase(found);
}

void CallerApi::sendTokens(PendingAnswer& answer, const AnswerTokens& tokens)
{
    if (!answer.begun) {
        const std::chrono::duration<double> taken = this->loop.timers().now() - answer.receivedAt;
        this->metrics.observe("rattandeck_entry_first_token_seconds", taken.count());
    }
    // Without a stream the whole text is part of the final answer.
    if (answer.streamed)
        this->sendEvent(answer, "tokens", toJson(tokens));
    answer.begun = true;
}

void CallerApi::sendDone(PendingAnswer& answer, const AnswerDone& done)
{
    if (answer.streamed) {
        this->sendEvent(answer, "done", toJson(done));
        answer.responder.end();
        return;
    }
    answer.responder.send({ answer.opening ? 201 : 200, { { "content-type", "application/json" } }, toJson(done) });
}

void CallerApi::sendProblem(PendingAnswer& answer, const Problem& problem)
{
    this->metrics.count("rattandeck_entry_problems_total");
    if (answer.streamed && answer.begun) {
        this->sendEvent(answer, "problem", toJson(problem));
        answer.responder.end();
        return;
    }
    answer.responder.send(problemResponse(problem));
}

void CallerApi::sendEvent(PendingAnswer& answer, const char* event, const std::string& data)
{
    if (!answer.begun)
        answer.responder.begin(200, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" } });
    answer.begun = true;
    answer.responder.write(std::string("event: ") + event + "\ndata: " + data + "\n\n");
}
