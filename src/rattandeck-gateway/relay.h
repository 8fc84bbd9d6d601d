#pragma once

#include "Rattandeck/gateway.h"
#include "Rattandeck/quotarefusals.h"
#include "RattandeckApp/metrics.h"
#include "RattandeckNet/http.h"

#include "instanceclient.h"
#include "logquota.h"

#include <map>
#include <unordered_map>

/// Connects the gateway core with the HTTP connections of callers and those to endpoint instances.
///
/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object.
class Relay : private Rattandeck::GatewayIo {
public:
    Relay(RattandeckNet::EventLoop& loop, RattandeckApp::Metrics& metrics, Rattandeck::JournalClient& journals,
        const Rattandeck::FailureDomain& domain, const Rattandeck::GatewayLimits& limits);

    Rattandeck::Gateway& gateway() { return this->core; }
    const Rattandeck::Gateway& gateway() const { return this->core; }
    void onRequest(RattandeckNet::HttpRequest request, const RattandeckNet::HttpResponder& responder);
    /// Returns whether the body of a request has any part in its answer.
    bool needsBody(const RattandeckNet::HttpRequest& head) const;
    /// Sets the handler for crash reports that are to be sent to the journals.
    void onCrashReports(std::function<void(const Rattandeck::CrashReports&)> handler);
    /// Sets what is done when an answer tells that an instance's process leaves.
    void onLeaving(std::function<void(const Rattandeck::EndpointId& endpoint, std::int64_t startedAt)> handler);
    /// Sets the function that sends messages to journals. It returns false when no link to the journal is up.
    void onJournalMessage(
        std::function<bool(const Rattandeck::NodeId& journal, const Rattandeck::Message& message)> handler);
    /// Closes connections to addresses that no known instance uses.
    void closeUnusedClients();

private:
    struct OpenCall {
        RattandeckNet::HttpRequest request;
        RattandeckNet::HttpResponder responder;
        Rattandeck::TurnId requestId;
        /// The last send to an instance.
        Rattandeck::SendId send;
        /// The instance's answer is not read on, as the caller reads it more slowly.
        bool isPaused = false;
    };
    struct OpenSend {
        std::string address;
        RattandeckNet::HttpClient::CallId httpCall = 0;
        int status = 0;
        RattandeckNet::HttpHeaders headers;
    };
    struct Client {
        std::unique_ptr<InstanceClient> instance;
        std::size_t sends = 0;
    };

    // Rattandeck::GatewayIo
    void send(Rattandeck::CallId call, Rattandeck::SendId send, Rattandeck::EndpointSend details) override;
    void cancelSend(Rattandeck::SendId send) override;
    std::optional<Rattandeck::TimePoint> connectedSince(const std::string& address) const override;
    bool hasIdleConnection(const std::string& address) const override;
    std::optional<std::int64_t> processAt(const std::string& address) const override;
    void answer(Rattandeck::CallId call, Rattandeck::SendId send, std::string body) override;
    void begin(Rattandeck::CallId call, Rattandeck::SendId send) override;
    void write(Rattandeck::CallId call, std::string_view bytes) override;
    bool isCallerBehind(Rattandeck::CallId call) const override;
    void end(Rattandeck::CallId call) override;
    void abortAnswer(Rattandeck::CallId call) override;
    void refuse(Rattandeck::CallId call, const Rattandeck::CallRefusal& refusal) override;
    void reportCrashes(const std::vector<Rattandeck::CrashReport>& reports) override;
    bool sendToJournal(const Rattandeck::NodeId& journal, const Rattandeck::Message& message) override;
    void logSend(const Rattandeck::SendDecision& decision) override;
    void logSendFailure(const Rattandeck::SendFailure& failure) override;
    void logEnd(const Rattandeck::CallEnd& end) override;
    void logLimit(const Rattandeck::LimitChange& change) override;
    void logInvalidLoad(const Rattandeck::EndpointId& endpoint, const std::string& text) override;
    void logInvalidLimit(const Rattandeck::EndpointId& endpoint, const std::string& text) override;
    void reportLeaving(const Rattandeck::EndpointId& endpoint, std::int64_t startedAt) override;
    void logInvalidLeaving(const Rattandeck::EndpointId& endpoint, const std::string& text) override;

    RattandeckNet::HttpCallbacks callbacks(Rattandeck::SendId send, const Rattandeck::TurnId& requestId);
    Client& clientFor(const std::string& address, std::size_t maxConnections);
    void write(Rattandeck::CallId call, Rattandeck::SendId send, const Rattandeck::EndpointSend& details);
    /// The instance has told which process it is, or hasn't in time.
    void onIdentified(Rattandeck::CallId call, Rattandeck::SendId send, Rattandeck::EndpointSend details);
    void noteConnection(const std::string& address, RattandeckNet::ConnectCause cause, std::size_t connections);
    void noteAllowanceUsed(const Rattandeck::OrganisationId& organisation);
    OpenCall* findCall(Rattandeck::CallId call);
    /// Pauses or resumes the instance's answer.
    void setPaused(OpenCall& open, bool isPaused);
    void forgetSend(Rattandeck::SendId send);

    RattandeckNet::EventLoop& loop;
    RattandeckApp::Metrics& metrics;
    Rattandeck::Gateway core;
    Rattandeck::QuotaRefusals quotaRefusals;
    std::uint64_t lastCall = 0;
    /// Each answer has a report: instances of another version would fill the log.
    LogQuota invalidLoadLines { 1 };
    LogQuota connectionLines { 5 };
    std::unordered_map<Rattandeck::CallId, OpenCall> calls;
    std::unordered_map<Rattandeck::SendId, OpenSend> sends;
    std::map<std::string, Client> clients;
    std::function<void(const Rattandeck::CrashReports&)> crashHandler;
    std::function<bool(const Rattandeck::NodeId&, const Rattandeck::Message&)> journalSender;
    std::function<void(const Rattandeck::EndpointId&, std::int64_t startedAt)> leavingHandler;
};
