#include "Rattandeck/admissionrecord.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

using namespace Rattandeck;

namespace {

// Model --------------------------------------------------------------------------------------------------------------

enum class Policy {
    /// Calls are served as they come.
    FirstCome,
    /// The order without organisations.
    Present,
    /// The order with organisations.
    ByOrganisation,
};

/// Load at one gateway, whose instances are modelled as one. Times are in seconds.
struct Scenario {
    std::uint32_t hotOrganisations = 1;
    double hotFactor = 8;
    /// The hot organisations are those from this one on; the first one is the largest.
    std::uint32_t firstHot = 0;
    /// An organisation whose calls have the least urgent rank; none by default.
    std::uint32_t leastUrgent = UINT32_MAX;
    std::uint32_t seed = 1;
};

constexpr std::uint32_t organisationCount = 20;
constexpr double slots = 40;
constexpr double maxLoad = 1.5;
constexpr double firstTurnMaxLoad = 0.85;
/// Part of the slots that the usual load takes.
constexpr double usualLoad = 0.6;
constexpr double hotStart = 6;
constexpr double hotEnd = 12;
/// The plain calls come in a burst meanwhile.
constexpr double burstStart = 8;
constexpr double burstEnd = 10;
constexpr double burstFactor = 2.1;
constexpr double lastArrival = 14;
constexpr double queueInterval = 0.01;
/// Queued calls that are placed again when a call ends.
constexpr std::size_t callsPerRoom = 4;

constexpr std::uint32_t turnsOfProgram = 5;
constexpr double turnTime = 0.12;
constexpr double pauseTime = 0.03;
constexpr double plainTime = 0.06;
constexpr double turnObjective = 0.8;
constexpr double maxQueueWait = 0.25 * turnObjective;
constexpr double programDeadline = 3;
constexpr double plainDeadline = 1.5;
/// Part of the usual work that plain calls are.
constexpr double plainPart = 0.3;

struct Tally {
    double begun = 0;
    double whole = 0;
    double share() const { return this->begun > 0 ? this->whole / this->begun : 1; }
};

struct Outcome {
    Tally hot;
    Tally others;
    Tally plain;
    std::vector<Tally> byOrganisation = std::vector<Tally>(organisationCount);
    Tally all() const { return { this->hot.begun + this->others.begun, this->hot.whole + this->others.whole }; }
};

struct Program {
    std::uint32_t organisation = 0;
    bool isPlain = false;
    std::uint32_t turnsLeft = turnsOfProgram;
    bool hasBegun = false;
    bool isCounted = false;
    double deadline = 0;
};

class Replay {
public:
    Replay(Policy policy, Scenario scenario)
        : policy(policy)
        , scenario(scenario)
        , arrivals(scenario.seed)
        , random(scenario.seed)
    {
        double sum = 0;
        for (std::uint32_t index = 0; index < organisationCount; ++index)
            sum += 1.0 / (index + 1);
        for (std::uint32_t index = 0; index < organisationCount; ++index) {
            Organisation organisation;
            organisation.id = OrganisationId("o" + std::to_string(index));
            const double work = usualLoad * slots / (index + 1) / sum;
            const double programs = work * (1 - plainPart) / (turnsOfProgram * turnTime);
            const double plain = work * plainPart / plainTime;
            this->rates.push_back({ programs, plain });
            organisation.allowance = CallAllowance { CallRate(1.6 * (programs * turnsOfProgram + plain)), 0 };
            this->organisations.push_back(organisation);
        }
    }

    Outcome run()
    {
        for (std::uint32_t index = 0; index < organisationCount; ++index) {
            this->scheduleArrival(index, false, 0);
            this->scheduleArrival(index, true, 0);
        }
        this->tick(0);
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        return this->outcome;
    }

private:
    struct Event {
        double at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Event& other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };
    struct Waiting {
        std::size_t program;
        double since;
    };
    using Key = std::tuple<AdmissionOrder, double, std::uint64_t>;

    TimePoint time() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 + this->now)));
    }

    void at(double when, std::function<void()> run) { this->events.push({ when, ++this->lastEvent, std::move(run) }); }

    bool isHot(std::uint32_t index) const
    {
        return index >= this->scenario.firstHot && index < this->scenario.firstHot + this->scenario.hotOrganisations;
    }

    // Arrivals

    void scheduleArrival(std::uint32_t index, bool isPlain, double from)
    {
        const auto rateAt = [&](double when) {
            double rate = isPlain ? this->rates[index].second : this->rates[index].first;
            if (this->isHot(index) && when >= hotStart && when < hotEnd)
                rate *= this->scenario.hotFactor;
            return isPlain && when >= burstStart && when < burstEnd ? rate * burstFactor : rate;
        };
        // Arrivals at the highest rate, thinned out.
        const double highest = (isPlain ? this->rates[index].second : this->rates[index].first)
            * std::max(1.0, this->scenario.hotFactor) * burstFactor;
        double when = from;
        do {
            when += std::exponential_distribution<double>(highest)(this->arrivals);
        } while (
            when < lastArrival && std::uniform_real_distribution<double>(0, highest)(this->arrivals) > rateAt(when));
        if (when >= lastArrival)
            return;
        this->at(when, [this, index, isPlain, when] {
            this->begin(index, isPlain);
            this->scheduleArrival(index, isPlain, when);
        });
    }

    void begin(std::uint32_t index, bool isPlain)
    {
        Program program;
        program.organisation = index;
        program.isPlain = isPlain;
        program.turnsLeft = isPlain ? 1 : turnsOfProgram;
        program.deadline = this->now + (isPlain ? plainDeadline : programDeadline);
        program.isCounted = this->now >= hotStart && this->now < hotEnd;
        this->programs.push_back(program);
        if (program.isCounted)
            this->count(program, &Tally::begun);
        this->offer(this->programs.size() - 1);
    }

    void count(const Program& program, double Tally::*what)
    {
        if (program.isPlain) {
            this->outcome.plain.*what += 1;
            return;
        }
        Tally& group = this->isHot(program.organisation) ? this->outcome.hot : this->outcome.others;
        group.*what += 1;
        this->outcome.byOrganisation[program.organisation].*what += 1;
    }

    // Gateway

    bool isFirst(const Program& program) const { return !program.isPlain && !program.hasBegun; }

    bool hasRoom(const Program& program) const
    {
        double limit = maxLoad;
        if (this->policy != Policy::FirstCome && this->isFirst(program))
            limit = firstTurnMaxLoad;
        return this->running < limit * slots;
    }

    AdmissionOrder orderOf(const Program& program, const OrganisationStanding& standing) const
    {
        const bool isLeastUrgent = program.organisation == this->scenario.leastUrgent;
        const AdmissionCall call { false, isLeastUrgent ? 9U : 0U, this->isFirst(program) };
        if (this->policy == Policy::FirstCome)
            return {};
        return this->policy == Policy::Present ? admissionOrder(call) : admissionOrder(call, standing);
    }

    void offer(std::size_t index)
    {
        Program& program = this->programs[index];
        if (this->now >= program.deadline)
            return;
        const Organisation* organisation = &this->organisations[program.organisation];
        this->record.onOffered(organisation, this->isFirst(program), this->time());
        const auto standing = this->record.standing(organisation, this->isFirst(program), this->time());
        const AdmissionOrder order = this->orderOf(program, standing);
        const bool mustWait = this->policy == Policy::ByOrganisation && !this->queue.empty()
            && std::get<AdmissionOrder>(this->queue.begin()->first) <= order;
        if (!mustWait && this->hasRoom(program)) {
            this->serve(index);
            return;
        }
        const Key key { order, this->now, ++this->lastEvent };
        if (this->policy == Policy::ByOrganisation) {
            const auto wait = expectedQueueWait(this->viewOf(key, program));
            if (wait && isWaitTooLong(*wait, Milliseconds(static_cast<std::int64_t>(1000 * maxQueueWait)))) {
                this->refuse(index, *wait);
                return;
            }
        }
        this->queue.emplace(key, Waiting { index, this->now });
        this->rateOf(program).onEnqueued(this->time());
    }

    QueueRate& rateOf(const Program& program) { return this->queueRates[this->isFirst(program)]; }

    QueueView viewOf(const Key& key, const Program& program)
    {
        QueueView view;
        for (const auto& [other, waiting] : this->queue) {
            if (!(other < key))
                break;
            view.ahead += this->isFirst(this->programs[waiting.program]) == this->isFirst(program) ? 1 : 0;
        }
        view.servedPerSecond = this->rateOf(program).servedPerSecond(this->time());
        return view;
    }

    void tick(double when)
    {
        if (when > lastArrival + programDeadline)
            return;
        this->at(when, [this, when] {
            this->processQueue();
            this->tick(when + queueInterval);
        });
    }

    void processQueue(std::size_t most = SIZE_MAX)
    {
        for (auto next = this->queue.begin(); next != this->queue.end() && most-- > 0;) {
            const Waiting waiting = next->second;
            const Program& program = this->programs[waiting.program];
            const bool canServe = this->hasRoom(program);
            const bool isTimeUp = this->now - waiting.since >= maxQueueWait || this->now >= program.deadline;
            if (!canServe && !isTimeUp) {
                ++next;
                continue;
            }
            const Key key = next->first;
            next = this->queue.erase(next);
            this->rateOf(program).onLeft(canServe, this->time());
            if (canServe)
                this->serve(waiting.program);
            else
                this->refuse(waiting.program, expectedQueueWait(this->viewOf(key, program)).value_or(Milliseconds(0)));
        }
    }

    void refuse(std::size_t index, Milliseconds expectedWait)
    {
        const Program& program = this->programs[index];
        RetryInput input;
        input.least = Milliseconds(this->isFirst(program) ? 500 : 250);
        input.expectedWait = expectedWait;
        input.timeLeft = Milliseconds(static_cast<std::int64_t>((program.deadline - this->now) * 1000));
        input.position = std::uniform_int_distribution<std::uint64_t>(0, retryPositions - 1)(this->random);
        const Milliseconds delay = this->policy == Policy::ByOrganisation ? spreadRetry(input) : input.least;
        // Callers honour the delay up to a third of the time that they have left.
        const double honoured
            = std::min(std::chrono::duration<double>(delay).count(), std::max(0.0, (program.deadline - this->now) / 3));
        if (honoured > 0.001)
            this->at(this->now + honoured, [this, index] { this->offer(index); });
    }

    void serve(std::size_t index)
    {
        Program& program = this->programs[index];
        this->record.onServed(&this->organisations[program.organisation], this->isFirst(program), this->time());
        program.hasBegun = true;
        ++this->running;
        const double time = (program.isPlain ? plainTime : turnTime) * std::max(1.0, this->running / slots)
            * std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
        this->at(this->now + time, [this, index] {
            --this->running;
            if (this->policy == Policy::ByOrganisation)
                this->processQueue(callsPerRoom);
            Program& served = this->programs[index];
            if (--served.turnsLeft > 0) {
                this->at(this->now + pauseTime, [this, index] { this->offer(index); });
            } else if (served.isCounted && this->now <= served.deadline) {
                this->count(served, &Tally::whole);
            }
        });
    }

    Policy policy;
    Scenario scenario;
    /// Apart from `random`, so that all policies see the same arrivals.
    std::mt19937 arrivals;
    std::mt19937 random;
    std::vector<Organisation> organisations;
    /// Usual programs and plain calls a second.
    std::vector<std::pair<double, double>> rates;
    std::priority_queue<Event> events;
    std::uint64_t lastEvent = 0;
    double now = 0;
    std::vector<Program> programs;
    std::map<Key, Waiting> queue;
    OrganisationRecord record;
    std::map<bool, QueueRate> queueRates;
    double running = 0;
    Outcome outcome;
};

}

/// Replays hot organisations beside a burst of one kind of call, and checks what callers of each group get.
class AdmissionReplayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionReplayTest);
    CPPUNIT_TEST(callersWithinTheirShareGetMoreThanBefore);
    CPPUNIT_TEST(allProgramsTogetherLoseLittle);
    CPPUNIT_TEST(noOrganisationIsServedLessThanAQuarterAsOften);
    CPPUNIT_TEST(leastUrgentOrganisationIsServedAQuarterAsOften);
    CPPUNIT_TEST(usualLoadIsServedWhole);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t seeds = 6;
    /// Largest part of the programs that a change may cost in a single scenario, as for the earlier deployments.
    static constexpr double tolerance = 0.03;

    static Outcome runAll(Policy policy, Scenario scenario)
    {
        Outcome sum;
        for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
            const Outcome outcome = Replay(policy, scenario).run();
            const auto add = [](Tally& to, const Tally& from) {
                to.begun += from.begun;
                to.whole += from.whole;
            };
            add(sum.hot, outcome.hot);
            add(sum.others, outcome.others);
            add(sum.plain, outcome.plain);
            for (std::uint32_t index = 0; index < organisationCount; ++index)
                add(sum.byOrganisation[index], outcome.byOrganisation[index]);
        }
        return sum;
    }

    static std::vector<Scenario> scenarios()
    {
        std::vector<Scenario> all;
        for (const std::uint32_t count : { 1U, 2U, 3U })
            for (const double factor : { 3.0, 8.0 })
                for (const std::uint32_t first : { 0U, 2U })
                    all.push_back({ count, factor, first });
        return all;
    }

    static void print(const Scenario& scenario, Policy policy, const Outcome& outcome)
    {
        if (!std::getenv("RATTANDECK_PRINT_REPLAY"))
            return;
        const char* const names[] = { "first come", "present", "by organisation" };
        std::printf("hot %u x%.0f from %u, %-15s: others %.3f hot %.3f plain %.3f all %.3f (%.0f others, %.0f hot, "
                    "%.0f plain)\n",
            scenario.hotOrganisations, scenario.hotFactor, scenario.firstHot, names[static_cast<int>(policy)],
            outcome.others.share(), outcome.hot.share(), outcome.plain.share(), outcome.all().share(),
            outcome.others.begun, outcome.hot.begun, outcome.plain.begun);
    }

    struct Comparison {
        Scenario scenario;
        Outcome firstCome;
        Outcome present;
        Outcome changed;
    };

    static const std::vector<Comparison>& comparisons()
    {
        static const std::vector<Comparison> all = [] {
            std::vector<Comparison> compared;
            for (const Scenario& scenario : scenarios()) {
                compared.push_back({ scenario, runAll(Policy::FirstCome, scenario), runAll(Policy::Present, scenario),
                    runAll(Policy::ByOrganisation, scenario) });
                print(scenario, Policy::FirstCome, compared.back().firstCome);
                print(scenario, Policy::Present, compared.back().present);
                print(scenario, Policy::ByOrganisation, compared.back().changed);
            }
            return compared;
        }();
        return all;
    }

    /// Guards against hot organisations that take the room of the others.
    void callersWithinTheirShareGetMoreThanBefore()
    {
        double firstCome = 0;
        double present = 0;
        double changed = 0;
        for (const Comparison& compared : comparisons()) {
            const double share = compared.changed.others.share();
            CPPUNIT_ASSERT(share >= compared.present.others.share() - tolerance);
            CPPUNIT_ASSERT(share >= compared.firstCome.others.share() - tolerance);
            CPPUNIT_ASSERT(compared.changed.plain.share() >= compared.present.plain.share() - tolerance);
            firstCome += compared.firstCome.others.share();
            present += compared.present.others.share();
            changed += share;
        }
        const auto count = static_cast<double>(comparisons().size());
        CPPUNIT_ASSERT(changed / count > present / count + tolerance);
        CPPUNIT_ASSERT(changed / count > firstCome / count + tolerance);
    }

    /// Guards against a protection of the others that leaves instances idle.
    void allProgramsTogetherLoseLittle()
    {
        for (const Comparison& compared : comparisons())
            CPPUNIT_ASSERT(compared.changed.all().share() >= compared.present.all().share() - tolerance);
    }

    void noOrganisationIsServedLessThanAQuarterAsOften()
    {
        for (const Comparison& compared : comparisons()) {
            for (const Tally& tally : compared.changed.byOrganisation)
                CPPUNIT_ASSERT(tally.share() >= compared.changed.all().share() / 4);
        }
    }

    /// Guards against an order by rank that leaves nothing to an organisation.
    void leastUrgentOrganisationIsServedAQuarterAsOften()
    {
        for (const std::uint32_t leastUrgent : { 0U, 3U, 5U }) {
            for (const std::uint32_t count : { 2U, 3U }) {
                const Scenario scenario { count, 8, 1, leastUrgent };
                const Outcome changed = runAll(Policy::ByOrganisation, scenario);
                print(scenario, Policy::ByOrganisation, changed);
                if (std::getenv("RATTANDECK_PRINT_REPLAY"))
                    std::printf("least urgent %u: %.3f\n", leastUrgent, changed.byOrganisation[leastUrgent].share());
                CPPUNIT_ASSERT(changed.byOrganisation[leastUrgent].share() >= changed.all().share() / 4);
            }
        }
    }

    void usualLoadIsServedWhole()
    {
        const Outcome usual = runAll(Policy::ByOrganisation, { 0, 1, 0 });
        CPPUNIT_ASSERT(usual.others.share() >= runAll(Policy::Present, { 0, 1, 0 }).others.share());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionReplayTest);
