#include "gatewayfixture_test.h"

using namespace Rattandeck;

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(withoutConfigurationNothingIsUnknown);
    CPPUNIT_TEST(unknownRouteIsFinal);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(answerIsPassedOnWhole);
    CPPUNIT_TEST(unsignedSuccessIsNoAnswer);
    CPPUNIT_TEST(unsafeCallRunsOnce);
    CPPUNIT_TEST(refusedSendGoesElsewhere);
    CPPUNIT_TEST(refusalByAllIsNotRun);
    CPPUNIT_TEST(connectionThatNeverCameIsNotRun);
    CPPUNIT_TEST(safeCallIsRepeated);
    CPPUNIT_TEST(silentSafeCallIsRepeated);
    CPPUNIT_TEST(repeatsAreBounded);
    CPPUNIT_TEST(drainingInstanceGetsNothing);
    CPPUNIT_TEST(deadlineEndsTheCall);
    CPPUNIT_TEST(timeLeftIsThatOfTheShorterLimit);
    CPPUNIT_TEST(callerWhoLeavesCancelsTheSend);
    CPPUNIT_TEST(callWaitsForRoom);
    CPPUNIT_TEST(longWaitIsRefused);
    CPPUNIT_TEST(urgentCallsGoFirst);
    CPPUNIT_TEST(requestThatCrashesInstancesIsHeld);
    CPPUNIT_TEST(lostAnswersHoldNothing);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        this->f->configure(
            { GatewayFixture::route("safe", CallSafety::Safe), GatewayFixture::route("unsafe", CallSafety::Unsafe) });
        this->f->addInstance("e1");
        this->f->addInstance("e2");
    }

private:
    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    GatewayFixture::Sent& lastSend() { return this->f->sends.back(); }
    CallId callOn(const char* route) { return this->f->call(GatewayFixture::callOn(route)); }

    void withoutConfigurationNothingIsUnknown()
    {
        GatewayFixture fresh;
        const CallId id = fresh.call(GatewayFixture::callOn("safe"));
        CPPUNIT_ASSERT(fresh.callers.at(id).refusal->reason == RejectionReason::NotReady);
        CPPUNIT_ASSERT(fresh.callers.at(id).refusal->retryAfter > Milliseconds(0));
    }

    void unknownRouteIsFinal()
    {
        const CallId id = this->callOn("nowhere");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::NoRoute);
        CPPUNIT_ASSERT(this->f->sends.empty());
    }

    void configurationNeverGoesBack()
    {
        this->f->configure({}, 5);
        this->f->configure({ GatewayFixture::route("safe", CallSafety::Safe) }, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), *this->f->gateway.configVersion());
    }

    void answerIsPassedOnWhole()
    {
        const CallId id = this->callOn("unsafe");
        this->f->head(this->lastSend(), 200);
        this->f->gateway.onAnswerData(this->lastSend().id, "bo");
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->gateway.onAnswerData(this->lastSend().id, "dy");
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("body"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.open());
    }

    void unsignedSuccessIsNoAnswer()
    {
        const CallId unsafe = this->callOn("unsafe");
        this->f->head(this->lastSend(), 200, false, false, false);
        CPPUNIT_ASSERT(this->caller(unsafe).refusal->reason == RejectionReason::AnswerLost);
        CPPUNIT_ASSERT(this->caller(unsafe).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
        // A call that may be repeated is.
        this->callOn("safe");
        this->f->head(this->lastSend(), 200, false, false, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->sends.size());
    }

    void unsafeCallRunsOnce()
    {
        const CallId id = this->callOn("unsafe");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).refusal->mayHaveRun);
    }

    void refusedSendGoesElsewhere()
    {
        const CallId id = this->callOn("unsafe");
        const EndpointId first = this->lastSend().what.endpoint;
        this->f->head(this->lastSend(), 503, false, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->lastSend().what.endpoint != first);
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void refusalByAllIsNotRun()
    {
        const CallId id = this->callOn("unsafe");
        this->f->head(this->lastSend(), 503, false, true);
        this->f->head(this->lastSend(), 503, false, true);
        CPPUNIT_ASSERT(this->caller(id).refusal);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter > Milliseconds(0));
    }

    void connectionThatNeverCameIsNotRun()
    {
        const CallId id = this->callOn("unsafe");
        this->f->end(this->lastSend(), SendOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        this->f->end(this->lastSend(), SendOutcome::NotSent);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
    }

    void safeCallIsRepeated()
    {
        const CallId id = this->callOn("safe");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        this->f->end(this->lastSend(), SendOutcome::Broken);
        // Two runs are the most that the route allows.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::AnswerLost);
    }

    void silentSafeCallIsRepeated()
    {
        this->callOn("safe");
        this->f->pass(Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->f->sends.front().isCancelled);
    }

    void repeatsAreBounded()
    {
        GatewayLimits limits;
        limits.repeatBurst = 3;
        limits.repeatRatio = 0;
        GatewayFixture bounded(limits);
        bounded.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        bounded.addInstance("e1", false, 100);
        bounded.addInstance("e2", false, 100);
        constexpr int calls = 10;
        for (int i = 0; i < calls; ++i) {
            bounded.call(GatewayFixture::callOn("safe"));
            bounded.end(bounded.sends.back(), SendOutcome::Broken);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(calls + 3), bounded.sends.size());
    }

    void drainingInstanceGetsNothing()
    {
        this->f->addInstance("e1", true);
        for (int i = 0; i < 3; ++i) {
            this->callOn("unsafe");
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), this->lastSend().what.endpoint.value);
        }
    }

    void deadlineEndsTheCall()
    {
        GatewayCall call = GatewayFixture::callOn("unsafe");
        call.timeLeft = Milliseconds(100);
        const CallId id = this->f->call(call);
        this->f->pass(Milliseconds(101));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::TimedOut);
        CPPUNIT_ASSERT(this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
    }

    void timeLeftIsThatOfTheShorterLimit()
    {
        GatewayCall call = GatewayFixture::callOn("unsafe");
        call.timeLeft = Milliseconds(10000);
        this->f->call(call);
        CPPUNIT_ASSERT(this->lastSend().what.timeLeft == Milliseconds(3000));
    }

    void callerWhoLeavesCancelsTheSend()
    {
        const CallId id = this->callOn("unsafe");
        this->f->gateway.onCallerDisconnected(id);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.open());
    }

    /// Takes all places: two instances of two slots, each loaded to one and a half times its slots.
    void fill()
    {
        for (int i = 0; i < 6; ++i)
            this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
    }

    void callWaitsForRoom()
    {
        this->fill();
        this->callOn("safe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->gateway.queued());
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        this->f->pass(Milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), this->f->sends.size());
    }

    void longWaitIsRefused()
    {
        this->fill();
        const CallId id = this->callOn("unsafe");
        this->f->pass(Milliseconds(70));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::Overloaded);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
    }

    void urgentCallsGoFirst()
    {
        Route urgent = GatewayFixture::route("urgent", CallSafety::Unsafe);
        Route patient = GatewayFixture::route("patient", CallSafety::Unsafe);
        patient.rank = 1;
        this->f->configure({ urgent, patient, GatewayFixture::route("unsafe", CallSafety::Unsafe) }, 2);
        this->fill();
        this->callOn("patient");
        const CallId first = this->callOn("urgent");
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        this->f->pass(Milliseconds(20));
        CPPUNIT_ASSERT(this->lastSend().call == first);
    }

    void requestThatCrashesInstancesIsHeld()
    {
        this->f->addInstance("e3");
        for (int i = 0; i < 3; ++i) {
            this->callOn("unsafe");
            const EndpointId crashed = this->lastSend().what.endpoint;
            this->f->end(this->lastSend(), SendOutcome::Broken);
            this->f->pass(Milliseconds(3600));
            this->f->gateway.onInstanceGone(crashed);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->reports.size());
        this->f->addInstance("e4");
        const std::size_t before = this->f->sends.size();
        const CallId id = this->callOn("unsafe");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::Held);
        CPPUNIT_ASSERT_EQUAL(before, this->f->sends.size());
        // Another gateway, or this one after a restart, is told.
        GatewayFixture other;
        other.configure({ GatewayFixture::route("unsafe", CallSafety::Unsafe) });
        other.addInstance("e4");
        other.gateway.onCrashReports({ this->f->reports });
        CPPUNIT_ASSERT(other.callers.at(other.call(GatewayFixture::callOn("unsafe"))).refusal.has_value());
    }

    void lostAnswersHoldNothing()
    {
        for (int i = 0; i < 4; ++i) {
            this->callOn("unsafe");
            this->f->end(this->lastSend(), SendOutcome::Broken);
        }
        this->f->pass(Milliseconds(10000));
        const std::size_t before = this->f->sends.size();
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
