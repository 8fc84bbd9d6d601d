#include "Rattandeck/permitissuer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Rattandeck;

namespace {

const EndpointId instance("e1");

/// One journal that issues permits, with gateways g1 and g2.
struct IssuerFixture {
    TimerService timers;
    std::map<NodeId, std::vector<PermitGrant>> grants;
    std::map<NodeId, std::uint32_t> linkedCounts;
    std::uint64_t lastTicket = 0;
    PermitIssuer issuer;

    explicit IssuerFixture(NodeId self = issuersOf(members(), instance).primary)
        : issuer(this->timers, std::move(self), [this](const NodeId& node, const Message& message) {
            if (const auto* linked = std::get_if<GatewaysLinked>(&message))
                this->linkedCounts[node] = linked->count;
            if (const auto* received = std::get_if<PermitGrants>(&message)) {
                auto& known = this->grants[node];
                known.insert(known.end(), received->grants.begin(), received->grants.end());
            }
            return true;
        })
    {
        this->issuer.setMembers(members());
        for (const char* gateway : { "g1", "g2" })
            this->issuer.onLinkUp(NodeId(gateway), Role::Gateway);
    }

    static std::vector<JournalMember> members() { return { { NodeId("j1"), {} }, { NodeId("j2"), {} } }; }

    static PermitRequest request(std::vector<std::uint32_t> wanted, double limit = 10)
    {
        PermitRequest request;
        request.endpoint = instance;
        request.startedAt = 1;
        request.isLimited = true;
        request.limit = CallRate(limit);
        request.wanted = std::move(wanted);
        return request;
    }

    void ask(const char* gateway, const PermitRequest& request)
    {
        this->issuer.onMessage(NodeId(gateway), PermitRequests { ++this->lastTicket, { request } });
    }

    std::uint32_t issuedTo(const char* gateway)
    {
        std::uint32_t permits = 0;
        for (const PermitGrant& grant : this->grants[NodeId(gateway)])
            permits += grant.permits;
        return permits;
    }

    void advance(int milliseconds) { this->timers.advanceTo(this->timers.now() + Milliseconds(milliseconds)); }
};

}

class PermitIssuerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitIssuerTest);
    CPPUNIT_TEST(permitsAreIssuedAtTheStatedRate);
    CPPUNIT_TEST(standbyIssuesAFixedPartOfTheRate);
    CPPUNIT_TEST(aJournalOutsideTheIssuersIssuesNothing);
    CPPUNIT_TEST(urgentCallsAreServedFirst);
    CPPUNIT_TEST(equallyUrgentGatewaysTakeTurns);
    CPPUNIT_TEST(permitsOnTheWayAreNotIssuedAgain);
    CPPUNIT_TEST(unusedPermitsAreIssuedAgain);
    CPPUNIT_TEST(unusedPermitsOfAnEarlierLimitAreNotIssuedAgain);
    CPPUNIT_TEST(aGatewayThatCountsAnewGetsPermits);
    CPPUNIT_TEST(requestsThatAreNotRepeatedLapse);
    CPPUNIT_TEST(backlogTellsHowLongAPermitTakes);
    CPPUNIT_TEST(gatewaysAreToldOfLimitsThatBeginChangeAndEnd);
    CPPUNIT_TEST(aNewGatewayIsToldTheKnownLimits);
    CPPUNIT_TEST(anOlderProcessOfTheInstanceIsIgnored);
    CPPUNIT_TEST(gatewaysAreToldTheirNumber);
    CPPUNIT_TEST(requestsOfUnlinkedProcessesAreIgnored);
    CPPUNIT_TEST(oddNumbersAreHarmless);
    CPPUNIT_TEST_SUITE_END();

    void permitsAreIssuedAtTheStatedRate()
    {
        IssuerFixture f;
        for (int round = 0; round < 40; ++round) {
            auto request = IssuerFixture::request({ 50 });
            request.received = f.issuedTo("g1");
            f.ask("g1", request);
            f.advance(100);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, f.issuedTo("g1"), 2);
    }

    void standbyIssuesAFixedPartOfTheRate()
    {
        const PermitIssuers issuers = issuersOf(IssuerFixture::members(), instance);
        for (const NodeId& node : { issuers.primary, issuers.standby }) {
            IssuerFixture journal(node);
            for (int round = 0; round < 40; ++round) {
                auto request = IssuerFixture::request({ 50 });
                request.received = journal.issuedTo("g1");
                journal.ask("g1", request);
                journal.advance(100);
            }
            const double expected = node == issuers.primary ? 40 : 8;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, journal.issuedTo("g1"), 2);
        }
    }

    void aJournalOutsideTheIssuersIssuesNothing()
    {
        IssuerFixture f;
        f.issuer.setMembers({ { NodeId("other"), {} } });
        f.ask("g1", IssuerFixture::request({ 5 }));
        f.advance(2000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.issuedTo("g1"));
    }

    void urgentCallsAreServedFirst()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 0, 0, 0, 2 }));
        f.ask("g2", IssuerFixture::request({ 2 }));
        f.advance(220);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), f.issuedTo("g2"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.issuedTo("g1"));
        f.advance(150);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.issuedTo("g1"));
    }

    void equallyUrgentGatewaysTakeTurns()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 9 }));
        f.ask("g2", IssuerFixture::request({ 9 }));
        f.advance(390);
        CPPUNIT_ASSERT(f.issuedTo("g1") + f.issuedTo("g2") >= 3);
        CPPUNIT_ASSERT(f.issuedTo("g1") >= 1 && f.issuedTo("g2") >= 1);
    }

    void permitsOnTheWayAreNotIssuedAgain()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 1 }));
        f.advance(110);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.issuedTo("g1"));
        // The same request again, sent before the permit has arrived.
        f.ask("g1", IssuerFixture::request({ 1 }));
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.issuedTo("g1"));
    }

    void unusedPermitsAreIssuedAgain()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 1 }, 1));
        f.advance(1010);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.issuedTo("g1"));
        f.ask("g1", IssuerFixture::request({ 1 }, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.issuedTo("g1"));
        auto giveBack = IssuerFixture::request({}, 1);
        giveBack.received = 1;
        giveBack.unused = 1;
        f.ask("g1", giveBack);
        f.ask("g2", IssuerFixture::request({ 1 }, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.issuedTo("g2"));
    }

    void unusedPermitsOfAnEarlierLimitAreNotIssuedAgain()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 1 }));
        f.advance(1000);
        PermitRequest ended = IssuerFixture::request({});
        ended.isLimited = false;
        f.ask("g1", ended);
        f.advance(1000);
        // The gateway's counts go on from those of the first limit.
        const std::uint32_t before = f.issuedTo("g1");
        for (int round = 0; round < 40; ++round) {
            auto request = IssuerFixture::request({ 50 });
            request.received = 60 + f.issuedTo("g1");
            request.unused = 60;
            f.ask("g1", request);
            f.advance(100);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, f.issuedTo("g1") - before, 4);
    }

    void aGatewayThatCountsAnewGetsPermits()
    {
        IssuerFixture f;
        for (int round = 0; round < 20; ++round) {
            auto request = IssuerFixture::request({ 5 });
            request.received = f.issuedTo("g1");
            f.ask("g1", request);
            f.advance(100);
        }
        const std::uint32_t before = f.issuedTo("g1");
        // It has asked another issuer meanwhile.
        f.ask("g1", IssuerFixture::request({ 1 }));
        f.advance(300);
        CPPUNIT_ASSERT(f.issuedTo("g1") > before);
    }

    void requestsThatAreNotRepeatedLapse()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 20 }));
        f.advance(5000);
        CPPUNIT_ASSERT(f.issuedTo("g1") <= 6);
    }

    void backlogTellsHowLongAPermitTakes()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({ 4, 0, 0, 3 }));
        const PermitGrant& notice = f.grants[NodeId("g1")].back();
        CPPUNIT_ASSERT_EQUAL(urgencyLevels, notice.backlog.size());
        CPPUNIT_ASSERT(notice.backlog[0] == Milliseconds(500));
        CPPUNIT_ASSERT(notice.backlog[3] == Milliseconds(800));
    }

    void gatewaysAreToldOfLimitsThatBeginChangeAndEnd()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({}));
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.grants[NodeId("g2")].size());
        CPPUNIT_ASSERT(f.grants[NodeId("g2")].back().isLimited);
        CPPUNIT_ASSERT_EQUAL(10.0, f.grants[NodeId("g2")].back().limit.value);
        f.ask("g1", IssuerFixture::request({}, 4));
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(4.0, f.grants[NodeId("g2")].back().limit.value);
        PermitRequest ended = IssuerFixture::request({});
        ended.isLimited = false;
        f.ask("g1", ended);
        f.advance(300);
        CPPUNIT_ASSERT(!f.grants[NodeId("g2")].back().isLimited);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.issuer.limitedInstances());
    }

    void aNewGatewayIsToldTheKnownLimits()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({}));
        f.issuer.onLinkUp(NodeId("g3"), Role::Gateway);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.grants[NodeId("g3")].size());
        CPPUNIT_ASSERT(f.grants[NodeId("g3")].front().endpoint == instance);
    }

    void anOlderProcessOfTheInstanceIsIgnored()
    {
        IssuerFixture f;
        f.ask("g1", IssuerFixture::request({}));
        PermitRequest older = IssuerFixture::request({}, 99);
        older.startedAt = 0;
        f.ask("g2", older);
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(10.0, f.grants[NodeId("g2")].back().limit.value);
    }

    void gatewaysAreToldTheirNumber()
    {
        IssuerFixture f;
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), f.linkedCounts[NodeId("g1")]);
        f.issuer.onLinkDown(NodeId("g2"));
        f.issuer.onLinkUp(NodeId("j9"), Role::Journal);
        f.advance(300);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), f.linkedCounts[NodeId("g1")]);
    }

    void requestsOfUnlinkedProcessesAreIgnored()
    {
        IssuerFixture f;
        f.ask("unknown", IssuerFixture::request({ 3 }));
        f.advance(1000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.issuedTo("unknown"));
    }

    void oddNumbersAreHarmless()
    {
        IssuerFixture f;
        PermitRequest odd = IssuerFixture::request(std::vector<std::uint32_t>(100, 4000000000U), -5);
        odd.age = Milliseconds(-100000);
        odd.received = ~0ULL;
        odd.unused = ~0ULL;
        f.ask("g1", odd);
        f.advance(3000);
        CPPUNIT_ASSERT(f.issuedTo("g1") <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitIssuerTest);
