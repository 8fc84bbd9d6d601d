#pragma once

#include "cluster.h"
#include "endpoint.h"

namespace RattandeckProve {

/// Callers and their programs: several turns, tool calls with keys, sub-agents, doubled requests over two entries,
/// callers that leave, calls without a program, and one that crashes endpoints. A caller that is told to come back
/// comes back.
class Callers {
public:
    Callers(World& world, Cluster& cluster, std::map<CallId, CallNature>& natures);

    /// Spreads the workload over the fault window.
    void start();
    /// A program whose request crashes each endpoint that runs it begins now.
    void startPoisoned();

    void onReply(CallerTicket ticket, const CallerEvent& event);
    /// The connections to a dead entry break.
    void onEntryEnded(const Process& entry);

private:
    using Done = std::function<void(const CallerEvent&)>;
    struct OpenRequest {
        std::uint32_t entry = 0;
        Life life;
        Done done;
    };
    /// A call that is sent until it has an outcome.
    struct Attempt {
        CallId call;
        CallerRequest body;
        std::uint32_t left = 0;
        bool settled = false;
        bool doubled = false;
        Done done;
    };
    struct Agent {
        ProgramId program;
        OrganisationId organisation;
        ProgramId parent;
        TurnNumber lastTurn;
        Digest head;
        std::uint32_t stepsLeft = 0;
        TokenCount budget;
        bool poisoned = false;
        std::function<void()> finished;
    };
    using AgentRef = std::shared_ptr<Agent>;
    using AttemptRef = std::shared_ptr<Attempt>;

    CallId newCall(CallerRequest& body, const CallNature& nature);
    Process* chooseEntry();
    void send(const AttemptRef& attempt, Process& entry);
    void ask(const AttemptRef& attempt);
    void again(const AttemptRef& attempt, Duration wait);
    void onFinal(const AttemptRef& attempt, const CallerEvent& event);
    AttemptRef attemptFor(CallId call, CallerRequest body, Done done);

    void beginAgent(const AgentRef& agent);
    void nextStep(const AgentRef& agent);
    void callEngine(const AgentRef& agent);
    void callTool(const AgentRef& agent);
    void spawn(const AgentRef& agent);
    void onTurn(const AgentRef& agent, const CallerEvent& event);
    void lookUp(const AgentRef& agent, std::uint32_t tries);
    void endAgent(const AgentRef& agent);
    void callWithoutProgram();

    World& world;
    Chance chance;
    Cluster& cluster;
    std::map<CallId, CallNature>& natures;
    std::uint64_t lastCall = 0;
    std::uint64_t lastRequest = 0;
    std::map<RequestId, OpenRequest> open;
};

}
