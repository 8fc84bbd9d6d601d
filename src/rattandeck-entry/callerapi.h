#pragma once

#include "Rattandeck/entry.h"
#include "RattandeckApp/metrics.h"
#include "RattandeckNet/http.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// The callers' HTTP API (docs/API.md): turns HTTP requests into tickets of the core and its events into answers.
///
/// Thread safety: use from the event loop's thread.
class CallerApi {
public:
    /// Precondition: everything referred to outlives this object.
    CallerApi(RattandeckNet::EventLoop& loop, RattandeckNet::HttpLimits limits, RattandeckApp::Metrics& metrics);

    /// Where requests go. To be set before `listen`.
    std::function<void(Rattandeck::CallerTicket, Rattandeck::CallerRequest)> onRequest;
    /// The caller of this ticket went away.
    std::function<void(Rattandeck::CallerTicket)> onGone;

    tl::expected<void, RattandeckNet::NetError> listen(const RattandeckNet::Address& address);
    std::uint16_t port() const;
    void stopAccepting();
    /// Requests without a final answer.
    std::size_t inFlight() const;
    std::size_t openConnections() const;

    /// An event of the core for one ticket. Unknown tickets are ignored.
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
