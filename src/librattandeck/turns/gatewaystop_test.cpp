#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Calls around the planned stop of a gateway.
class GatewayStopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayStopTest);
    CPPUNIT_TEST(callThatCannotBeAnsweredBeforeTheEndIsRefused);
    CPPUNIT_TEST(callThatEndsInTimeIsTaken);
    CPPUNIT_TEST(bodyOfALateCallIsNotNeeded);
    CPPUNIT_TEST(shortStopTakesNothingAfterItsEnd);
    CPPUNIT_TEST(openCallsAreAnsweredAtTheEnd);
    CPPUNIT_TEST(waitingCallsAreNotSentAtTheEnd);
    CPPUNIT_TEST_SUITE_END();

    GatewayFixture f;

public:
    void setUp() override
    {
        Route longRoute = GatewayFixture::route("long", CallSafety::Unsafe);
        longRoute.timeout = Milliseconds(20000);
        this->f.configure({ longRoute, GatewayFixture::route("stream", CallSafety::Stream) });
        this->f.addInstance("e1", false, 1);
    }

private:
    static constexpr Milliseconds taking { 2500 };
    static constexpr Milliseconds stop { 7400 };

    GatewayFixture::Caller& caller(CallId id) { return this->f.callers.at(id); }
    CallId callOn(const char* route, std::optional<Milliseconds> timeLeft = {})
    {
        GatewayCall call = GatewayFixture::callOn(route);
        call.timeLeft = timeLeft;
        return this->f.call(std::move(call));
    }
    void beginStop() { this->f.gateway.beginStop(this->f.timers.now() + taking, this->f.timers.now() + stop); }

    /// Guards against a call that is taken late in a planned stop, passed on, and cut without an answer at its end.
    void callThatCannotBeAnsweredBeforeTheEndIsRefused()
    {
        this->beginStop();
        this->f.advance(taking + Milliseconds(1));
        const CallId id = this->callOn("long");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::Stopping);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter > Milliseconds(0));
        CPPUNIT_ASSERT(this->f.sends.empty());
    }

    void callThatEndsInTimeIsTaken()
    {
        this->beginStop();
        // Callers may not have been sent elsewhere yet.
        const CallId early = this->callOn("long");
        CPPUNIT_ASSERT(!this->caller(early).refusal);
        this->f.advance(taking + Milliseconds(1));
        CPPUNIT_ASSERT(!this->caller(this->callOn("long", Milliseconds(4000))).refusal);
        CPPUNIT_ASSERT(this->caller(this->callOn("long", Milliseconds(5000))).refusal);
    }

    void bodyOfALateCallIsNotNeeded()
    {
        this->beginStop();
        CPPUNIT_ASSERT(this->f.gateway.needsBody(GatewayFixture::callOn("long")));
        this->f.advance(taking + Milliseconds(1));
        CPPUNIT_ASSERT(!this->f.gateway.needsBody(GatewayFixture::callOn("long")));
    }

    void shortStopTakesNothingAfterItsEnd()
    {
        this->f.gateway.beginStop(this->f.timers.now() + taking, this->f.timers.now());
        this->f.advance(Milliseconds(1));
        CPPUNIT_ASSERT(this->caller(this->callOn("long")).refusal);
    }

    void openCallsAreAnsweredAtTheEnd()
    {
        this->f.addInstance("e2");
        const CallId running = this->callOn("long");
        const CallId begun = this->callOn("stream");
        this->f.head(this->f.sends.back(), 200, true);
        this->f.event(this->f.sends.back(), 1);
        this->f.gateway.endOpenCalls();
        CPPUNIT_ASSERT(this->caller(running).refusal->reason == RejectionReason::Stopping);
        CPPUNIT_ASSERT(this->caller(running).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->caller(begun).isBroken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f.gateway.openCalls());
    }

    void waitingCallsAreNotSentAtTheEnd()
    {
        constexpr std::size_t count = 5;
        std::vector<CallId> calls(count);
        for (CallId& id : calls)
            id = this->callOn("stream");
        const std::size_t sent = this->f.sends.size();
        CPPUNIT_ASSERT(sent < calls.size() && this->f.gateway.queuedCalls() == calls.size() - sent);
        this->f.gateway.endOpenCalls();
        CPPUNIT_ASSERT_EQUAL(sent, this->f.sends.size());
        std::size_t notRun = 0;
        for (const CallId id : calls)
            notRun += this->caller(id).refusal->mayHaveRun ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL(calls.size() - sent, notRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTest);
