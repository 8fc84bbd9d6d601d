#include "gatewayfixture_test.h"

#include "Rattandeck/configconfirmation.h"

using namespace Rattandeck;

namespace {

constexpr Milliseconds maxAge { 5000 };
constexpr Milliseconds applied { 4500 };

}

/// Calls with keys while the configuration may have been replaced.
class GatewayConfigAgeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayConfigAgeTest);
    CPPUNIT_TEST(callWithKeyNeedsAConfirmedConfiguration);
    CPPUNIT_TEST(confirmedConfigurationServesUntilItIsTooOld);
    CPPUNIT_TEST(nothingIsRefusedWithoutABound);
    CPPUNIT_TEST(nothingIsRefusedWithoutOrganisations);
    CPPUNIT_TEST(publicRouteIsServedAtAnyAge);
    CPPUNIT_TEST(unknownRouteIsReportedBeforeTheAge);
    CPPUNIT_TEST(refusedCallersAreSpread);
    CPPUNIT_TEST(callMustBeWrittenBeforeTheConfigurationIsTooOld);
    CPPUNIT_TEST(earlierEndOfAPermitIsKept);
    CPPUNIT_TEST(queuedCallIsRefusedWhenTheConfigurationIsTooOld);
    CPPUNIT_TEST(callNotWrittenInTimeIsSentAgainOnceConfirmed);
    CPPUNIT_TEST(removedKeyEndsAQueuedCall);
    CPPUNIT_TEST(removedKeyEndsACallThatWaitsForAConnection);
    CPPUNIT_TEST(removedKeyLeavesAWrittenCall);
    CPPUNIT_TEST(removedKeyEndsACallThatItsInstanceRefused);
    CPPUNIT_TEST(keyThatIsKeptEndsNothing);
    CPPUNIT_TEST(removedKeyLeavesCallsOnPublicRoutes);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;
    GatewayLimits limits;

public:
    void setUp() override
    {
        this->limits = {};
        this->limits.maxConfigAge = maxAge;
        this->start();
        this->configure(1, { "key-1", "key-2" });
        this->f->addInstance("a");
    }

private:
    void start()
    {
        this->f = std::make_unique<GatewayFixture>(this->limits);
        this->f->timers.advanceTo(TimePoint(std::chrono::hours(1)));
        this->f->gateway.onStoreViewed(this->f->timers.now());
    }

    void configure(std::uint64_t version, const std::vector<std::string>& keys, bool hasOrganisations = true)
    {
        RoutingConfig config;
        config.version = version;
        Route open = GatewayFixture::route("open", CallSafety::Safe);
        open.isPublic = true;
        config.routes = { GatewayFixture::route("plain", CallSafety::Safe), open };
        ServiceConfig service;
        service.name = ServiceName("service");
        config.services = { service };
        if (hasOrganisations) {
            Organisation organisation;
            organisation.id = OrganisationId("org");
            for (const std::string& key : keys)
                organisation.keys.push_back(digestOfKey(key));
            config.organisations = { organisation };
        }
        this->f->gateway.setConfig(config);
    }

    CallId call(const std::string& route = "plain", const std::string& key = "key-1")
    {
        GatewayCall call = GatewayFixture::callOn(route);
        call.key = digestOfKey(key);
        return this->f->call(std::move(call));
    }

    void confirm(Milliseconds age = Milliseconds(0))
    {
        this->f->gateway.onConfigConfirmed(this->f->timers.now() - age);
    }

    void assertRefused(CallId id, RejectionReason reason) const
    {
        const auto& refusal = this->f->callers.at(id).refusal;
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(describe(reason)), std::string(describe(refusal->reason)));
        CPPUNIT_ASSERT(!refusal->mayHaveRun);
    }

    /// A gateway that has just started may have got its configuration from a journal's disk.
    void callWithKeyNeedsAConfirmedConfiguration()
    {
        CPPUNIT_ASSERT(this->f->gateway.isConfigTooOld());
        this->assertRefused(this->call(), RejectionReason::ConfigurationTooOld);
        CPPUNIT_ASSERT(this->f->sends.empty());
        this->confirm();
        CPPUNIT_ASSERT(!this->f->gateway.isConfigTooOld());
        this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    /// Also a gateway that was paused: its clock goes on meanwhile.
    void confirmedConfigurationServesUntilItIsTooOld()
    {
        this->confirm(Milliseconds(500));
        this->f->advance(applied - Milliseconds(500));
        this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        this->f->advance(Milliseconds(1));
        this->assertRefused(this->call(), RejectionReason::ConfigurationTooOld);
        this->confirm(Milliseconds(2000));
        this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
    }

    void nothingIsRefusedWithoutABound()
    {
        this->limits.maxConfigAge = Milliseconds(0);
        this->f->gateway.setLimits(this->limits);
        CPPUNIT_ASSERT(!this->f->gateway.isConfigTooOld());
        this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(!this->f->sends[0].details.writeBy);
    }

    void nothingIsRefusedWithoutOrganisations()
    {
        this->configure(2, {}, false);
        CPPUNIT_ASSERT(!this->f->gateway.isConfigTooOld());
        this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(!this->f->sends[0].details.writeBy);
    }

    void publicRouteIsServedAtAnyAge()
    {
        this->call("open");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(!this->f->sends[0].details.writeBy);
    }

    void unknownRouteIsReportedBeforeTheAge() { this->assertRefused(this->call("none"), RejectionReason::NoRoute); }

    void refusedCallersAreSpread()
    {
        std::set<Milliseconds> delays;
        for (int count = 0; count < 100; ++count) {
            const auto& refusal = this->f->callers.at(this->call()).refusal;
            CPPUNIT_ASSERT(refusal->retryAfter >= Milliseconds(250) && refusal->retryAfter < Milliseconds(750));
            delays.insert(refusal->retryAfter);
        }
        CPPUNIT_ASSERT(delays.size() > 50);
    }

    /// The process may be paused between placement and the write.
    void callMustBeWrittenBeforeTheConfigurationIsTooOld()
    {
        this->confirm(Milliseconds(1000));
        this->call();
        CPPUNIT_ASSERT(this->f->sends.at(0).details.writeBy == this->f->timers.now() + applied - Milliseconds(1000));
    }

    void earlierEndOfAPermitIsKept()
    {
        this->confirm();
        const CallId first = this->call();
        EndpointAnswer answer;
        answer.status = 200;
        answer.isSigned = true;
        answer.statesItsEnd = true;
        answer.limit = CallRate(100);
        this->f->gateway.onAnswerHead(this->f->sends.at(0).id, answer);
        this->f->end(this->f->sends.at(0));
        CPPUNIT_ASSERT(this->f->callers.at(first).isEnded);
        this->call();
        this->f->advance(Milliseconds(50));
        // Without a link to an issuer, calls go without a permit or wait; none may be written later than the bound.
        for (const auto& sent : this->f->sends)
            CPPUNIT_ASSERT(sent.details.writeBy && *sent.details.writeBy <= this->f->timers.now() + applied);
    }

    void queuedCallIsRefusedWhenTheConfigurationIsTooOld()
    {
        this->confirm(applied - Milliseconds(20));
        this->f->gateway.onInstanceRemoved(EndpointId("a"));
        this->f->addInstance("a", false, 1);
        this->call();
        this->call();
        const CallId queued = this->call();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->gateway.queuedCalls());
        this->f->advance(Milliseconds(21));
        this->f->head(this->f->sends.at(0), 200);
        this->f->end(this->f->sends.at(0));
        this->f->head(this->f->sends.at(1), 200);
        this->f->end(this->f->sends.at(1));
        this->f->advance(Milliseconds(10));
        this->assertRefused(queued, RejectionReason::ConfigurationTooOld);
    }

    void callNotWrittenInTimeIsSentAgainOnceConfirmed()
    {
        this->f->addInstance("b");
        this->f->hasConnections = false;
        this->confirm(applied - Milliseconds(20));
        this->call();
        this->f->advance(Milliseconds(30));
        this->confirm();
        this->f->end(this->f->sends.at(0), SendOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->f->sends[1].details.writeBy == this->f->timers.now() + applied);
    }

    void removedKeyEndsAQueuedCall()
    {
        this->confirm();
        this->f->gateway.onInstanceRemoved(EndpointId("a"));
        this->f->addInstance("a", false, 1);
        this->call();
        this->call();
        const CallId queued = this->call();
        const CallId other = this->call("plain", "key-2");
        this->configure(2, { "key-2" });
        this->assertRefused(queued, RejectionReason::KeyUnknown);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), std::int64_t(this->f->callers.at(queued).refusal->retryAfter.count()));
        CPPUNIT_ASSERT(!this->f->callers.at(other).refusal);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->gateway.openCalls());
    }

    void removedKeyEndsACallThatWaitsForAConnection()
    {
        this->confirm();
        this->f->hasConnections = false;
        const CallId waiting = this->call();
        this->configure(2, { "key-2" });
        this->assertRefused(waiting, RejectionReason::KeyUnknown);
        CPPUNIT_ASSERT(this->f->sends.at(0).isCancelled);
    }

    /// It may have run, so 401 would not be true.
    void removedKeyLeavesAWrittenCall()
    {
        this->confirm();
        const CallId written = this->call();
        this->configure(2, { "key-2" });
        CPPUNIT_ASSERT(!this->f->callers.at(written).refusal);
        this->f->head(this->f->sends.at(0), 200);
        this->f->end(this->f->sends.at(0));
        CPPUNIT_ASSERT(this->f->callers.at(written).isEnded);
    }

    /// The call was written when the key was removed, but the instance has not run it.
    void removedKeyEndsACallThatItsInstanceRefused()
    {
        this->f->addInstance("b");
        this->confirm();
        const CallId refused = this->call();
        this->configure(2, { "key-2" });
        this->f->head(this->f->sends.at(0), 503, false, true);
        this->f->end(this->f->sends.at(0));
        this->assertRefused(refused, RejectionReason::KeyUnknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void keyThatIsKeptEndsNothing()
    {
        this->confirm();
        this->f->hasConnections = false;
        const CallId waiting = this->call();
        this->configure(2, { "key-1" });
        this->configure(3, {}, false);
        CPPUNIT_ASSERT(!this->f->callers.at(waiting).refusal);
    }

    void removedKeyLeavesCallsOnPublicRoutes()
    {
        this->confirm();
        this->f->hasConnections = false;
        const CallId waiting = this->call("open");
        this->configure(2, {});
        CPPUNIT_ASSERT(!this->f->callers.at(waiting).refusal);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayConfigAgeTest);
