#include "placementworld_test.h"

#include "Rattandeck/callcosts.h"
#include "Rattandeck/digest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdlib>
#include <iostream>

using namespace Rattandeck;
using namespace PlacementWorld;

/// Plays the loads for which placement by learned cost is designed against the placement before it, by fixed figures,
/// and against the least loaded instance, and checks what callers get.

namespace {

// The placement before -----------------------------------------------------------------------------------------------

/// The figures by which calls were placed before speeds were learned.
struct FixedFigures {
    double batchedCallMs = 8.5;
    double queuedCallMs = 30;
    double prefillTokensPerMs = 400;
    double recentFailureMs = 150;
    double failureSeconds = 2;
    double maxReportAgeSeconds = 2;
    double reportsForTrust = 4;
};

struct KnownInstance {
    std::string name;
    int ownCalls = 0;
    double otherCalls = 0;
    std::optional<TimePoint> reportedAt;
    std::optional<TimePoint> failedAt;
    std::set<std::string> parts;
};

double secondsSince(TimePoint then, TimePoint now) { return std::chrono::duration<double>(now - then).count(); }

/// Calls at instances, as both compared ways know them.
class CountingPolicy : public Policy {
public:
    explicit CountingPolicy(int instances)
    {
        for (int i = 0; i < instances; ++i)
            this->known.push_back({ "i" + std::to_string(i) });
    }

    double loadOf(int instance, TimePoint now) override
    {
        const KnownInstance& state = this->known[std::size_t(instance)];
        if (!state.reportedAt)
            return state.ownCalls;
        const double weight
            = std::max(0.0, 1 - secondsSince(*state.reportedAt, now) / this->figures.maxReportAgeSeconds);
        return state.ownCalls + state.otherCalls * weight + this->meanOtherCalls * (1 - weight);
    }
    void onSent(int instance, const PlacementQuery& query) override
    {
        KnownInstance& state = this->known[std::size_t(instance)];
        ++state.ownCalls;
        for (const PromptPart& part : query.prompt)
            state.parts.insert(part.id.value);
    }
    void onEnded(int instance) override { --this->known[std::size_t(instance)].ownCalls; }
    void onLoad(int instance, const EndpointLoad& load, TimePoint now) override
    {
        KnownInstance& state = this->known[std::size_t(instance)];
        state.otherCalls = std::max(0.0, double(load.running) + load.waiting - state.ownCalls);
        state.reportedAt = now;
    }
    void onEvents(int, double, double, TimePoint) override { }
    void onOutcome(int, bool, TimePoint) override { }
    void onFailure(int instance, TimePoint now) override { this->known[std::size_t(instance)].failedAt = now; }

    int choose(const PlacementQuery& query, TimePoint now) override
    {
        this->noteReports(now);
        int best = -1;
        double least = 0;
        for (std::size_t i = 0; i < this->known.size(); ++i) {
            if (query.excluded.contains(EndpointId(this->known[i].name)))
                continue;
            const double cost = this->cost(int(i), query, now);
            if (best >= 0 && cost >= least)
                continue;
            best = int(i);
            least = cost;
        }
        return best;
    }

protected:
    virtual double cost(int instance, const PlacementQuery& query, TimePoint now) = 0;

    FixedFigures figures;
    std::vector<KnownInstance> known;
    double meanOtherCalls = 0;
    double unreportedCalls = 0;

private:
    void noteReports(TimePoint now)
    {
        double calls = 0;
        int reports = 0;
        for (const KnownInstance& state : this->known) {
            if (!state.reportedAt || secondsSince(*state.reportedAt, now) >= this->figures.maxReportAgeSeconds)
                continue;
            calls += state.otherCalls;
            ++reports;
        }
        this->meanOtherCalls = reports == 0 ? 0 : calls / reports;
        this->unreportedCalls = calls / (reports + this->figures.reportsForTrust);
    }
};

class FixedPolicy : public CountingPolicy {
public:
    using CountingPolicy::CountingPolicy;

    int choose(const PlacementQuery& query, TimePoint now) override
    {
        this->preferred = 0;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < this->known.size(); ++i) {
            const std::uint64_t hash = rendezvousWeight(hash64(query.prefixKey), this->known[i].name);
            if (hash > highest)
                this->preferred = int(i);
            highest = std::max(highest, hash);
        }
        return CountingPolicy::choose(query, now);
    }

private:
    int preferred = 0;

    double cost(int instance, const PlacementQuery& query, TimePoint now) override
    {
        const KnownInstance& state = this->known[std::size_t(instance)];
        const double load = this->loadOf(instance, now) + (state.reportedAt ? 0 : this->unreportedCalls);
        const double batch = std::min<double>(load, slots);
        double cost = batch * this->figures.batchedCallMs;
        cost += std::max(0.0, load - slots + 1) * this->figures.queuedCallMs;
        double uncached = 0;
        bool isCached = true;
        for (const PromptPart& part : query.prompt) {
            isCached = isCached && state.parts.contains(part.id.value);
            uncached += isCached ? 0 : double(part.tokens.value);
        }
        if (instance == this->preferred)
            uncached = std::min(uncached, double(query.prompt.back().tokens.value));
        cost += uncached / this->figures.prefillTokensPerMs * (1 + batch);
        if (state.failedAt && secondsSince(*state.failedAt, now) < this->figures.failureSeconds)
            cost += this->figures.recentFailureMs;
        return cost;
    }
};

class LeastLoadedPolicy : public CountingPolicy {
public:
    using CountingPolicy::CountingPolicy;

private:
    double cost(int instance, const PlacementQuery&, TimePoint now) override { return this->loadOf(instance, now); }
};

// Placement by learned cost
// --------------------------------------------------------------------------------------------

class LearnedPolicy : public Policy {
public:
    LearnedPolicy(int instances, std::uint64_t seed)
        : table(costsWith(seed))
    {
        for (int i = 0; i < instances; ++i) {
            EndpointInstance instance;
            instance.id = idOf(i);
            instance.service = ServiceName("engine");
            instance.address = "host:" + std::to_string(i);
            instance.domain = FailureDomain("here");
            instance.slots = slots;
            this->table.put(instance, {});
        }
    }

    int choose(const PlacementQuery& query, TimePoint now) override
    {
        const auto choice = this->table.choose(query, now);
        this->load = choice->expectedLoad;
        return std::stoi(choice->endpoint.value.substr(1));
    }
    double loadOf(int, TimePoint) override { return this->load; }
    void onSent(int instance, const PlacementQuery& query) override { this->table.onSent(idOf(instance), query); }
    void onEnded(int instance) override { this->table.onEnded(idOf(instance)); }
    void onLoad(int instance, const EndpointLoad& report, TimePoint now) override
    {
        this->table.onLoad(idOf(instance), report, now);
    }
    void onEvents(int instance, double millisecondsPerEvent, double loadAtSend, TimePoint now) override
    {
        const auto usual = this->costs.unitTime("event");
        if (usual)
            this->costs.onUnitTime(
                "event", this->table.onWork(idOf(instance), { millisecondsPerEvent, *usual, loadAtSend, false }, now));
        else
            this->costs.onFirstUnitTime("event", millisecondsPerEvent);
    }
    void onOutcome(int instance, bool isFailure, TimePoint now) override
    {
        this->table.onOutcome(idOf(instance), isFailure, now);
    }
    void onFailure(int instance, TimePoint now) override { this->table.onFailure(idOf(instance), now); }

private:
    EndpointTable table;
    CallCosts costs;
    double load = 0;

    static EndpointId idOf(int instance) { return EndpointId("i" + std::to_string(instance)); }
    static EndpointCosts costsWith(std::uint64_t seed)
    {
        EndpointCosts costs;
        costs.seed = seed;
        return costs;
    }
};

struct Comparison {
    Result learned;
    Result fixed;
    Result leastLoaded;
};

}

class PlacementLoadsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementLoadsTest);
    CPPUNIT_TEST(startingFiguresAreThoseBefore);
    CPPUNIT_TEST(alikeInstancesAreServedAsBefore);
    CPPUNIT_TEST(quarterOfTheInstancesIsSlow);
    CPPUNIT_TEST(instancesAreSlowForAWhile);
    CPPUNIT_TEST(instancesStartSlowly);
    CPPUNIT_TEST(statedPaceChangesOften);
    CPPUNIT_TEST(instanceFailsAllAndReportsGoodHealth);
    CPPUNIT_TEST(soundInstanceReportsBadHealth);
    CPPUNIT_TEST(instancesHang);
    CPPUNIT_TEST_SUITE_END();

    static Comparison play(const Load& load)
    {
        Comparison result;
        constexpr unsigned seed = 1;
        result.learned = World(
            load,
            [](int instances, std::uint64_t drawSeed) { return std::make_unique<LearnedPolicy>(instances, drawSeed); },
            seed)
                             .run();
        result.fixed = World(
            load, [](int instances, std::uint64_t) { return std::make_unique<FixedPolicy>(instances); }, seed)
                           .run();
        result.leastLoaded = World(
            load, [](int instances, std::uint64_t) { return std::make_unique<LeastLoadedPolicy>(instances); }, seed)
                                 .run();
        if (std::getenv("PLACEMENT_FIGURES"))
            std::cout << "\n"
                      << load.name << ": learned " << result.learned.share() << ", fixed " << result.fixed.share()
                      << ", least loaded " << result.leastLoaded.share() << ", failed " << result.learned.failed << " "
                      << result.fixed.failed << " " << result.leastLoaded.failed << ", calls " << result.learned.calls
                      << std::endl;
        return result;
    }

    static std::string describe(const Comparison& result)
    {
        return "learned " + std::to_string(result.learned.share()) + ", fixed " + std::to_string(result.fixed.share())
            + ", least loaded " + std::to_string(result.leastLoaded.share());
    }

    /// The smallest difference of shares that counts: deployments may not lose as much by a change.
    static constexpr double difference = 0.03;
    /// Share of calls in time that a placement may lose against another one by chance.
    static constexpr double tolerance = 0.01;

    static void checkNotWorse(const Comparison& result)
    {
        CPPUNIT_ASSERT_MESSAGE(describe(result), result.learned.share() >= result.fixed.share() - tolerance);
        CPPUNIT_ASSERT_MESSAGE(describe(result), result.learned.share() >= result.leastLoaded.share() - tolerance);
    }

    static void checkBetter(const Comparison& result)
    {
        checkNotWorse(result);
        CPPUNIT_ASSERT_MESSAGE(describe(result), result.learned.share() >= result.fixed.share() + difference);
    }

    /// Guards against changes of the figures by which deployments with alike instances are placed.
    void startingFiguresAreThoseBefore()
    {
        const EndpointCosts costs;
        const FixedFigures figures;
        CPPUNIT_ASSERT_EQUAL(figures.batchedCallMs, costs.batchedCallMs);
        CPPUNIT_ASSERT_EQUAL(figures.queuedCallMs, costs.queuedCallMs);
        CPPUNIT_ASSERT_EQUAL(figures.prefillTokensPerMs, costs.prefillTokensPerMs);
        CPPUNIT_ASSERT_EQUAL(figures.recentFailureMs, costs.recentFailureMs);
    }

    static double usual(int instance) { return instance % 4 == 0 ? 1 / 0.55 : 1 / 1.2; }

    void alikeInstancesAreServedAsBefore()
    {
        Load load { "alike", [](int, double, std::mt19937&) { return Behaviour {}; } };
        checkNotWorse(play(load));
        load.name = "alike, busy";
        load.callsPerSecond = 1100;
        checkNotWorse(play(load));
    }

    void quarterOfTheInstancesIsSlow()
    {
        Load load { "quarter slow", [](int instance, double, std::mt19937&) { return Behaviour { usual(instance) }; } };
        checkBetter(play(load));
        load.name = "quarter slow, busy";
        load.callsPerSecond = 1100;
        checkBetter(play(load));
    }

    /// A third of the instances, by turns, takes five times as long for `seconds`.
    static Load slowForAWhile(const std::string& name, double seconds)
    {
        return { name, [seconds](int instance, double now, std::mt19937&) {
                    const bool isSlow = std::fmod(now + instance % 3 * seconds * 4 / 3, seconds * 4) < seconds;
                    return Behaviour { isSlow ? 5.0 : 1.0 };
                } };
    }

    void instancesAreSlowForAWhile()
    {
        // What is shorter than a few seconds is over before a gateway, which sees an instance twice a second, knows it.
        checkNotWorse(play(slowForAWhile("slow for 1 s", 1)));
        checkNotWorse(play(slowForAWhile("slow for 3 s", 3)));
        checkNotWorse(play(slowForAWhile("slow for 8 s", 8)));
    }

    /// An eighth of the instances is started at second 8 and takes five times as long for 3 s.
    void instancesStartSlowly()
    {
        checkNotWorse(play({ "slow start", [](int instance, double seconds, std::mt19937&) {
                                const bool isStarting = instance % 8 == 0 && seconds >= 8 && seconds < 11;
                                return Behaviour { isStarting ? 5.0 : 1.0 };
                            } }));
    }

    /// Machines are shared: each instance's pace is drawn anew five times a second, and a quarter is busier than
    /// others.
    void statedPaceChangesOften()
    {
        std::map<int, std::pair<int, double>> paces;
        checkBetter(play({ "stated pace", [&paces](int instance, double seconds, std::mt19937& random) {
                              auto& [period, pace] = paces[instance];
                              if (const int current = int(seconds * 5) + 1; period != current) {
                                  const double base = instance % 4 == 0 ? 2 : 1;
                                  pace = base * std::exp(std::normal_distribution<double>(0, 0.3)(random));
                                  period = current;
                              }
                              Behaviour behaviour { pace };
                              behaviour.statesPace = true;
                              return behaviour;
                          } }));
    }

    void instanceFailsAllAndReportsGoodHealth()
    {
        const auto result = play({ "fails all", [](int instance, double, std::mt19937&) {
                                      Behaviour behaviour;
                                      behaviour.failsAll = instance == 3;
                                      behaviour.misreported = instance == 3 ? -100 : 0;
                                      return behaviour;
                                  } });
        checkNotWorse(result);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.learned.failed), result.learned.failed * 2 < result.fixed.failed);
    }

    void soundInstanceReportsBadHealth()
    {
        checkNotWorse(play({ "reports bad health", [](int instance, double, std::mt19937&) {
                                Behaviour behaviour;
                                behaviour.misreported = instance % 8 == 0 ? 40 : 0;
                                return behaviour;
                            } }));
    }

    void instancesHang()
    {
        checkNotWorse(play({ "hangs", [](int instance, double seconds, std::mt19937&) {
                                Behaviour behaviour;
                                behaviour.hangs = instance % 14 == 0 && seconds >= 6 && seconds < 14;
                                return behaviour;
                            } }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementLoadsTest);
