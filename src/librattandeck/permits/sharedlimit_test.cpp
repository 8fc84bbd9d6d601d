#include "Rattandeck/permitholder.h"
#include "Rattandeck/permitissuer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace Rattandeck;

namespace {

const EndpointId instance("e1");
constexpr Milliseconds span { 4000 };
constexpr Milliseconds grace { 4000 };
/// A gateway counts from this time on after it has received an answer that states the limit.
constexpr Milliseconds awareness { 500 };
constexpr Milliseconds tick { 10 };
constexpr Milliseconds answerTime { 40 };
/// In scenarios with pauses, the instance states its limit in the first part of each period only.
constexpr Milliseconds period { 12000 };
constexpr Milliseconds statedPart { 9000 };

struct Scenario {
    int gateways = 5;
    int journals = 3;
    double limit = 10;
    /// Calls a second that all gateways together would send.
    double demand = 60;
    /// Demand of the busiest gateway, relative to that of the others.
    double skew = 1;
    bool hasFaults = false;
    bool hasPauses = false;
};

/// Gateways and journals on a simulated network, and one instance that states a limit from the start on.
class World {
public:
    World(const Scenario& scenario, unsigned seed)
        : scenario(scenario)
        , random(seed)
    {
        for (int number = 0; number < scenario.journals; ++number)
            this->members.push_back({ NodeId("j" + std::to_string(number)), {} });
        this->inForce = this->members;
        for (int number = 0; number < scenario.journals; ++number)
            this->startJournal(number);
        this->gateways.resize(static_cast<std::size_t>(scenario.gateways));
        for (int number = 0; number < scenario.gateways; ++number)
            this->startGateway(number);
    }

    void run(Milliseconds duration)
    {
        for (Milliseconds elapsed { 0 }; elapsed < duration; elapsed += tick) {
            this->timers.advanceTo(this->timers.now() + tick);
            if (this->scenario.hasFaults)
                this->injectFaults();
            for (int number = 0; number < this->scenario.gateways; ++number)
                this->runGateway(number);
        }
    }

    /// Largest number of calls in a span, sent by gateways that had known the limit long enough.
    std::size_t largestSpan() const
    {
        std::vector<TimePoint> times = this->counted;
        std::ranges::sort(times);
        std::size_t largest = 0;
        for (std::size_t first = 0, last = 0; first < times.size(); ++first) {
            while (last < times.size() && times[last] < times[first] + span)
                ++last;
            largest = std::max(largest, last - first);
        }
        return largest;
    }

    /// Share of the limit that is used after the grace period.
    double used(Milliseconds duration) const
    {
        const double seconds = std::chrono::duration<double>(duration - grace).count();
        return static_cast<double>(this->sentAfterGrace) / (seconds * this->scenario.limit);
    }

    TimerService timers;

private:
    struct Gateway {
        std::unique_ptr<PermitHolder> holder;
        std::uint64_t incarnation = 0;
        std::uint32_t waiting = 0;
        double dueCalls = 0;
        std::optional<TimePoint> awareSince;
        TimePoint frozenUntil;
    };

    static NodeId gatewayNode(int number) { return NodeId("g" + std::to_string(number)); }
    Milliseconds between(int least, int most)
    {
        return Milliseconds(std::uniform_int_distribution<int>(least, most)(this->random));
    }
    /// Start of the time in which the instance states its limit; empty if it states none now.
    std::optional<TimePoint> statedSince(TimePoint time) const
    {
        if (!this->scenario.hasPauses)
            return TimePoint();
        const auto since = time.time_since_epoch() % Duration(period);
        return since < Duration(statedPart) ? std::optional(time - since) : std::nullopt;
    }
    bool isUp(int gateway, int journal) const { return !this->cut.contains({ gateway, journal }); }

    // Network --------------------------------------------------------------------------------------------------------

    /// Delivers a message in order, if the link stays up and neither end restarts.
    void deliver(int gateway, int journal, bool toJournal, const Message& message)
    {
        TimePoint& last = this->lastDelivery[{ gateway, journal, toJournal }];
        last = std::max(last, this->timers.now() + this->between(1, 8));
        const std::uint64_t link = this->linkNumber[{ gateway, journal }];
        this->timers.subscribeAt(last, [this, gateway, journal, toJournal, message, link] {
            if (!this->isUp(gateway, journal) || this->linkNumber[{ gateway, journal }] != link)
                return;
            if (toJournal)
                this->issuers[journal]->onMessage(gatewayNode(gateway), message);
            else
                this->gateways[gateway].holder->onMessage(this->members[journal].node, message);
        });
    }

    void linkUp(int gateway, int journal)
    {
        this->cut.erase({ gateway, journal });
        ++this->linkNumber[{ gateway, journal }];
        this->gateways[gateway].holder->onLinkUp(this->members[journal].node);
        this->issuers[journal]->onLinkUp(gatewayNode(gateway), Role::Gateway);
    }

    void linkDown(int gateway, int journal)
    {
        this->cut.insert({ gateway, journal });
        ++this->linkNumber[{ gateway, journal }];
        this->gateways[gateway].holder->onLinkDown(this->members[journal].node);
        this->issuers[journal]->onLinkDown(gatewayNode(gateway));
    }

    // Processes ------------------------------------------------------------------------------------------------------

    void startJournal(int number)
    {
        if (this->issuers.size() <= static_cast<std::size_t>(number))
            this->issuers.resize(number + 1);
        this->issuers[number] = std::make_unique<PermitIssuer>(
            this->timers, this->members[number].node, [this, number](const NodeId& node, const Message& message) {
                const int gateway = std::stoi(node.value.substr(1));
                if (!this->isUp(gateway, number))
                    return false;
                this->deliver(gateway, number, false, message);
                return true;
            });
        this->issuers[number]->setMembers(this->inForce);
    }

    void restartJournal(int number)
    {
        std::vector<int> linked;
        for (int gateway = 0; gateway < this->scenario.gateways; ++gateway) {
            if (!this->isUp(gateway, number))
                continue;
            linked.push_back(gateway);
            this->linkDown(gateway, number);
        }
        this->startJournal(number);
        for (const int gateway : linked)
            this->linkUp(gateway, number);
    }

    void startGateway(int number)
    {
        Gateway& gateway = this->gateways[number];
        const std::uint64_t incarnation = gateway.incarnation + 1;
        gateway = {};
        gateway.incarnation = incarnation;
        gateway.dueCalls = std::uniform_real_distribution<double>(0, 1)(this->random);
        PermitHolder::Io io;
        io.send = [this, number](const NodeId& node, const Message& message) {
            const int journal = std::stoi(node.value.substr(1));
            if (!this->isUp(number, journal))
                return false;
            this->deliver(number, journal, true, message);
            return true;
        };
        io.onChange = [] {};
        io.onLimit = [](const LimitChange&) {};
        PermitSettings settings;
        settings.seed = static_cast<std::uint32_t>(this->random());
        gateway.holder = std::make_unique<PermitHolder>(this->timers, io, settings);
        gateway.holder->setMembers(this->inForce);
        for (int journal = 0; journal < this->scenario.journals; ++journal)
            this->linkUp(number, journal);
    }

    double rateOf(int gateway) const
    {
        const double shares = this->scenario.skew + this->scenario.gateways - 1;
        return this->scenario.demand * (gateway == 0 ? this->scenario.skew : 1) / shares;
    }

    void runGateway(int number)
    {
        Gateway& gateway = this->gateways[number];
        gateway.dueCalls += this->rateOf(number) * std::chrono::duration<double>(tick).count()
            * std::uniform_real_distribution<double>(0, 2)(this->random);
        if (this->timers.now() < gateway.frozenUntil)
            return;
        while (gateway.dueCalls >= 1) {
            gateway.dueCalls -= 1;
            ++gateway.waiting;
            gateway.holder->want(instance, 0);
        }
        while (gateway.waiting > 0 && gateway.holder->expectedWait(instance, 0, true) == Milliseconds(0))
            this->sendCall(number);
        // Callers that would wait for more than a tenth of a second are refused.
        const auto maxWaiting = static_cast<std::uint32_t>(3 + this->rateOf(number) / 10);
        while (gateway.waiting > maxWaiting) {
            --gateway.waiting;
            gateway.holder->unwant(instance, 0);
        }
    }

    void sendCall(int number)
    {
        Gateway& gateway = this->gateways[number];
        --gateway.waiting;
        gateway.holder->unwant(instance, 0);
        const bool isLimited = gateway.holder->limitOf(instance).has_value();
        const TimePoint useBy = isLimited ? gateway.holder->take(instance) : TimePoint::max();
        // Some connections take long.
        const bool isSlow = this->scenario.hasFaults && this->between(0, 9).count() == 0;
        const TimePoint written = this->timers.now() + (isSlow ? this->between(1, 600) : Milliseconds(1));
        if (written > useBy)
            return;
        const auto since = this->statedSince(written);
        const bool isAfterGrace = since && written >= *since + grace;
        if (isAfterGrace)
            ++this->sentAfterGrace;
        const bool isAware = gateway.awareSince && written >= *gateway.awareSince + awareness;
        if (isAware && isAfterGrace)
            this->counted.push_back(written);
        const std::uint64_t incarnation = gateway.incarnation;
        this->timers.subscribeAt(written + answerTime, [this, number, incarnation, written] {
            Gateway& receiver = this->gateways[number];
            if (receiver.incarnation != incarnation)
                return;
            const bool isStated = this->statedSince(this->timers.now()).has_value();
            const auto limit = isStated ? std::optional(CallRate(this->scenario.limit)) : std::nullopt;
            receiver.holder->onAnswer(instance, 1, limit, written);
            if (isStated)
                receiver.awareSince = receiver.awareSince.value_or(this->timers.now());
            else
                receiver.awareSince.reset();
        });
    }

    // Faults ---------------------------------------------------------------------------------------------------------

    void injectFaults()
    {
        constexpr int ticksPerFault = 30;
        if (this->between(1, ticksPerFault).count() != 1)
            return;
        const int gateway = static_cast<int>(this->between(0, this->scenario.gateways - 1).count());
        const int journal = static_cast<int>(this->between(0, this->scenario.journals - 1).count());
        switch (this->between(0, 6).count()) {
        case 0:
            this->restartJournal(journal);
            break;
        case 1:
            this->startGateway(gateway);
            break;
        case 2:
            this->gateways[gateway].frozenUntil = this->timers.now() + this->between(100, 2000);
            break;
        case 3:
            for (int each = 0; each < this->scenario.journals; ++each)
                this->cutFor(gateway, each, this->between(100, 3000));
            break;
        case 4:
            for (int each = 0; each < this->scenario.gateways; each += 2)
                this->cutFor(each, journal, this->between(500, 4000));
            break;
        case 5:
            this->changeSet(journal);
            break;
        default:
            this->cutFor(gateway, journal, this->between(100, 3000));
        }
    }

    /// One journal leaves the set for some seconds. The processes learn of it one after the other.
    void changeSet(int journal)
    {
        if (this->inForce.size() < this->members.size() || this->members.size() < 3)
            return;
        this->inForce.erase(this->inForce.begin() + journal);
        this->spreadSet();
        this->timers.subscribeAfter(this->between(500, 4000), [this] {
            this->inForce = this->members;
            this->spreadSet();
        });
    }

    void spreadSet()
    {
        for (int each = 0; each < this->scenario.gateways; ++each) {
            this->timers.subscribeAfter(this->between(0, 50),
                [this, each, set = this->inForce] { this->gateways[each].holder->setMembers(set); });
        }
        for (int each = 0; each < this->scenario.journals; ++each) {
            this->timers.subscribeAfter(
                this->between(0, 50), [this, each, set = this->inForce] { this->issuers[each]->setMembers(set); });
        }
    }

    void cutFor(int gateway, int journal, Milliseconds duration)
    {
        if (!this->isUp(gateway, journal))
            return;
        this->linkDown(gateway, journal);
        this->timers.subscribeAfter(duration, [this, gateway, journal] {
            if (!this->isUp(gateway, journal))
                this->linkUp(gateway, journal);
        });
    }

    Scenario scenario;
    std::mt19937 random;
    std::vector<JournalMember> members;
    /// The set of journals without the one that has left.
    std::vector<JournalMember> inForce;
    std::vector<std::unique_ptr<PermitIssuer>> issuers;
    std::vector<Gateway> gateways;
    std::set<std::pair<int, int>> cut;
    std::map<std::pair<int, int>, std::uint64_t> linkNumber;
    std::map<std::tuple<int, int, bool>, TimePoint> lastDelivery;
    std::vector<TimePoint> counted;
    std::size_t sentAfterGrace = 0;
};

}

class SharedLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SharedLimitTest);
    CPPUNIT_TEST(allGatewaysTogetherStayWithinTheLimit);
    CPPUNIT_TEST(theLimitHoldsThroughFaults);
    CPPUNIT_TEST(aLimitBelowOneCallPerGatewayIsUsed);
    CPPUNIT_TEST(aLimitThatEndsAndComesAgainHolds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds shortRun { 14000 };
    static constexpr Milliseconds longRun { 45000 };

    static void check(const Scenario& scenario, unsigned seed, double minUsed, Milliseconds duration = shortRun)
    {
        World world(scenario, seed);
        world.run(duration);
        const double allowed = 1.5 * scenario.limit * std::chrono::duration<double>(span).count() + 5;
        const std::string text = "seed " + std::to_string(seed) + ", " + std::to_string(scenario.gateways)
            + " gateways, limit " + std::to_string(scenario.limit) + ": " + std::to_string(world.largestSpan())
            + " calls, " + std::to_string(world.used(duration)) + " of the limit used";
        CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(world.largestSpan()) <= allowed);
        CPPUNIT_ASSERT_MESSAGE(text, world.used(duration) >= minUsed);
    }

    void allGatewaysTogetherStayWithinTheLimit()
    {
        for (const int gateways : { 1, 5, 20, 60 }) {
            for (const double limit : { 2.0, 6.5, 50.0, 200.0 }) {
                for (const double skew : { 1.0, 10.0 })
                    check({ gateways, 3, limit, 3 * limit, skew, false }, 1, 0.8);
            }
        }
    }

    void theLimitHoldsThroughFaults()
    {
        for (unsigned seed = 1; seed <= 40; ++seed) {
            const int gateways = seed % 2 == 0 ? 5 : 20;
            const double limit = seed % 3 == 0 ? 3.0 : seed % 3 == 1 ? 12.0 : 60.0;
            const int journals = seed % 5 == 0 ? 5 : 3;
            check({ gateways, journals, limit, 4 * limit, seed % 4 == 0 ? 10.0 : 1.0, true }, seed, 0.1);
        }
    }

    void aLimitThatEndsAndComesAgainHolds()
    {
        for (unsigned seed = 1; seed <= 12; ++seed) {
            const int gateways = seed % 2 == 0 ? 5 : 20;
            const double limit = seed % 3 == 0 ? 3.0 : seed % 3 == 1 ? 12.0 : 60.0;
            check({ gateways, 3, limit, 4 * limit, 1, seed > 6, true }, seed, 0.1, longRun);
        }
    }

    void aLimitBelowOneCallPerGatewayIsUsed() { check({ 60, 3, 3, 30, 1, false }, 7, 0.8); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedLimitTest);
