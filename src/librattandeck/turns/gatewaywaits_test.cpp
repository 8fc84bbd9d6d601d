#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// The waits of a call are told apart. Guards against ends of calls that tell only that a call came late to its first
/// instance, and not why.
class GatewayWaitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayWaitsTest);
    CPPUNIT_TEST(journalsAndConnectionAreToldApart);
    CPPUNIT_TEST(waitForRoomIsCounted);
    CPPUNIT_TEST(waitForPermitIsCounted);
    CPPUNIT_TEST(connectionThatNeverCameIsCounted);
    CPPUNIT_TEST(callWithoutWaitsHasNone);
    CPPUNIT_TEST_SUITE_END();

    GatewayFixture f;

public:
    void setUp() override
    {
        Route turns = GatewayFixture::route("turns", CallSafety::Stream);
        turns.retainsTurns = true;
        this->f.configure({ turns, GatewayFixture::route("safe", CallSafety::Safe) });
    }

private:
    static GatewayCall turn()
    {
        GatewayCall call = GatewayFixture::callOn("turns");
        call.program = BudgetId("p");
        call.tokenLimit = TokenCount(1000);
        call.maxOutputTokens = TokenCount(100);
        return call;
    }

    static bool isAbout(Duration wait, Milliseconds expected)
    {
        return wait >= expected && wait <= expected + Milliseconds(10);
    }

    void journalsAndConnectionAreToldApart()
    {
        this->f.addInstance("a");
        this->f.hasConnections = false;
        GatewayCall call = turn();
        call.previousTurn = TurnId("r0");
        const CallId id = this->f.call(call);
        this->f.advance(Milliseconds(30));
        this->f.runJournal("j1");
        this->f.runJournal("j2");
        this->f.advance(Milliseconds(20));
        this->f.runJournals();
        // The turn that it continues is not known, so the call ends.
        CPPUNIT_ASSERT(this->f.callers.at(id).refusal.has_value());
        const CallWaits& waits = this->f.ends.back().waits;
        CPPUNIT_ASSERT(waits.claim && waits.transcript);
        CPPUNIT_ASSERT(*waits.claim == Milliseconds(30) && waits.room == Duration(0));

        this->f.call(turn());
        this->f.runJournals();
        this->f.advance(Milliseconds(40));
        this->f.gateway.onSendWritten(this->f.sends.back().id);
        this->f.advance(Milliseconds(15));
        this->f.gateway.onCallerDisconnected(this->f.sends.back().call);
        CPPUNIT_ASSERT(this->f.ends.back().waits.connection == Milliseconds(40));
        CPPUNIT_ASSERT(!this->f.ends.back().waits.transcript);
    }

    void waitForRoomIsCounted()
    {
        this->f.addInstance("a", false, 1);
        this->f.call(GatewayFixture::callOn("safe"));
        this->f.call(GatewayFixture::callOn("safe"));
        this->f.call(GatewayFixture::callOn("safe"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f.gateway.queuedCalls());
        this->f.advance(Milliseconds(10));
        this->f.advance(Milliseconds(10));
        this->f.head(this->f.sends[0], 200);
        this->f.end(this->f.sends[0]);
        this->f.advance(Milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f.sends.size());
        this->f.head(this->f.sends[2], 200);
        this->f.end(this->f.sends[2]);
        const CallWaits& waits = this->f.ends.back().waits;
        CPPUNIT_ASSERT(isAbout(waits.room, Milliseconds(30)));
        CPPUNIT_ASSERT(waits.permit == Duration(0));
    }

    void waitForPermitIsCounted()
    {
        this->f.gateway.setJournals({ { NodeId("j1"), "j1:1" } });
        this->f.gateway.onJournalUp(NodeId("j1"));
        this->f.addInstance("a");
        this->f.gateway.onJournalMessage(NodeId("j1"), PermitGrants { { grant(0, 0) } });
        this->f.call(GatewayFixture::callOn("safe"));
        for (int i = 0; i < 3; ++i)
            this->f.advance(Milliseconds(10));
        this->f.gateway.onJournalMessage(NodeId("j1"), PermitGrants { { grant(1, this->f.toIssuers.size()) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f.sends.size());
        this->f.head(this->f.sends[0], 200);
        this->f.end(this->f.sends[0]);
        const CallWaits& waits = this->f.ends.back().waits;
        CPPUNIT_ASSERT(isAbout(waits.permit, Milliseconds(30)));
        CPPUNIT_ASSERT(waits.room == Duration(0));
    }

    static PermitGrant grant(std::uint32_t permits, std::size_t ticket)
    {
        PermitGrant granted;
        granted.endpoint = EndpointId("a");
        granted.isLimited = true;
        granted.limit = CallRate(10);
        granted.permits = permits;
        granted.ticket = ticket;
        return granted;
    }

    void connectionThatNeverCameIsCounted()
    {
        this->f.addInstance("a");
        this->f.hasConnections = false;
        this->f.call(GatewayFixture::callOn("safe"));
        this->f.advance(Milliseconds(25));
        this->f.end(this->f.sends[0], SendOutcome::NotSent);
        CPPUNIT_ASSERT(this->f.ends.back().waits.connection == Milliseconds(25));
    }

    void callWithoutWaitsHasNone()
    {
        this->f.addInstance("a");
        this->f.call(GatewayFixture::callOn("safe"));
        this->f.advance(Milliseconds(25));
        this->f.head(this->f.sends[0], 200);
        this->f.end(this->f.sends[0]);
        const CallWaits& waits = this->f.ends.back().waits;
        CPPUNIT_ASSERT(!waits.claim && !waits.transcript);
        CPPUNIT_ASSERT(waits.room + waits.permit + waits.connection == Duration(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayWaitsTest);
