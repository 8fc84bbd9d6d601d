#pragma once

#include "cluster.h"
#include "endpoint.h"

namespace RattandeckProve {

/// Simulates callers and their programs: programs with several turns, tool calls with idempotency keys, sub-agents,
/// duplicate requests through two entries, callers that disconnect, calls without a program, and a program that crashes
/// endpoints. A caller retries when an answer tells it to.
class Callers {
public:
    Callers(World& world, Cluster& cluster, std::map<CallId, CallNature>& natures);

    /// Schedules the programs and single calls at random times within the fault window.
    void start();
    /// Starts a program whose request crashes every endpoint that runs it.
    void startPoisoned();

    void onReply(CallerTicket ticket, const CallerEvent& event);
    /// Breaks the open connections to an entry that died or exited.
    void onEntryEnded(const Process& entry);

private:
    using Done = std::function<void(const CallerEvent&)>;
    struct OpenRequest {
        std::uint32_t entry = 0;
        Life life;
        Done done;
    };
    /// A request that is retried until it has a final outcome or its attempts are used up.
    struct Attempt {
        CallId call;
        CallerRequest body;
        std::uint32_t attemptsLeft = 0;
        bool settled = false;
        /// Whether the next attempt is also sent to a second entry.
        bool isDuplicated = false;
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
        /// Called when the program has ended or could not be opened.
        std::function<void()> finished;
    };
    using AgentRef = std::shared_ptr<Agent>;
    using AttemptRef = std::shared_ptr<Attempt>;

    CallId newCall(CallerRequest& body, const CallNature& nature);
    Process* chooseEntry();
    void send(const AttemptRef& attempt, Process& entry);
    void ask(const AttemptRef& attempt);
    void scheduleRetry(const AttemptRef& attempt, Duration wait);
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
