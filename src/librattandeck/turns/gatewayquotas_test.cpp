#include "gatewayfixture_test.h"
#include "Rattandeck/turnscope.h"

using namespace Rattandeck;

/// Calls of organisations with an allowance.
class GatewayQuotasTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayQuotasTest);
    CPPUNIT_TEST(aCallIsSentOnlyWithAToken);
    CPPUNIT_TEST(aCallWithoutATokenIsRefusedAsNotRun);
    CPPUNIT_TEST(withoutAnIssuerCallsAreRefusedAsUnavailable);
    CPPUNIT_TEST(theEndOfARefusedCallNamesItsOrganisation);
    CPPUNIT_TEST(nothingIsSentForOrganisationsWithoutAnAllowance);
    CPPUNIT_TEST(theTokenOfATurnIsAskedForWhileItIsPrepared);
    CPPUNIT_TEST(firstTurnsAskAfterTheirClaim);
    CPPUNIT_TEST(aRefusedFirstTurnLeavesNoClaim);
    CPPUNIT_TEST(aCallThatWaitedTooLongTakesAnotherToken);
    CPPUNIT_TEST(aCallThatWasNotWrittenGivesItsTokenBack);
    CPPUNIT_TEST(aRetryIsMadeWithoutAToken);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        RoutingConfig config;
        config.version = 1;
        Route slow = GatewayFixture::route("slow", CallSafety::Safe);
        slow.objective = Milliseconds(4000);
        slow.timeout = Milliseconds(8000);
        config.routes = { slow, GatewayFixture::route("safe", CallSafety::Safe),
            GatewayFixture::route("turns", CallSafety::Stream) };
        ServiceConfig service;
        service.name = ServiceName("service");
        service.maxConnections = 100;
        config.services = { service };
        Organisation limited { OrganisationId("limited"), { digestOfKey("key") }, {},
            CallAllowance { CallRate(5), 5 } };
        Organisation free { OrganisationId("free"), { digestOfKey("other") }, {}, {} };
        config.organisations = { limited, free };
        this->f->gateway.setConfig(config);
        this->f->gateway.setJournals({ { NodeId("j1"), "j1:1" } });
        this->f->gateway.onJournalUp(NodeId("j1"));
        this->f->addInstance("a", false, 100);
    }

private:
    static GatewayCall callOn(const char* route, const char* key = "key")
    {
        GatewayCall call = GatewayFixture::callOn(route);
        call.key = digestOfKey(key);
        return call;
    }

    static GatewayCall turn(const char* program)
    {
        GatewayCall call = callOn("turns");
        call.program = BudgetId(program);
        call.tokenLimit = TokenCount(1000);
        return call;
    }

    std::size_t sendCount() const { return this->f->sends.size(); }
    const QuotaRequests& lastRequest() const { return this->f->toQuotaIssuers.back().second; }
    const QuotaDemand& lastDemand() const { return this->lastRequest().demands.front(); }

    /// The issuer answers the last request.
    void receive(std::uint32_t tokens, std::uint32_t firstTurnTokens = 0, Milliseconds wait = Milliseconds(300))
    {
        QuotaGrants grants;
        grants.ticket = this->lastRequest().ticket;
        grants.stamp = grants.ticket;
        QuotaGrant grant;
        grant.organisation = OrganisationId("limited");
        grant.tokens = tokens;
        grant.firstTurnTokens = firstTurnTokens;
        grant.wait = wait;
        grant.firstTurnWait = wait;
        grants.grants = { grant };
        this->f->gateway.onJournalMessage(NodeId("j1"), grants);
    }

    void aCallIsSentOnlyWithAToken()
    {
        this->f->call(callOn("safe"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
        const TimePoint askedAt = this->f->timers.now();
        this->f->advance(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1U, this->lastDemand().waiting);
        this->receive(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        const auto writeBy = this->f->sends.back().details.writeBy;
        CPPUNIT_ASSERT(writeBy && *writeBy <= askedAt + Milliseconds(402));
    }

    void aCallWithoutATokenIsRefusedAsNotRun()
    {
        const CallId id = this->f->call(callOn("safe"));
        this->f->advance(Milliseconds(2));
        this->receive(0);
        const auto& refusal = this->f->callers.at(id).refusal;
        CPPUNIT_ASSERT(refusal && refusal->reason == RejectionReason::AllowanceUsed && !refusal->mayHaveRun);
        CPPUNIT_ASSERT(refusal->retryAfter >= Milliseconds(300));
        // Until a token is expected, calls are refused without a question.
        const std::size_t asked = this->f->toQuotaIssuers.size();
        const CallId next = this->f->call(callOn("safe"));
        CPPUNIT_ASSERT(this->f->callers.at(next).refusal->reason == RejectionReason::AllowanceUsed);
        CPPUNIT_ASSERT_EQUAL(asked, this->f->toQuotaIssuers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
    }

    void withoutAnIssuerCallsAreRefusedAsUnavailable()
    {
        this->f->gateway.onJournalDown(NodeId("j1"));
        const CallId id = this->f->call(callOn("safe"));
        const auto& refusal = this->f->callers.at(id).refusal;
        CPPUNIT_ASSERT(refusal && refusal->reason == RejectionReason::JournalsUnavailable && !refusal->mayHaveRun);
    }

    void theEndOfARefusedCallNamesItsOrganisation()
    {
        this->f->call(callOn("safe"));
        this->f->advance(Milliseconds(2));
        this->receive(0);
        CPPUNIT_ASSERT(this->f->ends.back().organisation == OrganisationId("limited"));
        CPPUNIT_ASSERT(this->f->ends.back().reason == describe(RejectionReason::AllowanceUsed));
    }

    void nothingIsSentForOrganisationsWithoutAnAllowance()
    {
        this->f->call(callOn("safe", "other"));
        this->f->call(callOn("safe", "unknown"));
        this->f->advance(Milliseconds(3000));
        CPPUNIT_ASSERT(this->f->toQuotaIssuers.empty());
        CPPUNIT_ASSERT(this->sendCount() > 0 && !this->f->sends.front().details.writeBy);
    }

    void theTokenOfATurnIsAskedForWhileItIsPrepared()
    {
        GatewayCall next = turn("p");
        next.previousTurn = TurnId("stored");
        for (const char* journal : { "j1", "j2", "j3" }) {
            JournalState& state = this->f->states[NodeId(journal)];
            state.apply(RetainedTurn { scopedTurn(OrganisationId("limited"), TurnId("stored")), {}, "i", "o",
                            Milliseconds(60000) },
                {});
        }
        this->f->call(next);
        this->f->advance(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1U, this->lastDemand().waiting);
        this->f->runJournals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendCount());
        this->receive(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->f->gateway.quotas().counts().taken);
    }

    void firstTurnsAskAfterTheirClaim()
    {
        this->f->call(turn("p"));
        this->f->advance(Milliseconds(5));
        CPPUNIT_ASSERT(this->f->toQuotaIssuers.empty());
        this->f->runJournals();
        this->f->advance(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(1U, this->lastDemand().waitingFirstTurns);
        CPPUNIT_ASSERT_EQUAL(0U, this->lastDemand().waiting);
        this->receive(0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->sendCount());
    }

    void aRefusedFirstTurnLeavesNoClaim()
    {
        const CallId id = this->f->call(turn("p"));
        this->f->runJournals();
        this->f->advance(Milliseconds(2));
        this->receive(0);
        CPPUNIT_ASSERT(this->f->callers.at(id).refusal->reason == RejectionReason::AllowanceUsed);
        this->f->runJournals();
        const auto claims = this->f->states[NodeId("j1")].claims(BudgetId("p"));
        CPPUNIT_ASSERT(claims.size() == 1 && claims.front().isSettled && claims.front().tokens == TokenCount(0));
    }

    void aCallThatWaitedTooLongTakesAnotherToken()
    {
        this->f->gateway.onInstanceRemoved(EndpointId("a"));
        this->f->addInstance("b", false, 1);
        this->f->call(callOn("slow", "other"));
        this->f->call(callOn("slow", "other"));
        this->f->call(callOn("slow"));
        this->f->advance(Milliseconds(2));
        this->receive(1);
        this->f->advance(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        this->f->end(this->f->sends.front());
        this->f->end(this->f->sends.at(1));
        // The token has expired in the queue: it goes back, and another one is asked for.
        this->f->advance(Milliseconds(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        CPPUNIT_ASSERT_EQUAL(1U, this->lastDemand().waiting);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->lastRequest().returned.size());
        this->receive(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->sendCount());
        CPPUNIT_ASSERT(*this->f->sends.back().details.writeBy > this->f->timers.now());
    }

    void aCallThatWasNotWrittenGivesItsTokenBack()
    {
        this->f->hasConnections = false;
        const CallId id = this->f->call(callOn("safe"));
        this->f->advance(Milliseconds(2));
        this->receive(1);
        this->f->gateway.onCallerDisconnected(id);
        this->f->advance(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->lastRequest().returned.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, this->lastRequest().returned.front().tokens, 0);
    }

    void aRetryIsMadeWithoutAToken()
    {
        this->f->addInstance("b", false, 100);
        this->f->call(callOn("safe"));
        this->f->advance(Milliseconds(2));
        this->receive(1);
        this->f->end(this->f->sends.back(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->sendCount());
        CPPUNIT_ASSERT(!this->f->sends.back().details.writeBy);
        // With a token in reserve it takes that.
        this->f->call(callOn("safe"));
        this->f->advance(Milliseconds(2));
        this->receive(2);
        this->f->end(this->f->sends.back(), SendOutcome::Broken);
        CPPUNIT_ASSERT(this->f->sends.back().details.writeBy);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayQuotasTest);
