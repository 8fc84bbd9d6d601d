#pragma once

#include "world.h"

#include <array>
#include <map>
#include <set>

namespace RattandeckProve {

enum class Promise {
    /// A turn that was answered completely can be continued during its retention, and the endpoint receives the whole
    /// chain.
    TurnsAreKept,
    /// The tokens delivered to callers of a program exceed its budget by at most one turn.
    BudgetIsKept,
    /// A request that was refused as not run has not run and never runs. A turn runs at most once.
    RefusalsAreTrue,
    /// After the faults have ended, retained turns are served again.
    ServiceComesBack,
};
constexpr std::size_t promiseCount = 4;

/// Simulated programs of callers, and the endpoint instances that run their turns. Checks the observations of both
/// against the promises.
class Callers {
public:
    Callers(World& world, std::vector<std::unique_ptr<Process>>& processes);

    /// Programs start until `lastStart`. From `recovered` on, turns must not be refused because journals are
    /// unavailable.
    void start(TimePoint lastStart, TimePoint recovered);
    /// Calls `callback` when the next turn has been answered completely.
    void atNextAnswer(std::function<void()> callback) { this->nextAnswerCallbacks.push_back(std::move(callback)); }
    /// Continues retained turns, as returning callers do.
    void probeRetainedTurns(std::size_t turns);

    std::unique_ptr<GatewayIo> makeGatewayIo(Process& gateway);
    void onGatewayStarted(Process& gateway);
    void onGatewayEnded(const Process& gateway);

    std::vector<PromiseReport> reports() const;
    std::uint64_t events() const { return this->eventCount; }

private:
    class Io;

    struct Program {
        BudgetId id;
        TokenCount limit;
        TokenCount delivered;
        std::uint32_t turnsLeft = 0;
        /// The program starts sub-agents until its budget is exhausted.
        bool isEndless = false;
        bool isOver = false;
    };

    /// One attempt of one turn.
    struct Attempt {
        CallId call;
        TurnId request;
        TurnId previous;
        std::size_t program = 0;
        std::string input;
        std::string output;
        std::uint32_t tries = 0;
        std::uint32_t turnsAfter = 0;
        NodeId gateway;
        /// The turn belongs to the program's main chain, not to a sub-agent.
        bool isMain = true;
        bool isProbe = false;
        bool isProbeServed = false;
    };

    struct RetainedTranscript {
        std::string transcript;
        TimePoint until;
        std::size_t program = 0;
    };

    /// A turn that is running on an endpoint instance.
    struct Run {
        std::uint64_t runNumber = 0;
        Process* gateway = nullptr;
        SendId send;
        std::uint32_t eventsLeft = 0;
        std::uint32_t nextEvent = 1;
        bool isBroken = false;
    };

    void startProgram();
    void sendTurn(Attempt attempt);
    Process* chooseGateway();
    void retry(Attempt attempt);
    /// Removes and returns an outstanding attempt; nothing when its caller has disconnected.
    std::optional<Attempt> take(CallId call);
    void onComplete(Attempt& attempt);
    void continueProgram(const Attempt& ended);
    void scheduleReturn(const Attempt& ended);
    void onRefused(CallId call, const CallRefusal& refusal);
    void onBroken(CallId call);
    std::string expectedPrompt(const Attempt& attempt) const;
    bool isRetained(const TurnId& turn) const;

    void run(Process& gateway, CallId call, SendId send, const EndpointSend& what);
    void nextEvent(std::uint64_t run);

    void checked(Promise promise) { ++this->checks.at(static_cast<std::size_t>(promise)); }
    void breach(Promise promise, const std::string& kind, const std::string& seen);

    World& world;
    std::vector<std::unique_ptr<Process>>& processes;
    TimePoint lastStart;
    TimePoint recovered;
    std::vector<std::function<void()>> nextAnswerCallbacks;
    std::uint64_t lastCall = 0;
    std::vector<Program> programs;
    std::map<CallId, Attempt> open;
    std::map<TurnId, RetainedTranscript> retained;
    std::map<std::uint64_t, Run> runs;
    std::uint64_t lastRun = 0;
    /// The run that belongs to a send of a gateway.
    std::map<std::pair<NodeId, SendId>, std::uint64_t> runOfSend;
    std::set<TurnId> ran;
    std::set<TurnId> refusedAsNotRun;
    std::uint64_t probes = 0;
    std::uint64_t probesServed = 0;
    std::uint64_t eventCount = 0;
    std::array<std::uint64_t, promiseCount> checks {};
    std::array<std::vector<Breach>, promiseCount> breaches;
};

}
