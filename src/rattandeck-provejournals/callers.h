#pragma once

#include "world.h"

#include <array>
#include <map>
#include <set>

namespace RattandeckProve {

enum class Promise {
    /// A turn that was answered whole can be continued for its retention, and the endpoint gets its whole chain.
    TurnsAreKept,
    /// What callers got of a program stays within its budget and one turn.
    BudgetIsKept,
    /// What was refused as not run has not run and never will; a turn runs once.
    RefusalsAreTrue,
    /// After the faults kept turns are served again.
    ServiceComesBack,
};
constexpr std::size_t promiseCount = 4;

/// Programs of callers, and the endpoint instances that run their turns. Judges what both see.
class Callers {
public:
    Callers(World& world, std::vector<std::unique_ptr<Process>>& processes);

    /// Programs begin until `lastStart`; from `recovered` on, turns may not be refused for want of journals.
    void start(TimePoint lastStart, TimePoint recovered);
    /// Calls `strike` at the moment at which the next turn is answered whole.
    void atNextAnswer(std::function<void()> strike) { this->strikes.push_back(std::move(strike)); }
    /// Continues kept turns, as callers do that come back.
    void revisit(std::size_t turns);

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
        /// Starts sub-agents until its budget is spent.
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
        /// The program's first line of turns, not that of a sub-agent.
        bool isMain = true;
        bool isVisit = false;
        bool isServed = false;
    };

    struct KeptTurn {
        std::string transcript;
        TimePoint until;
        std::size_t program = 0;
    };

    /// A turn that an endpoint instance runs.
    struct Run {
        std::uint64_t life = 0;
        Process* gateway = nullptr;
        SendId send;
        std::uint32_t eventsLeft = 0;
        std::uint32_t nextEvent = 1;
        bool breaks = false;
    };

    void startProgram();
    void sendTurn(Attempt attempt);
    Process* chooseGateway();
    void retry(Attempt attempt);
    /// Takes an attempt that is under way; nothing when its caller has left.
    std::optional<Attempt> take(CallId call);
    void onWhole(Attempt& attempt);
    void goOn(const Attempt& ended);
    void comeBackLater(const Attempt& ended);
    void onRefused(CallId call, const CallRefusal& refusal);
    void onBroken(CallId call);
    std::string expectedPrompt(const Attempt& attempt) const;
    bool isKept(const TurnId& turn) const;

    void run(Process& gateway, CallId call, SendId send, const EndpointSend& what);
    void nextEvent(std::uint64_t run);

    void checked(Promise promise) { ++this->checks.at(static_cast<std::size_t>(promise)); }
    void breach(Promise promise, const std::string& kind, const std::string& seen);

    World& world;
    std::vector<std::unique_ptr<Process>>& processes;
    TimePoint lastStart;
    TimePoint recovered;
    std::vector<std::function<void()>> strikes;
    std::uint64_t lastCall = 0;
    std::vector<Program> programs;
    std::map<CallId, Attempt> open;
    std::map<TurnId, KeptTurn> kept;
    std::map<std::uint64_t, Run> runs;
    std::uint64_t lastRun = 0;
    /// The run of a gateway's send.
    std::map<std::pair<NodeId, SendId>, std::uint64_t> runOfSend;
    std::set<TurnId> ran;
    std::set<TurnId> refusedAsNotRun;
    std::uint64_t visits = 0;
    std::uint64_t visitsServed = 0;
    std::uint64_t eventCount = 0;
    std::array<std::uint64_t, promiseCount> checks {};
    std::array<std::vector<Breach>, promiseCount> breaches;
};

}
