#include "quotaworld_test.h"

using namespace Rattandeck;

/// Gateways and issuers together: tokens, questions and what is said when there are none.
class QuotaHolderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaHolderTest);
    CPPUNIT_TEST(nothingIsSentWithoutCalls);
    CPPUNIT_TEST(aUsualCallWaitsForNoRoundTrip);
    CPPUNIT_TEST(aBurstAtOneGatewayGetsTheTokensOfAllIssuers);
    CPPUNIT_TEST(surplusTokensGoBackAtOnce);
    CPPUNIT_TEST(callsBeyondTheAllowanceAreRefused);
    CPPUNIT_TEST(aPausedHomeIssuerDelaysCallsOnlyAtFirst);
    CPPUNIT_TEST(aRestartedIssuerStartsEmpty);
    CPPUNIT_TEST(aPausedIssuerStartsEmpty);
    CPPUNIT_TEST(anIssuerWithoutAMajorityStops);
    CPPUNIT_TEST(aDroppedIssuerStopsAndOthersTakeOverLater);
    CPPUNIT_TEST(aLoweredLimitCutsTheBuckets);
    CPPUNIT_TEST(journalsThatDoNotAnswerAreNotTakenForAnAllowance);
    CPPUNIT_TEST_SUITE_END();

    static NodeId node(const std::string& name) { return NodeId(name); }
    const OrganisationId org { "org" };

    void nothingIsSentWithoutCalls()
    {
        QuotaWorld world(6, 22);
        world.setAllowance("org", 5, 5);
        world.run(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.messagesSent);
        world.call(node("g1"), "org");
        world.run(Milliseconds(3000));
        // Some time after the last call it is quiet again.
        const std::uint64_t sent = world.messagesSent;
        world.run(Milliseconds(20000));
        CPPUNIT_ASSERT(world.messagesSent - sent <= 2);
    }

    void aUsualCallWaitsForNoRoundTrip()
    {
        QuotaWorld world(6, 1);
        world.setAllowance("org", 60, 60);
        world.run(Milliseconds(3000));
        for (int i = 0; i < 100; ++i) {
            world.call(node("g0"), "org");
            world.run(Milliseconds(50));
        }
        const auto& counts = world.holder(node("g0")).counts();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), counts.taken);
        CPPUNIT_ASSERT(counts.waited <= 8);
    }

    void aBurstAtOneGatewayGetsTheTokensOfAllIssuers()
    {
        QuotaWorld world(6, 22);
        world.setAllowance("org", 5, 5);
        world.run(Milliseconds(5000));
        for (int i = 0; i < 12; ++i)
            world.call(node("g3"), "org");
        world.run(Milliseconds(50));
        // Six buckets of 17 / 6 tokens hold two whole ones each.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), world.counts[this->org].sent);
    }

    void surplusTokensGoBackAtOnce()
    {
        QuotaWorld world(6, 2);
        world.setAllowance("org", 5, 5);
        world.run(Milliseconds(5000));
        for (int i = 0; i < 3; ++i)
            world.call(node("g0"), "org");
        world.run(Milliseconds(20));
        for (int i = 0; i < 9; ++i)
            world.call(node("g1"), "org");
        world.run(Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), world.counts[this->org].sent);
    }

    void callsBeyondTheAllowanceAreRefused()
    {
        QuotaWorld world(6, 4);
        world.setAllowance("org", 50, 50);
        world.run(Milliseconds(5000));
        for (int i = 0; i < 2000; ++i) {
            for (int gateway = 0; gateway < 4; ++gateway)
                world.call(node("g" + std::to_string(gateway)), "org");
            world.run(Milliseconds(10));
        }
        const auto& counts = world.counts[this->org];
        // 20 s at 400 calls a second: 50 x 20 and the burst may be sent, of which few are lost.
        CPPUNIT_ASSERT(counts.sent <= 1062 && counts.sent >= 1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.unavailable);
        CPPUNIT_ASSERT_EQUAL(counts.calls, counts.sent + counts.refused);
        CPPUNIT_ASSERT(world.largestExcess("org", 50, 50) <= 50 * 0.4 + 12);
    }

    /// The issuer that gateway g0 asks first.
    static NodeId homeOf(QuotaWorld& world)
    {
        std::map<NodeId, double> before;
        for (const auto& member : world.members)
            before[member.node] = world.issuer(member.node).counts().granted;
        world.call(node("g0"), "org");
        world.run(Milliseconds(20));
        for (const auto& member : world.members) {
            if (world.issuer(member.node).counts().granted > before[member.node])
                return member.node;
        }
        return {};
    }

    void aPausedHomeIssuerDelaysCallsOnlyAtFirst()
    {
        QuotaWorld world(6, 1);
        world.setAllowance("org", 60, 60);
        world.run(Milliseconds(3000));
        world.pause(homeOf(world));
        world.run(Milliseconds(1000));
        for (int i = 0; i < 40; ++i) {
            world.call(node("g0"), "org");
            world.run(Milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(41), world.counts[this->org].sent);
        const auto& counts = world.holder(node("g0")).counts();
        CPPUNIT_ASSERT(counts.waitedFor < Milliseconds(400));
    }

    void aRestartedIssuerStartsEmpty()
    {
        QuotaWorld world(1, 1);
        world.setAllowance("org", 5, 20);
        world.run(Milliseconds(10000));
        world.restart(node("j0"));
        for (int i = 0; i < 30; ++i)
            world.call(node("g0"), "org");
        world.run(Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.counts[this->org].sent);
    }

    void aPausedIssuerStartsEmpty()
    {
        QuotaWorld world(1, 1);
        world.setAllowance("org", 5, 20);
        world.run(Milliseconds(10000));
        world.pause(node("j0"));
        world.run(Milliseconds(3000));
        world.resume(node("j0"));
        for (int i = 0; i < 30; ++i)
            world.call(node("g0"), "org");
        world.run(Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.counts[this->org].sent);
    }

    void anIssuerWithoutAMajorityStops()
    {
        QuotaWorld world(3, 1);
        world.setAllowance("org", 30, 30);
        world.run(Milliseconds(3000));
        world.unlink(node("j0"), node("j1"));
        world.unlink(node("j0"), node("j2"));
        world.run(Milliseconds(1400));
        CPPUNIT_ASSERT(world.issuer(node("j0")).isIssuing());
        world.run(Milliseconds(200));
        CPPUNIT_ASSERT(!world.issuer(node("j0")).isIssuing());
        CPPUNIT_ASSERT(world.issuer(node("j1")).isIssuing());
        world.link(node("j0"), node("j1"));
        CPPUNIT_ASSERT(world.issuer(node("j0")).isIssuing());
    }

    void aDroppedIssuerStopsAndOthersTakeOverLater()
    {
        QuotaWorld world(3, 1);
        world.setAllowance("org", 30, 0);
        world.run(Milliseconds(3000));
        auto rest = world.members;
        rest.pop_back();
        world.setMembers(rest);
        CPPUNIT_ASSERT(!world.issuer(node("j2")).isIssuing());
        for (int i = 0; i < 400; ++i) {
            world.call(node("g0"), "org");
            world.run(Milliseconds(10));
        }
        // 12 x 2 / 3 in the buckets, 2 s at two thirds of the rate, then the whole.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8 + 40 + 60, double(world.counts[this->org].sent), 5);
    }

    void aLoweredLimitCutsTheBuckets()
    {
        QuotaWorld world(6, 1);
        world.setAllowance("org", 100, 200);
        world.run(Milliseconds(10000));
        world.setAllowance("org", 5, 0);
        for (int i = 0; i < 50; ++i)
            world.call(node("g0"), "org");
        world.run(Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), world.counts[this->org].sent);
    }

    void journalsThatDoNotAnswerAreNotTakenForAnAllowance()
    {
        QuotaWorld world(2, 1);
        world.setAllowance("org", 5, 5);
        world.run(Milliseconds(5000));
        world.lossRate = 1;
        world.call(node("g0"), "org");
        world.run(Milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.counts[this->org].unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaHolderTest);
