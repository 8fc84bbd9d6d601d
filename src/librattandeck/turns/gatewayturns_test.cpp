#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Turns of programs: streams, budgets and retained turns.
class GatewayTurnsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTurnsTest);
    CPPUNIT_TEST(eventsAreRelayedOnlyWhenComplete);
    CPPUNIT_TEST(interruptedStreamIsAborted);
    CPPUNIT_TEST(streamThatEndsWithinAnEventIsAborted);
    CPPUNIT_TEST(interruptedStreamIsResumedAtAnotherInstance);
    CPPUNIT_TEST(stalledStreamIsResumedAtAnotherInstance);
    CPPUNIT_TEST(stalledStreamIsNotCutWhenNoRetryIsAllowed);
    CPPUNIT_TEST(turnIsNotSentBeforeItsClaimIsGranted);
    CPPUNIT_TEST(turnBeyondTheBudgetIsRefusedWithoutSending);
    CPPUNIT_TEST(claimIsSettledWithTheTokensUsed);
    CPPUNIT_TEST(claimIsReleasedWhenTheCallerDisconnects);
    CPPUNIT_TEST(retainedTurnEndsAfterTwoJournalsStoredIt);
    CPPUNIT_TEST(completeAnswerIsNotCutWhileItsTurnIsStoredLate);
    CPPUNIT_TEST(turnIsStoredAfterSeveralFailedAttempts);
    CPPUNIT_TEST(storesAreRepeatedAtGrowingIntervals);
    CPPUNIT_TEST(answerIsCutAtItsDeadlineWhenItsTurnIsNotStored);
    CPPUNIT_TEST(turnIsKeptUntilARequestSentWithinItsRetentionHasArrived);
    CPPUNIT_TEST(budgetOfAStoppedProgramIsKnownWhenItReturns);
    CPPUNIT_TEST(continuedTurnIsSentWithTheWholeTranscript);
    CPPUNIT_TEST(unknownPreviousTurnIsRefused);
    CPPUNIT_TEST(turnWithoutJournalsIsRefusedAsUnavailable);
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

    void eventsAreRelayedOnlyWhenComplete()
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

    void interruptedStreamIsAborted()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT(this->caller(id).isBroken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void streamThatEndsWithinAnEventIsAborted()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->gateway.onAnswerData(this->lastSend().id, "id: 2\ndata: tw");
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isBroken);
    }

    void interruptedStreamIsResumedAtAnotherInstance()
    {
        const CallId id = this->callOn("resumable");
        this->f->head(this->lastSend(), 200, true);
        const SendId first = this->lastSend().id;
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), *this->lastSend().details.resumeAfter);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 2);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded && this->caller(id).head == first);
    }

    void stalledStreamIsResumedAtAnotherInstance()
    {
        this->callOn("resumable");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->advance(GatewayLimits().streamStallTimeout + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->f->sends.front().isCancelled);
    }

    void stalledStreamIsNotCutWhenNoRetryIsAllowed()
    {
        GatewayLimits limits;
        limits.retryBurst = 0;
        limits.retryRatio = 0;
        GatewayFixture bounded(limits);
        Route resumable = GatewayFixture::route("resumable", CallSafety::Stream);
        resumable.canResume = true;
        bounded.configure({ resumable });
        bounded.addInstance("e1");
        bounded.addInstance("e2");
        const CallId id = bounded.call(GatewayFixture::callOn("resumable"));
        bounded.head(bounded.sends.front(), 200, true);
        bounded.event(bounded.sends.front(), 1);
        bounded.advance(limits.streamStallTimeout * 2);
        CPPUNIT_ASSERT(!bounded.callers.at(id).isBroken && !bounded.sends.front().isCancelled);
        bounded.event(bounded.sends.front(), 2);
        bounded.end(bounded.sends.front());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"), bounded.callers.at(id).bytes);
        CPPUNIT_ASSERT(bounded.callers.at(id).isEnded);
    }

    void turnIsNotSentBeforeItsClaimIsGranted()
    {
        this->f->call(turnOn("stream"));
        this->f->runJournal("j1");
        CPPUNIT_ASSERT(this->f->sends.empty());
        this->f->runJournal("j3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void turnBeyondTheBudgetIsRefusedWithoutSending()
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

    void claimIsSettledWithTheTokensUsed()
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

    void claimIsReleasedWhenTheCallerDisconnects()
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

    void retainedTurnEndsAfterTwoJournalsStoredIt()
    {
        const CallId id = this->runRetained({});
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->runJournal("j2");
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->runJournal("j1");
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void completeAnswerIsNotCutWhileItsTurnIsStoredLate()
    {
        const CallId id = this->runRetained({});
        this->f->advance(JournalClientLimits().answerTimeout + Milliseconds(300));
        CPPUNIT_ASSERT(!this->caller(id).isBroken);
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).isEnded && !this->caller(id).isBroken);
    }

    std::size_t countStores()
    {
        std::size_t stores = 0;
        for (const auto& [node, message] : this->f->toJournals)
            stores += std::holds_alternative<StoreTurn>(message) ? 1 : 0;
        return stores;
    }

    void turnIsStoredAfterSeveralFailedAttempts()
    {
        constexpr std::size_t members = 3;
        const CallId id = this->runRetained({});
        this->f->advance(JournalClientLimits().answerTimeout * 2 + Milliseconds(300));
        CPPUNIT_ASSERT(this->countStores() >= 3 * members);
        this->f->toJournals.erase(this->f->toJournals.begin(), this->f->toJournals.end() - members);
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void storesAreRepeatedAtGrowingIntervals()
    {
        // With one journal left each attempt fails at once.
        this->f->runJournals();
        const CallId id = this->runRetained({});
        this->f->toJournals.clear();
        for (const char* name : { "j1", "j2", "j3" })
            this->f->journals.onLinkDown(NodeId(name));
        this->f->unlinked = { NodeId("j1"), NodeId("j2") };
        this->f->advance(Milliseconds(2900));
        CPPUNIT_ASSERT(!this->caller(id).isEnded && this->countStores() < 10);
    }

    void answerIsCutAtItsDeadlineWhenItsTurnIsNotStored()
    {
        const CallId id = this->runRetained({});
        this->f->advance(Milliseconds(3001));
        CPPUNIT_ASSERT(this->caller(id).isBroken && !this->caller(id).isEnded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.openCalls());
    }

    void expireJournals()
    {
        for (auto& [node, state] : this->f->states)
            state.expire(this->f->timers.now());
    }

    /// Guards against 404 within a turn's retention: journals counted it from when they stored the turn, which is
    /// before its caller has the end of the answer, and until now, which is after a caller has sent the next turn.
    void turnIsKeptUntilARequestSentWithinItsRetentionHasArrived()
    {
        constexpr Milliseconds retention { 60000 };
        constexpr Milliseconds slowLink { 2000 };
        const CallId id = this->f->call(turnOn("retained"));
        this->f->runJournals();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend());
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).isEnded);
        this->f->advance(slowLink + retention + slowLink);
        this->expireJournals();
        for (const char* name : { "j1", "j2", "j3" })
            CPPUNIT_ASSERT(this->f->states[NodeId(name)].hasTurn(TurnId("r1")));
    }

    /// Guards against a budget that is spent twice: journals forgot it as soon as a turn's retention had passed since
    /// the last turn, and a program that was stopped later than that may return within the retention.
    void budgetOfAStoppedProgramIsKnownWhenItReturns()
    {
        constexpr Milliseconds fromLastTurnToStop { 30000 };
        constexpr Milliseconds fromStopToReturn { 59000 };
        GatewayCall turn = turnOn("retained");
        turn.maxOutputTokens = TokenCount(100);
        this->f->call(turn);
        this->f->runJournals();
        this->f->head(this->lastSend(), 200, true);
        for (int number = 1; number <= 10; ++number)
            this->f->event(this->lastSend(), number);
        this->f->end(this->lastSend());
        this->f->runJournals();
        this->f->advance(fromLastTurnToStop + fromStopToReturn);
        this->expireJournals();
        const CallId id = this->f->call(turn);
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).refusal.has_value());
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::BudgetSpent);
    }

    void continuedTurnIsSentWithTheWholeTranscript()
    {
        this->runRetained({});
        this->f->runJournals();
        this->runRetained("r1");
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\ninput"), *this->lastSend().details.body);
        this->f->runJournals();
        this->runRetained("r2");
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\ninputd1\ninput"), *this->lastSend().details.body);
    }

    void unknownPreviousTurnIsRefused()
    {
        const CallId id = this->f->call(turnOn("retained", "never"));
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::UnknownTurn);
        CPPUNIT_ASSERT(this->f->sends.empty());
    }

    void turnWithoutJournalsIsRefusedAsUnavailable()
    {
        const CallId id = this->f->call(turnOn("retained", "perhaps"));
        for (const char* name : { "j1", "j2" })
            this->f->journals.onLinkDown(NodeId(name));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::JournalsUnavailable);
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter > Milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTurnsTest);
