#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Turns of programs: streams, budgets and retained turns.
class GatewayTurnsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTurnsTest);
    CPPUNIT_TEST(eventsArePassedOnWhole);
    CPPUNIT_TEST(cutStreamIsNotCompleted);
    CPPUNIT_TEST(streamCutInAnEventIsNotCompleted);
    CPPUNIT_TEST(resumableStreamGoesOnElsewhere);
    CPPUNIT_TEST(silentStreamGoesOnElsewhere);
    CPPUNIT_TEST(turnWaitsForItsClaim);
    CPPUNIT_TEST(spentBudgetIsRefusedWithoutSending);
    CPPUNIT_TEST(usedTokensAreSettled);
    CPPUNIT_TEST(claimOfACallerWhoLeftIsGivenBack);
    CPPUNIT_TEST(retainedTurnEndsWithTwoCopies);
    CPPUNIT_TEST(continuedTurnGetsTheChain);
    CPPUNIT_TEST(unknownTurnIsRefused);
    CPPUNIT_TEST(withoutJournalsNothingIsUnknown);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        Route plain = GatewayFixture::route("stream", CallSafety::Stream);
        Route resumable = GatewayFixture::route("resumable", CallSafety::Stream);
        resumable.canResume = true;
        Route retained = GatewayFixture::route("retained", CallSafety::Stream);
        retained.retainsTurns = true;
        retained.turnRetention = Milliseconds(60000);
        this->f->configure({ plain, resumable, retained });
        this->f->addInstance("e1");
        this->f->addInstance("e2");
    }

private:
    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    GatewayFixture::Sent lastSend() { return this->f->sends.back(); }
    CallId callOn(const char* route) { return this->f->call(GatewayFixture::callOn(route)); }

    static GatewayCall turnOn(const char* route, const std::string& previous = {})
    {
        GatewayCall call = GatewayFixture::callOn(route);
        call.program = BudgetId("p");
        call.tokenLimit = TokenCount(100);
        call.maxOutputTokens = TokenCount(40);
        call.previousTurn = TurnId(previous);
        return call;
    }

    void eventsArePassedOnWhole()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->gateway.onAnswerData(this->lastSend().id, "id: 1\ndata: on");
        CPPUNIT_ASSERT(!this->caller(id).head);
        this->f->gateway.onAnswerData(this->lastSend().id, "e\n\nid: 2\nda");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: one\n\n"), this->caller(id).bytes);
        this->f->gateway.onAnswerData(this->lastSend().id, "ta: two\n\n");
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: one\n\nid: 2\ndata: two\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void cutStreamIsNotCompleted()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT(this->caller(id).isBroken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void streamCutInAnEventIsNotCompleted()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->gateway.onAnswerData(this->lastSend().id, "id: 2\ndata: tw");
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isBroken);
    }

    void resumableStreamGoesOnElsewhere()
    {
        const CallId id = this->callOn("resumable");
        this->f->head(this->lastSend(), 200, true);
        const SendId first = this->lastSend().id;
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), *this->lastSend().what.resumeAfter);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 2);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded && this->caller(id).head == first);
    }

    void silentStreamGoesOnElsewhere()
    {
        this->callOn("resumable");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->pass(GatewayLimits().streamStall + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->f->sends.front().isCancelled);
    }

    void turnWaitsForItsClaim()
    {
        this->f->call(turnOn("stream"));
        this->f->runJournal("j1");
        CPPUNIT_ASSERT(this->f->sends.empty());
        this->f->runJournal("j3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void spentBudgetIsRefusedWithoutSending()
    {
        for (int i = 0; i < 2; ++i) {
            this->f->call(turnOn("stream"));
            this->f->runJournals();
        }
        const CallId third = this->f->call(turnOn("stream"));
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(third).refusal->reason == RejectionReason::BudgetSpent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
    }

    void usedTokensAreSettled()
    {
        for (int i = 0; i < 3; ++i) {
            const CallId id = this->f->call(turnOn("stream"));
            this->f->runJournals();
            this->f->head(this->lastSend(), 200, true);
            this->f->event(this->lastSend(), 1);
            this->f->end(this->lastSend());
            CPPUNIT_ASSERT(this->caller(id).isEnded);
        }
        this->f->runJournals();
        const auto claims = this->f->states[NodeId("j2")].claims(BudgetId("p"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), claims.size());
        for (const TokenClaim& claim : claims)
            CPPUNIT_ASSERT(claim.isSettled && claim.tokens == TokenCount(10));
    }

    void claimOfACallerWhoLeftIsGivenBack()
    {
        const CallId id = this->f->call(turnOn("stream"));
        this->f->gateway.onCallerDisconnected(id);
        this->f->runJournals();
        this->f->runJournals();
        const auto claims = this->f->states[NodeId("j2")].claims(BudgetId("p"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claims.size());
        CPPUNIT_ASSERT(claims.front().isSettled && claims.front().tokens == TokenCount(0));
    }

    CallId runRetained(const std::string& previous)
    {
        const CallId id = this->f->call(turnOn("retained", previous));
        this->f->runJournals();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend());
        return id;
    }

    void retainedTurnEndsWithTwoCopies()
    {
        const CallId id = this->runRetained({});
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->runJournal("j2");
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->runJournal("j1");
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void continuedTurnGetsTheChain()
    {
        this->runRetained({});
        this->f->runJournals();
        this->runRetained("r1");
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\ninput"), *this->lastSend().what.body);
        this->f->runJournals();
        this->runRetained("r2");
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\ninputd1\ninput"), *this->lastSend().what.body);
    }

    void unknownTurnIsRefused()
    {
        const CallId id = this->f->call(turnOn("retained", "never"));
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::UnknownTurn);
        CPPUNIT_ASSERT(this->f->sends.empty());
    }

    void withoutJournalsNothingIsUnknown()
    {
        const CallId id = this->f->call(turnOn("retained", "perhaps"));
        for (const char* name : { "j1", "j2" })
            this->f->journals.onLinkDown(NodeId(name));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::JournalsUnavailable);
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter > Milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTurnsTest);
