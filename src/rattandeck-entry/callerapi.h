#pragma once

#include "Rattandeck/entry.h"
#include "RattandeckApp/metrics.h"
#include "RattandeckNet/http.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// The HTTP API for callers (docs/API.md). Converts HTTP requests to requests of the core, each with its own ticket,
/// and the events of the core to HTTP responses.
///
/// Thread safety: use from the event loop's thread.
class CallerApi {
public:
    /// Precondition: `loop` and `metrics` outlive this object.
    CallerApi(RattandeckNet::EventLoop& loop, RattandeckNet::HttpLimits limits, RattandeckNet::MemoryBudget& memory,
        RattandeckApp::Metrics& metrics);

    /// Receives the requests. Must be set before `listen`.
    std::function<void(Rattandeck::CallerTicket, Rattandeck::CallerRequest)> onRequest;
    /// Called when the caller of a ticket has disconnected. Must be set before `listen`.
    std::function<void(Rattandeck::CallerTicket)> onGone;

    tl::expected<void, RattandeckNet::NetError> listen(const RattandeckNet::Address& address);
    std::uint16_t port() const;
    void stopAccepting();
    /// Number of requests that have no final answer yet.
    std::size_t inFlight() const;
    std::size_t openConnections() const;

    /// Sends an event of the core to the caller of `ticket`. Unknown tickets are ignored.
    void reply(Rattandeck::CallerTicket ticket, const Rattandeck::CallerEvent& event);

private:
    struct PendingAnswer {
        RattandeckNet::HttpResponder responder;
        bool streamed = false;
        bool begun = false;
        bool opening = false;
        Rattandeck::TimePoint receivedAt;
    };

    void handle(const RattandeckNet::HttpRequest& request, const RattandeckNet::HttpResponder& responder);
    void pass(Rattandeck::CallerRequest request, const RattandeckNet::HttpRequest& http,
        const RattandeckNet::HttpResponder& responder);
    void sendTokens(PendingAnswer& answer, const Rattandeck::AnswerTokens& tokens);
    void sendDone(PendingAnswer& answer, const Rattandeck::AnswerDone& done);
    void sendProblem(PendingAnswer& answer, const Rattandeck::Problem& problem);
    void sendEvent(PendingAnswer& answer, const char* event, const std::string& data);

    RattandeckNet::EventLoop& loop;
    RattandeckApp::Metrics& metrics;
    std::uint64_t lastTicket = 0;
    std::map<Rattandeck::CallerTicket, PendingAnswer> pending;
    RattandeckNet::HttpServer server;
};
