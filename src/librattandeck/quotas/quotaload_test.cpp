#include "quotaworld_test.h"

#include <cmath>
#include <iostream>

using namespace Rattandeck;

/// Replays the loads for which the allowances are designed, and checks what callers get.
class QuotaLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaLoadTest);
    CPPUNIT_TEST(smallOrganisationsGetTheirAllowance);
    CPPUNIT_TEST(hotOrganisationsAreHeldToTheirAllowance);
    CPPUNIT_TEST(programsUnderWayGoBeforeNewOnes);
    CPPUNIT_TEST(messagesAtSeventyEightOrganisations);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int gateways = 22;
    static constexpr int length = 8;

    /// One bucket for all gateways.
    struct IdealBucket {
        double rate;
        double size;
        double tokens = size;
        bool take(double elapsed)
        {
            this->tokens = std::min(this->size, this->tokens + this->rate * elapsed);
            if (this->tokens < 1)
                return false;
            this->tokens -= 1;
            return true;
        }
    };

    void smallOrganisationsGetTheirAllowance()
    {
        for (const double rate : { 3.0, 5.0, 10.0 }) {
            QuotaWorld world(6, gateways);
            const int organisations = 20;
            std::vector<IdealBucket> ideal;
            for (int i = 0; i < organisations; ++i) {
                world.setAllowance("o" + std::to_string(i), rate, rate);
                ideal.push_back({ rate, rate + 12 });
            }
            world.run(Milliseconds(8000));
            std::mt19937 random(7);
            std::uint64_t within = 0;
            std::uint64_t lost = 0;
            std::uint64_t lostBelow = 0;
            constexpr int stepMs = 5;
            // Bursts of 1 to 6 calls, 3.5 on average, at 1 / 1.6 of the allowance.
            std::bernoulli_distribution arrival(rate / 1.6 / 3.5 * stepMs / 1000);
            std::uniform_int_distribution<> size(1, 6);
            std::uniform_int_distribution<> gateway(0, gateways - 1);
            for (int step = 0; step < 60000 / stepMs; ++step) {
                for (int i = 0; i < organisations; ++i) {
                    ideal[i].tokens = std::min(ideal[i].size, ideal[i].tokens + rate * stepMs / 1000);
                    if (!arrival(random))
                        continue;
                    const NodeId at("g" + std::to_string(gateway(random)));
                    const int calls = size(random);
                    const OrganisationId id("o" + std::to_string(i));
                    for (int call = 0; call < calls; ++call) {
                        within += ideal[i].take(0) ? 1 : 0;
                        world.call(at, id.value);
                    }
                }
                world.run(Milliseconds(stepMs));
            }
            std::uint64_t calls = 0;
            std::uint64_t sent = 0;
            double excess = 0;
            for (int i = 0; i < organisations; ++i) {
                const OrganisationId id("o" + std::to_string(i));
                calls += world.counts[id].calls;
                sent += world.counts[id].sent;
                lost += world.counts[id].refused + world.counts[id].unavailable;
                lostBelow += world.counts[id].refusedBelow;
                excess = std::max(excess, world.largestExcess(id.value, rate, rate));
            }
            std::cout << "rate " << rate << ": " << calls << " calls, " << within << " within a single bucket, " << sent
                      << " sent, " << lost << " refused, " << lostBelow << " of them below the allowance; excess "
                      << excess << '\n';
            // A single bucket of the same size, to which all gateways had access, would do hardly better.
            CPPUNIT_ASSERT(static_cast<double>(sent) >= 0.99 * static_cast<double>(within));
            CPPUNIT_ASSERT(static_cast<double>(lostBelow) <= 0.02 * static_cast<double>(calls));
            CPPUNIT_ASSERT(excess <= 0.4 * rate + 12);
        }
    }

    void hotOrganisationsAreHeldToTheirAllowance()
    {
        QuotaWorld world(6, gateways);
        const std::vector<double> usual { 3, 10, 30, 100, 200 };
        for (std::size_t i = 0; i < usual.size(); ++i)
            world.setAllowance("o" + std::to_string(i), 1.6 * usual[i], 1.6 * usual[i]);
        world.run(Milliseconds(8000));
        std::mt19937 random(3);
        std::uniform_int_distribution<> gateway(0, gateways - 1);
        std::uniform_real_distribution<> fraction(0, 1);
        // Three organisations are hot for 6 s, at 3, 5 and 8 times their usual rate.
        const std::vector<double> factor { 1, 8, 1, 5, 3 };
        std::vector<double> calls(usual.size());
        for (int ms = 0; ms < 6000; ++ms) {
            for (std::size_t i = 0; i < usual.size(); ++i) {
                calls[i] += usual[i] * factor[i] / 1000;
                while (calls[i] >= fraction(random)) {
                    calls[i] -= 1;
                    world.call(NodeId("g" + std::to_string(gateway(random))), "o" + std::to_string(i));
                }
            }
            world.run(Milliseconds(1));
        }
        for (std::size_t i = 0; i < usual.size(); ++i) {
            const std::string id = "o" + std::to_string(i);
            const auto& counts = world.counts[OrganisationId(id)];
            const double rate = 1.6 * usual[i];
            std::cout << id << " x" << factor[i] << ": " << counts.calls << " calls, " << counts.sent << " sent, "
                      << counts.refused << " refused, allowance " << rate * 6 + rate << ", excess "
                      << world.largestExcess(id, rate, rate) << '\n';
            CPPUNIT_ASSERT(world.largestExcess(id, rate, rate) <= 0.4 * rate + 12);
            if (factor[i] > 1)
                CPPUNIT_ASSERT(static_cast<double>(counts.sent) >= 0.95 * rate * 7);
            else
                CPPUNIT_ASSERT(static_cast<double>(counts.refused) <= 0.01 * static_cast<double>(counts.calls));
        }
        std::cout << "messages a second: " << double(world.messagesSent) / 6 / gateways << " a gateway\n";
    }

    /// Runs programs of 8 calls, of which 18 start in a second; a refused call fails its program. Returns the programs
    /// that are complete after 12 s.
    static int completedPrograms(bool distinguish)
    {
        QuotaWorld world(6, gateways);
        world.setAllowance("org", 48, 48);
        world.run(Milliseconds(8000));
        std::mt19937 random(5);
        std::uniform_int_distribution<> gateway(0, gateways - 1);
        // Calls that are due, by time: the number of the program's calls that are left.
        std::multimap<int, int> due;
        for (int start = 0; start < 12000; start += 55)
            due.emplace(start, length);
        int complete = 0;
        for (int ms = 0; ms < 12000; ++ms) {
            for (auto next = due.find(ms); next != due.end(); next = due.find(ms)) {
                const int left = next->second;
                due.erase(next);
                const bool isFirst = left == length && distinguish;
                world.call(NodeId("g" + std::to_string(gateway(random))), "org",
                    isFirst ? QuotaKind::FirstTurn : QuotaKind::Call, [&, ms, left](bool isSent) {
                        if (isSent && left == 1)
                            ++complete;
                        else if (isSent)
                            due.emplace(ms + 200, left - 1);
                    });
            }
            world.run(Milliseconds(1));
        }
        return complete;
    }

    void programsUnderWayGoBeforeNewOnes()
    {
        const int with = completedPrograms(true);
        const int without = completedPrograms(false);
        std::cout << 12000 / 55 << " programs started: " << with << " complete, " << without
                  << " if first turns are not distinguished\n";
        // 12 s of 48 calls a second and the burst are enough for 80 programs of 8 calls.
        CPPUNIT_ASSERT(with >= 55);
        CPPUNIT_ASSERT(with > 2 * without);
    }

    void messagesAtSeventyEightOrganisations()
    {
        QuotaWorld world(6, gateways);
        std::vector<double> rates;
        for (int i = 0; i < 78; ++i) {
            rates.push_back(3 * std::pow(100.0, double(i) / 77) / 1.6);
            world.setAllowance("o" + std::to_string(i), rates[i] * 1.6, rates[i] * 1.6);
        }
        world.run(Milliseconds(8000));
        std::mt19937 random(11);
        std::uniform_int_distribution<> gateway(0, gateways - 1);
        std::uint64_t calls = 0;
        std::uint64_t fromGateways = 0;
        std::uint64_t waited = 0;
        std::uint64_t refused = 0;
        for (int ms = 0; ms < 20000; ++ms) {
            if (ms == 10000) {
                calls = 0;
                for (int g = 0; g < gateways; ++g) {
                    const auto& c = world.holder(NodeId("g" + std::to_string(g))).counts();
                    fromGateways -= c.messages;
                    waited -= c.waited;
                    refused -= c.refused;
                }
            }
            for (int i = 0; i < 78; ++i) {
                if (!std::bernoulli_distribution(std::min(1.0, rates[i] / 1000))(random))
                    continue;
                ++calls;
                world.call(NodeId("g" + std::to_string(gateway(random))), "o" + std::to_string(i));
            }
            world.run(Milliseconds(1));
        }
        for (int i = 0; i < gateways; ++i) {
            const auto& counts = world.holder(NodeId("g" + std::to_string(i))).counts();
            fromGateways += counts.messages;
            waited += counts.waited;
            refused += counts.refused;
        }
        const double perGateway = double(fromGateways) / 10 / gateways;
        std::cout << double(calls) / 10 << " calls/s, " << perGateway << " messages/s from each gateway, "
                  << 100.0 * double(waited) / double(calls) << "% waited, " << refused << " refused\n";
        CPPUNIT_ASSERT(refused * 1000 <= calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLoadTest);
