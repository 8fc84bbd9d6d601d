#pragma once

#include "Rattandeck/gateway.h"
#include "Rattandeck/journalstate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

/// A gateway with simulated callers, instances and journals.
struct GatewayFixture : Rattandeck::GatewayIo {
    struct Sent {
        Rattandeck::CallId call;
        Rattandeck::SendId id;
        Rattandeck::EndpointSend details;
        bool isCancelled = false;
    };
    struct Caller {
        std::string bytes;
        std::optional<Rattandeck::SendId> head;
        std::optional<Rattandeck::CallRefusal> refusal;
        bool isEnded = false;
        bool isBroken = false;
    };

    Rattandeck::TimerService timers;
    std::vector<Sent> sends;
    std::map<Rattandeck::CallId, Caller> callers;
    std::vector<Rattandeck::CallEnd> ends;
    std::vector<Rattandeck::SendFailure> failures;
    std::vector<Rattandeck::CrashReport> reports;
    std::vector<Rattandeck::LimitChange> limitChanges;
    std::vector<std::string> invalidLimits;
    std::vector<std::pair<Rattandeck::EndpointId, std::int64_t>> leaving;
    std::vector<std::string> invalidLeaving;
    std::vector<std::string> invalidLoads;
    std::vector<std::pair<Rattandeck::NodeId, Rattandeck::Message>> toJournals;
    /// Messages about permits.
    std::vector<std::pair<Rattandeck::NodeId, Rattandeck::Message>> toIssuers;
    /// Messages about the origins of streams.
    std::vector<std::pair<Rattandeck::NodeId, Rattandeck::Message>> aboutStreams;
    /// Messages about allowances.
    std::vector<std::pair<Rattandeck::NodeId, Rattandeck::QuotaRequests>> toQuotaIssuers;
    std::vector<Rattandeck::SendDecision> decisions;
    std::map<Rattandeck::NodeId, Rattandeck::JournalState> states;
    /// Calls are written at once. Otherwise they wait for a connection.
    bool hasConnections = true;
    /// While this is false, nobody hears of the platform's store.
    bool isStoreViewed = true;
    std::map<std::string, Rattandeck::TimePoint> connected;
    std::map<std::string, std::int64_t> processes;
    /// Addresses to which a connection is idle.
    std::set<std::string> idle;
    /// Journals to which no link is up.
    std::set<Rattandeck::NodeId> unlinked;
    Rattandeck::JournalClient journals;
    Rattandeck::Gateway gateway;
    std::uint64_t lastCall = 0;

    explicit GatewayFixture(const Rattandeck::GatewayLimits& limits = {})
        : journals(this->timers, {},
            [this](const Rattandeck::NodeId& node, const Rattandeck::Message& message) {
                if (this->unlinked.contains(node))
                    return false;
                this->toJournals.emplace_back(node, message);
                return true;
            })
        , gateway(this->timers, *this, this->journals, Rattandeck::FailureDomain("here"), limits)
    {
        Rattandeck::JournalSet set;
        set.epoch = Rattandeck::Epoch(1);
        for (const char* name : { "j1", "j2", "j3" })
            set.members.push_back({ Rattandeck::NodeId(name), std::string(name) + ":1" });
        this->journals.setMembers(set);
        this->gateway.onStoreViewed(this->timers.now());
    }

    // Configuration --------------------------------------------------------------------------------------------------

    static Rattandeck::Route route(const std::string& name, Rattandeck::CallSafety safety)
    {
        Rattandeck::Route route;
        route.name = name;
        route.host = "host";
        route.pathPrefix = "/" + name + "/";
        route.safety = safety;
        route.timeout = Rattandeck::Milliseconds(3000);
        route.objective = Rattandeck::Milliseconds(200);
        route.services = { { Rattandeck::ServiceName("service"), 1 } };
        route.maxRuns = safety == Rattandeck::CallSafety::Unsafe ? 1 : 2;
        return route;
    }

    void configure(std::vector<Rattandeck::Route> routes, std::uint64_t version = 1)
    {
        Rattandeck::RoutingConfig config;
        config.version = version;
        config.routes = std::move(routes);
        Rattandeck::ServiceConfig service;
        service.name = Rattandeck::ServiceName("service");
        service.maxConnections = 100;
        service.engine = Rattandeck::EngineConfig { 2, 100000, Rattandeck::TokenCount(10) };
        config.services = { service };
        this->gateway.setConfig(config);
    }

    void addInstance(const std::string& id, bool isDraining = false, std::uint32_t slots = 2)
    {
        Rattandeck::EndpointInstance instance;
        instance.id = Rattandeck::EndpointId(id);
        instance.service = Rattandeck::ServiceName("service");
        instance.address = id + ":80";
        instance.domain = Rattandeck::FailureDomain("here");
        instance.slots = slots;
        instance.isDraining = isDraining;
        this->gateway.onInstance(instance);
    }

    // Callers --------------------------------------------------------------------------------------------------------

    static Rattandeck::GatewayCall callOn(const std::string& route)
    {
        Rattandeck::GatewayCall call;
        call.host = "host";
        call.path = "/" + route + "/1";
        call.body = "input";
        return call;
    }

    Rattandeck::CallId call(Rattandeck::GatewayCall call)
    {
        const Rattandeck::CallId id(++this->lastCall);
        if (call.request.value.empty())
            call.request = Rattandeck::TurnId("r" + std::to_string(id.value));
        this->callers[id];
        this->gateway.onCall(id, std::move(call));
        return id;
    }

    void advance(Rattandeck::Milliseconds time)
    {
        this->timers.advanceTo(this->timers.now() + time);
        if (this->isStoreViewed)
            this->gateway.onStoreViewed(this->timers.now());
    }

    // Instances ------------------------------------------------------------------------------------------------------

    void head(const Sent& sent, int status, bool isStream = false, bool isNotRun = false, bool isSigned = true)
    {
        Rattandeck::EndpointAnswer answer;
        answer.status = status;
        answer.isEventStream = isStream;
        answer.isNotRun = isNotRun;
        answer.isSigned = isSigned;
        answer.statesItsEnd = true;
        this->gateway.onAnswerHead(sent.id, answer);
    }

    void event(const Sent& sent, int number)
    {
        const std::string text = std::to_string(number);
        this->gateway.onAnswerData(sent.id, "id: " + text + "\ndata: d" + text + "\n\n");
    }

    void end(const Sent& sent, Rattandeck::SendOutcome outcome = Rattandeck::SendOutcome::Complete)
    {
        this->gateway.onAnswerEnd(sent.id, outcome);
    }

    // Journals -------------------------------------------------------------------------------------------------------

    /// Delivers all pending messages to a journal and its replies to the gateway.
    void runJournal(const std::string& name)
    {
        const Rattandeck::NodeId node(name);
        const auto messages = std::move(this->toJournals);
        this->toJournals.clear();
        std::vector<Rattandeck::Message> delivered;
        for (const auto& [to, message] : messages) {
            if (to == node)
                delivered.push_back(message);
            else
                this->toJournals.emplace_back(to, message);
        }
        for (const Rattandeck::Message& message : delivered)
            this->answerAsJournal(node, message);
    }

    void runJournals()
    {
        for (const char* name : { "j1", "j2", "j3" })
            this->runJournal(name);
    }

    // GatewayIo ------------------------------------------------------------------------------------------------------

    void send(Rattandeck::CallId call, Rattandeck::SendId send, Rattandeck::EndpointSend details) override
    {
        this->sends.push_back({ call, send, std::move(details) });
        if (this->hasConnections)
            this->gateway.onSendWritten(send);
    }
    void cancelSend(Rattandeck::SendId send) override
    {
        for (Sent& sent : this->sends)
            sent.isCancelled = sent.isCancelled || sent.id == send;
    }
    std::optional<Rattandeck::TimePoint> connectedSince(const std::string& address) const override
    {
        const auto found = this->connected.find(address);
        return found == this->connected.end() ? std::nullopt : std::optional(found->second);
    }
    bool hasIdleConnection(const std::string& address) const override { return this->idle.contains(address); }
    std::optional<std::int64_t> processAt(const std::string& address) const override
    {
        const auto found = this->processes.find(address);
        return found == this->processes.end() ? std::nullopt : std::optional(found->second);
    }
    void answer(Rattandeck::CallId call, Rattandeck::SendId send, std::string body) override
    {
        this->callers[call].head = send;
        this->callers[call].bytes = std::move(body);
        this->callers[call].isEnded = true;
    }
    void begin(Rattandeck::CallId call, Rattandeck::SendId send) override { this->callers[call].head = send; }
    void write(Rattandeck::CallId call, std::string_view bytes) override { this->callers[call].bytes += bytes; }
    void end(Rattandeck::CallId call) override { this->callers[call].isEnded = true; }
    void abortAnswer(Rattandeck::CallId call) override { this->callers[call].isBroken = true; }
    void refuse(Rattandeck::CallId call, const Rattandeck::CallRefusal& refusal) override
    {
        this->callers[call].refusal = refusal;
    }
    void reportCrashes(const std::vector<Rattandeck::CrashReport>& reports) override
    {
        this->reports.insert(this->reports.end(), reports.begin(), reports.end());
    }
    bool sendToJournal(const Rattandeck::NodeId& journal, const Rattandeck::Message& message) override
    {
        if (const auto* requests = std::get_if<Rattandeck::QuotaRequests>(&message)) {
            this->toQuotaIssuers.emplace_back(journal, *requests);
            return true;
        }
        const bool isAboutPermits = std::holds_alternative<Rattandeck::PermitRequests>(message);
        (isAboutPermits ? this->toIssuers : this->aboutStreams).emplace_back(journal, message);
        return true;
    }
    void logSend(const Rattandeck::SendDecision& decision) override { this->decisions.push_back(decision); }
    void logSendFailure(const Rattandeck::SendFailure& failure) override { this->failures.push_back(failure); }
    void logEnd(const Rattandeck::CallEnd& end) override { this->ends.push_back(end); }
    void logLimit(const Rattandeck::LimitChange& change) override { this->limitChanges.push_back(change); }
    void reportLeaving(const Rattandeck::EndpointId& endpoint, std::int64_t startedAt) override
    {
        this->leaving.emplace_back(endpoint, startedAt);
    }
    void logInvalidLeaving(const Rattandeck::EndpointId&, const std::string& text) override
    {
        this->invalidLeaving.push_back(text);
    }
    void logInvalidLoad(const Rattandeck::EndpointId&, const std::string& text) override
    {
        this->invalidLoads.push_back(text);
    }
    void logInvalidLimit(const Rattandeck::EndpointId&, const std::string& text) override
    {
        this->invalidLimits.push_back(text);
    }

private:
    void answerAsJournal(const Rattandeck::NodeId& node, const Rattandeck::Message& message)
    {
        using namespace Rattandeck;
        JournalState& state = this->states[node];
        const TimePoint now = this->timers.now();
        const Epoch epoch(1);
        if (const auto* claim = std::get_if<ClaimTokens>(&message)) {
            state.apply(SettleClaim { claim->budget, claim->claim, claim->retention }, now);
            this->journals.onMessage(node, ClaimsKnown { claim->ticket, epoch, state.claims(claim->budget) });
        } else if (const auto* settled = std::get_if<SettleClaim>(&message)) {
            state.apply(*settled, now);
        } else if (const auto* store = std::get_if<StoreTurn>(&message)) {
            state.apply(store->turn, now);
            this->journals.onMessage(node, TurnStored { store->ticket, epoch });
        } else if (const auto* fetch = std::get_if<FetchTurn>(&message)) {
            TurnFetched answer { fetch->ticket, epoch, false, {}, {} };
            if (auto transcript = state.transcript(fetch->turn)) {
                answer.isFound = true;
                answer.missing = transcript->missing;
                answer.transcript = transcript->text;
            }
            this->journals.onMessage(node, answer);
        }
    }
};
