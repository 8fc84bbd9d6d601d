#pragma once

#include "Rattandeck/fairness.h"
#include "runner.h"

#include <deque>
#include <memory>
#include <random>

namespace RattandeckBench {

/// Entries, runners and programs of one trial. An entry knows the state of the runners only from delayed reports.
class Simulation {
public:
    explicit Simulation(const TrialSpec& spec);
    TrialResult run();

private:
    enum class ProgramState { Waiting, Open, Completed, Refused, Abandoned };
    static constexpr std::uint32_t noIndex = ~0U;

    struct Program {
        const ProgramPlan* plan = nullptr;
        std::uint32_t root = 0;
        std::uint32_t parent = noIndex;
        ProgramState state = ProgramState::Waiting;
        std::size_t turn = 0;
        /// Number of calls, pauses and sub-agents that must end before the next turn starts.
        std::uint32_t awaited = 0;
        std::int64_t historyTokens = 0;
        /// Engine time of the program and its sub-agents. Only the value of the root program is used.
        double attained = 0;
        double startedAt = 0;
        double endedAt = 0;
        double perceivedTarget = 0;
        /// Prefix holders, as known to the home of the program.
        std::vector<Rattandeck::PrefixHolder> holders;
        /// Runners that may still hold a prefix of the program.
        std::vector<std::uint32_t> possibleHolders;
        std::uint32_t lastRunner = noIndex;
        std::uint64_t lastOrder = 0;
        std::uint32_t crashesSeen = 0;
        std::uint32_t refusals = 0;
    };

    struct Call {
        std::uint64_t id = 0;
        std::uint32_t program = 0;
        bool plain = false;
        std::int64_t promptTokens = 0;
        std::int64_t outputTokens = 0;
        std::uint32_t attempt = 1;
        std::uint32_t runner = noIndex;
        double sentAt = 0;
        double askedAt = 0;
        bool crashesEngine = false;
    };

    struct SentOrder {
        std::uint64_t id = 0;
        std::int64_t tokens = 0;
    };

    /// State of a service, as known to one entry.
    struct ServiceView {
        std::vector<Rattandeck::SidecarView> sidecars;
        std::vector<std::deque<SentOrder>> unaccounted;
        std::vector<std::uint64_t> accounted;
        std::vector<bool> linkUp;
        std::uint64_t roundRobinPosition = 0;
        double meanOutput = 100;
    };

    struct Entry {
        std::string domain;
        std::array<ServiceView, 2> services;
        std::vector<std::uint64_t> unplaced;
        std::vector<Rattandeck::OrganisationUse> organisations;
        double organisationsAt = 0;
        double meanPause = 2;
        Rattandeck::RetryBudget retries;
    };

    struct Service {
        EngineModel model;
        std::vector<std::string> domains;
        std::vector<std::unique_ptr<Runner>> runners;
        std::vector<std::uint32_t> lastReported;
    };

    // Set-up and faults (simulation.cpp).
    void addService(Service& service, std::size_t index, std::uint32_t count);
    void addEntries();
    void planFaults();
    void setLinks(const std::function<bool(std::uint32_t entry, std::uint32_t runner, std::size_t service)>& up);
    TrialResult measure();

    // Programs (programs.cpp).
    void arrive(std::uint32_t program);
    void begin(std::uint32_t program);
    void startTurn(std::uint32_t program);
    void afterTurn(std::uint32_t program);
    void startPause(std::uint32_t program);
    void onAwaitedDone(std::uint32_t program);
    void end(std::uint32_t program, ProgramState state);
    void release(std::uint32_t program, std::uint32_t except);
    void abandon(std::uint32_t root);
    void callDone(std::uint64_t id, std::int64_t cachedTokens);
    void callFailed(std::uint64_t id, bool crashed);
    void runnerCrashed(std::size_t service, std::uint32_t runner);
    std::optional<Rattandeck::Milliseconds> refusal(const Program& program);
    double expectedPause(const Turn& turn, Entry& entry);

    // Placement and reports (entries.cpp).
    void place(std::uint64_t id);
    std::uint32_t choose(Call& call);
    std::uint32_t chooseByCore(const Call& call);
    std::uint32_t chooseByBaseline(const Call& call);
    void send(Call& call, std::uint32_t runner);
    double priorityOf(const Program& program) const;
    static double loadPressure(const ServiceView& view);
    static double cachePressure(const ServiceView& view);
    void startReports();
    void sendReport(std::size_t service, std::uint32_t runner);
    void onReport(std::uint32_t entry, std::size_t service, std::uint32_t runner, const Rattandeck::LoadReport& report,
        const std::vector<std::uint32_t>& dropped);
    void updateViewAfterCall(const Call& call);
    void placeWaitingCalls(std::uint32_t entry);
    void onLink(std::uint32_t entry, std::size_t service, std::uint32_t runner, bool up);

    double now() const;
    void after(double seconds, std::function<void()> action);
    double delay(std::uint32_t entry, std::size_t service, std::uint32_t runner);
    double uniform() { return std::uniform_real_distribution<double>()(this->random); }

    const TrialSpec& spec;
    std::mt19937_64 random;
    Rattandeck::TimerService timers;
    std::vector<ProgramPlan> plans;
    std::vector<Program> programs;
    std::unordered_map<std::uint64_t, Call> calls;
    std::array<Service, 2> services;
    std::vector<Entry> entries;
    std::uint64_t lastCall = 0;
    std::vector<std::shared_ptr<std::function<void()>>> repeating;
    std::string cutDomain;
    double cutEnds = 0;
    TrialResult result;
};

}
