#include "gatewayfixture_test.h"

#include <algorithm>
#include <set>

using namespace Rattandeck;

/// Calls that compete for full instances, where the configuration has organisations.
class GatewayAdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayAdmissionTest);
    CPPUNIT_TEST(firstTurnsFarAboveTheShareWaitBehindOthers);
    CPPUNIT_TEST(laterCallDoesNotTakeTheRoomThatAQueuedOneWaitsFor);
    CPPUNIT_TEST(roomIsGivenToTheQueueAtOnce);
    CPPUNIT_TEST(turnsUnderWayGoBeforeFirstTurnsOfAMoreUrgentRank);
    CPPUNIT_TEST(fullQueueTakesACallThatGoesFirst);
    CPPUNIT_TEST(callThatWouldWaitTooLongIsRefusedAtOnce);
    CPPUNIT_TEST(refusedCallersAreSpread);
    CPPUNIT_TEST(withoutOrganisationsTheOrderIsAsBefore);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override { this->start(); }

private:
    static Organisation organisation(const std::string& name, std::optional<std::uint32_t> rank = {})
    {
        Organisation organisation;
        organisation.id = OrganisationId(name);
        organisation.keys = { digestOfKey(name) };
        organisation.rank = rank;
        return organisation;
    }

    void start(const GatewayLimits& limits = {}, bool hasOrganisations = true)
    {
        this->f = std::make_unique<GatewayFixture>(limits);
        RoutingConfig config;
        config.version = 1;
        config.routes
            = { GatewayFixture::route("plain", CallSafety::Safe), GatewayFixture::route("turn", CallSafety::Stream) };
        config.routes[0].rank = 1;
        config.routes[1].rank = 1;
        ServiceConfig service;
        service.name = ServiceName("service");
        config.services = { service };
        if (hasOrganisations)
            config.organisations = { organisation("calm"), organisation("hot"), organisation("urgent", 0) };
        this->f->gateway.setConfig(config);
        this->f->addInstance("e1");
        this->f->addInstance("e2");
    }

    static GatewayCall plainOf(const std::string& organisation)
    {
        GatewayCall call = GatewayFixture::callOn("plain");
        call.key = digestOfKey(organisation);
        return call;
    }

    CallId plain(const std::string& organisation) { return this->f->call(plainOf(organisation)); }

    CallId firstTurn(const std::string& organisation, const std::string& program)
    {
        GatewayCall call = GatewayFixture::callOn("turn");
        call.key = digestOfKey(organisation);
        call.program = BudgetId(program);
        call.tokenLimit = TokenCount(100);
        call.maxOutputTokens = TokenCount(10);
        const CallId id = this->f->call(std::move(call));
        this->f->runJournals();
        return id;
    }

    /// Fills both instances, to 1.5 times their slots.
    void fill(const std::string& organisation)
    {
        for (int call = 0; call < 6; ++call)
            this->plain(organisation);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
    }

    void endSends(std::size_t from, std::size_t count)
    {
        for (std::size_t index = from; index < from + count; ++index) {
            this->f->head(this->f->sends[index], 200);
            this->f->end(this->f->sends[index]);
        }
    }

    bool isSent(CallId id) const
    {
        return std::ranges::any_of(this->f->sends, [id](const GatewayFixture::Sent& sent) { return sent.call == id; });
    }

    const std::optional<CallRefusal>& refusal(CallId id) { return this->f->callers.at(id).refusal; }

    /// Makes "hot" send far more than its share: its calls are refused for the full instances.
    void heat()
    {
        this->plain("calm");
        for (int call = 0; call < 20; ++call)
            this->plain("hot");
        this->f->advance(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.queuedCalls());
    }

    void firstTurnsFarAboveTheShareWaitBehindOthers()
    {
        this->fill("calm");
        this->heat();
        const CallId hot = this->firstTurn("hot", "p1");
        const CallId calm = this->firstTurn("calm", "p2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->gateway.queuedCalls());
        this->endSends(0, 3);
        this->f->advance(Milliseconds(1));
        CPPUNIT_ASSERT(this->isSent(calm) && !this->isSent(hot));
        this->endSends(3, 3);
        this->f->advance(Milliseconds(1));
        CPPUNIT_ASSERT(this->isSent(hot));
        CPPUNIT_ASSERT(this->f->gateway.counts().farAboveShare > 0);
    }

    /// Guards against calls that pass the queue because they arrive just when room is free.
    void laterCallDoesNotTakeTheRoomThatAQueuedOneWaitsFor()
    {
        this->fill("calm");
        const CallId waiting = this->plain("calm");
        this->endSends(0, 1);
        const CallId later = this->plain("calm");
        const CallId urgent = this->plain("urgent");
        CPPUNIT_ASSERT(!this->isSent(waiting) && !this->isSent(later) && this->isSent(urgent));
        this->endSends(1, 1);
        this->f->advance(Milliseconds(1));
        CPPUNIT_ASSERT(this->isSent(waiting) && !this->isSent(later));
    }

    void roomIsGivenToTheQueueAtOnce()
    {
        this->fill("calm");
        const CallId waiting = this->plain("calm");
        this->endSends(0, 1);
        this->f->advance(Milliseconds(0));
        CPPUNIT_ASSERT(this->isSent(waiting));
    }

    void turnsUnderWayGoBeforeFirstTurnsOfAMoreUrgentRank()
    {
        this->fill("calm");
        const CallId urgentFirst = this->firstTurn("urgent", "p1");
        const CallId underWay = this->plain("calm");
        this->endSends(0, 3);
        this->f->advance(Milliseconds(1));
        CPPUNIT_ASSERT(this->isSent(underWay) && !this->isSent(urgentFirst));
    }

    /// Guards against a queue that is full of a hot organisation's calls and shuts out all others.
    void fullQueueTakesACallThatGoesFirst()
    {
        GatewayLimits limits;
        limits.maxQueued = 2;
        this->start(limits);
        this->fill("calm");
        const CallId first = this->plain("calm");
        const CallId last = this->plain("calm");
        const CallId refused = this->plain("calm");
        CPPUNIT_ASSERT(this->refusal(refused)->reason == RejectionReason::Overloaded);
        const CallId urgent = this->plain("urgent");
        CPPUNIT_ASSERT(!this->refusal(urgent) && !this->refusal(first));
        CPPUNIT_ASSERT(this->refusal(last)->reason == RejectionReason::Overloaded && !this->refusal(last)->mayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->gateway.queuedCalls());
    }

    /// Keeps a queue for a second from which ten calls a second are served.
    void serveSlowly()
    {
        this->fill("calm");
        for (std::size_t round = 0; round < 10; ++round) {
            while (this->f->gateway.queuedCalls() < 3)
                this->plain("calm");
            this->endSends(round, 1);
            this->f->advance(Milliseconds(40));
            while (this->f->gateway.queuedCalls() < 3)
                this->plain("calm");
            this->f->advance(Milliseconds(60));
        }
    }

    /// Guards against callers that lose time in a queue from which they can't be served.
    void callThatWouldWaitTooLongIsRefusedAtOnce()
    {
        this->serveSlowly();
        const std::uint64_t before = this->f->gateway.counts().refusedForQueue;
        // The objective of 200 ms allows a wait of 50 ms; two calls ahead take 200 ms.
        CallId last;
        for (int call = 0; call < 4; ++call)
            last = this->plain("calm");
        CPPUNIT_ASSERT(this->refusal(last)->reason == RejectionReason::Overloaded);
        CPPUNIT_ASSERT(!this->refusal(last)->mayHaveRun);
        CPPUNIT_ASSERT(this->f->gateway.counts().refusedForQueue > before);
        // A call that goes before the others may wait.
        CPPUNIT_ASSERT(!this->refusal(this->plain("urgent")));
    }

    void refusedCallersAreSpread()
    {
        this->serveSlowly();
        std::set<Milliseconds> delays;
        for (int call = 0; call < 40; ++call) {
            GatewayCall limited = plainOf("calm");
            limited.timeLeft = Milliseconds(1500);
            const CallId id = this->f->call(std::move(limited));
            if (!this->refusal(id))
                continue;
            delays.insert(this->refusal(id)->retryAfter);
            CPPUNIT_ASSERT(this->refusal(id)->retryAfter <= Milliseconds(500));
            CPPUNIT_ASSERT(this->refusal(id)->retryAfter >= GatewayLimits().retryAfter);
        }
        CPPUNIT_ASSERT(delays.size() > 10);
    }

    /// Guards against a change for deployments without organisations.
    void withoutOrganisationsTheOrderIsAsBefore()
    {
        this->start({}, false);
        this->fill("");
        const CallId waiting = this->plain("");
        this->endSends(0, 1);
        const CallId later = this->plain("");
        CPPUNIT_ASSERT(this->isSent(later) && !this->isSent(waiting));
        this->f->advance(Milliseconds(60));
        CPPUNIT_ASSERT(this->refusal(waiting)->retryAfter == GatewayLimits().retryAfter);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->f->gateway.counts().refusedForQueue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayAdmissionTest);
