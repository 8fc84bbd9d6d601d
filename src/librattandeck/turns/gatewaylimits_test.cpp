#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Calls to instances that state a limit.
class GatewayLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayLimitsTest);
    CPPUNIT_TEST(callsGoToAnUnlimitedInstanceWhilePermitsAreMissing);
    CPPUNIT_TEST(aCallWaitsForItsPermit);
    CPPUNIT_TEST(aCallThatWouldWaitTooLongIsRefusedAtOnce);
    CPPUNIT_TEST(refusedCallersAreSpreadOverTheWait);
    CPPUNIT_TEST(aCallThatGetsNoPermitIsRefusedAsNotRun);
    CPPUNIT_TEST(turnsUnderWayGoBeforeFirstTurns);
    CPPUNIT_TEST(aRetryNeedsAPermitOfItsOwn);
    CPPUNIT_TEST(aStalledCallStaysWhenTheOthersHaveNoPermit);
    CPPUNIT_TEST(aResumedStreamWaitsForItsPermit);
    CPPUNIT_TEST(thePermitOfATurnIsRequestedWhileItIsPrepared);
    CPPUNIT_TEST(aCallThatLeavesDoesNotKeepItsPermit);
    CPPUNIT_TEST(theLongerOfTwoCallsWaitsForTheLimitedInstance);
    CPPUNIT_TEST(aLimitThatEndedUnseenIsOverWithTheNextAnswer);
    CPPUNIT_TEST(limitsAndInvalidLimitsAreLogged);
    CPPUNIT_TEST(connectionsAreDividedByTheNumberOfGateways);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        Route stream = GatewayFixture::route("stream", CallSafety::Stream);
        stream.canResume = true;
        this->f->configure(
            { GatewayFixture::route("safe", CallSafety::Safe), GatewayFixture::route("unsafe", CallSafety::Unsafe),
                stream, GatewayFixture::route("turns", CallSafety::Stream) });
        this->f->gateway.setJournals({ { NodeId("j1"), "j1:1" } });
        this->f->gateway.onJournalUp(NodeId("j1"));
    }

private:
    CallId callOn(const char* route) { return this->f->call(GatewayFixture::callOn(route)); }

    void addLimited(const std::string& id, double limit = 10)
    {
        this->f->addInstance(id, false, 100);
        this->receive(id, 0, limit);
    }

    /// The journal tells of the limit and issues permits for the last request.
    void receive(const std::string& id, std::uint32_t permits, double limit = 10,
        const std::vector<Milliseconds>& backlog = {}, Milliseconds age = Milliseconds(0))
    {
        PermitGrant grant;
        grant.endpoint = EndpointId(id);
        grant.isLimited = true;
        grant.limit = CallRate(limit);
        grant.permits = permits;
        grant.ticket = this->f->toIssuers.size();
        grant.backlog = backlog;
        grant.age = age;
        this->f->gateway.onJournalMessage(NodeId("j1"), PermitGrants { { grant } });
    }

    std::vector<Milliseconds> backlogOf(int milliseconds) const
    {
        return std::vector<Milliseconds>(urgencyLevels, Milliseconds(milliseconds));
    }

    std::size_t sendCount() const { return this->f->sends.size(); }
    GatewayFixture::Sent& lastSend() { return this->f->sends.back(); }

    void callsGoToAnUnlimitedInstanceWhilePermitsAreMissing()
    {
        this->addLimited("a");
        this->f->addInstance("b", false, 100);
        this->callOn("unsafe");
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("b"));
        CPPUNIT_ASSERT(!this->lastSend().details.writeBy);
        CPPUNIT_ASSERT(this->f->decisions.back().choice.passedOver == EndpointId("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->f->gateway.counts().passedOver);
    }

    void aCallWaitsForItsPermit()
    {
        this->addLimited("a");
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
        this->f->advance(Milliseconds(10));
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().details.writeBy > this->f->timers.now());
        CPPUNIT_ASSERT(this->f->decisions.back().limit == CallRate(10));
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
    }

    void aCallThatWouldWaitTooLongIsRefusedAtOnce()
    {
        this->addLimited("a");
        this->callOn("unsafe");
        this->f->advance(Milliseconds(10));
        this->receive("a", 0, 10, this->backlogOf(700));
        const CallId late = this->callOn("unsafe");
        const auto& refusal = this->f->callers.at(late).refusal;
        CPPUNIT_ASSERT(refusal && refusal->reason == RejectionReason::RateLimited && !refusal->mayHaveRun);
        CPPUNIT_ASSERT(refusal->retryAfter >= Milliseconds(250));
        CPPUNIT_ASSERT(this->f->ends.back().bestLimit == CallRate(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
    }

    void refusedCallersAreSpreadOverTheWait()
    {
        this->addLimited("a");
        this->callOn("unsafe");
        this->f->advance(Milliseconds(10));
        this->receive("a", 0, 10, this->backlogOf(5000));
        std::set<Milliseconds> delays;
        for (int i = 0; i < 50; ++i)
            delays.insert(this->f->callers.at(this->callOn("unsafe")).refusal->retryAfter);
        CPPUNIT_ASSERT(delays.size() > 30);
        CPPUNIT_ASSERT(*delays.rbegin() - *delays.begin() > Milliseconds(3000));
    }

    void aCallThatGetsNoPermitIsRefusedAsNotRun()
    {
        this->addLimited("a");
        const CallId id = this->callOn("unsafe");
        this->f->advance(Milliseconds(260));
        const auto& refusal = this->f->callers.at(id).refusal;
        CPPUNIT_ASSERT(refusal && refusal->reason == RejectionReason::RateLimited && !refusal->mayHaveRun);
    }

    void turnsUnderWayGoBeforeFirstTurns()
    {
        this->addLimited("a");
        GatewayCall first = GatewayFixture::callOn("turns");
        first.program = BudgetId("p1");
        first.tokenLimit = TokenCount(1000);
        GatewayCall next = first;
        next.program = BudgetId("p2");
        next.previousTurn = TurnId("stored");
        for (const char* journal : { "j1", "j2", "j3" }) {
            JournalState& state = this->f->states[NodeId(journal)];
            state.apply(RetainedTurn { TurnId("stored"), {}, "i", "o", Milliseconds(60000) }, {});
            state.apply(
                SettleClaim { BudgetId("p2"), { TurnId("stored"), TokenCount(1), true }, Milliseconds(60000) }, {});
        }
        this->f->call(first);
        const CallId underWay = this->f->call(next);
        this->f->runJournals();
        this->f->advance(Milliseconds(10));
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().call == underWay);
    }

    void aRetryNeedsAPermitOfItsOwn()
    {
        this->f->addInstance("b", false, 100);
        this->callOn("safe");
        this->addLimited("a");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        this->f->advance(Milliseconds(10));
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("a"));
    }

    void aStalledCallStaysWhenTheOthersHaveNoPermit()
    {
        this->f->addInstance("b", false, 100);
        this->callOn("safe");
        this->addLimited("a");
        this->f->advance(Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        CPPUNIT_ASSERT(!this->lastSend().isCancelled);
    }

    void aResumedStreamWaitsForItsPermit()
    {
        this->f->addInstance("b", false, 100);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->addLimited("a");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT(!this->f->callers.at(id).isBroken);
        this->f->advance(Milliseconds(10));
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().details.resumeAfter == "1");
    }

    void thePermitOfATurnIsRequestedWhileItIsPrepared()
    {
        this->addLimited("a");
        GatewayCall turn = GatewayFixture::callOn("turns");
        turn.program = BudgetId("p");
        turn.tokenLimit = TokenCount(1000);
        this->f->call(turn);
        this->f->advance(Milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->toIssuers.size());
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
        this->f->runJournals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
    }

    void aCallThatLeavesDoesNotKeepItsPermit()
    {
        this->addLimited("a");
        const CallId first = this->callOn("unsafe");
        this->callOn("unsafe");
        this->f->advance(Milliseconds(10));
        this->f->gateway.onCallerDisconnected(first);
        this->receive("a", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().call != first);
    }

    void theLongerOfTwoCallsWaitsForTheLimitedInstance()
    {
        this->addLimited("a");
        this->f->addInstance("b", false, 100);
        // Both lengths are known before the limited instance matters.
        GatewayCall call = GatewayFixture::callOn("unsafe");
        for (const int tokens : { 100, 100, 100, 100, 100, 100 }) {
            call.expectedOutputTokens = TokenCount(tokens);
            this->f->call(call);
        }
        this->receive("a", 0, 10, this->backlogOf(60));
        const std::size_t before = this->sendCount();
        call.expectedOutputTokens = TokenCount(50);
        this->f->call(call);
        CPPUNIT_ASSERT_EQUAL(before + 1, this->sendCount());
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("b"));
        call.expectedOutputTokens = TokenCount(400);
        this->f->call(call);
        CPPUNIT_ASSERT_EQUAL(before + 1, this->sendCount());
    }

    void aLimitThatEndedUnseenIsOverWithTheNextAnswer()
    {
        this->addLimited("a", 0.1);
        // No call is sent for a long time, in which the instance stops stating its limit.
        this->f->advance(Milliseconds(600000));
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
        this->f->advance(Milliseconds(10));
        this->receive("a", 1, 0.1, {}, Milliseconds(600000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        this->f->advance(Milliseconds(10));
        this->f->head(this->lastSend(), 200);
        CPPUNIT_ASSERT(!this->f->gateway.permits().limitOf(EndpointId("a")));
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        // The journals are told, and through them the other gateways.
        this->f->advance(Milliseconds(10));
        const auto& told = std::get<PermitRequests>(this->f->toIssuers.back().second).requests.front();
        CPPUNIT_ASSERT(told.endpoint == EndpointId("a") && !told.isLimited);
    }

    void limitsAndInvalidLimitsAreLogged()
    {
        this->f->addInstance("a");
        this->callOn("safe");
        EndpointAnswer answer;
        answer.status = 200;
        answer.isSigned = true;
        answer.limit = CallRate(6.5);
        this->f->gateway.onAnswerHead(this->lastSend().id, answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->limitChanges.size());
        CPPUNIT_ASSERT(this->f->limitChanges.back().limit == CallRate(6.5));
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), this->f->limitChanges.back().learntFrom);
        this->f->advance(Milliseconds(10));
        this->receive("a", 1);
        this->callOn("safe");
        answer.limit.reset();
        answer.invalidLimit = "nan";
        this->f->gateway.onAnswerHead(this->lastSend().id, answer);
        CPPUNIT_ASSERT(this->f->invalidLimits == std::vector<std::string>({ "nan" }));
    }

    void connectionsAreDividedByTheNumberOfGateways()
    {
        this->f->addInstance("a", false, 100);
        this->callOn("safe");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(20), this->lastSend().details.maxConnections);
        this->f->gateway.onJournalMessage(NodeId("j1"), GatewaysLinked { 25 });
        this->callOn("safe");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), this->lastSend().details.maxConnections);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLimitsTest);
