#include "gatewayfixture_test.h"

#include <set>

using namespace Rattandeck;

namespace {

/// Callers of whom some read more slowly than their answer arrives.
struct SlowCallersFixture : GatewayFixture {
    using GatewayFixture::GatewayFixture;
    std::set<CallId> behind;
    bool isCallerBehind(CallId call) const override { return this->behind.contains(call); }
};

}

/// What the gateway decides by the head of a call alone, and callers that read slowly.
class GatewayHeadsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayHeadsTest);
    CPPUNIT_TEST(bodyIsNotNeededWithoutConfiguration);
    CPPUNIT_TEST(bodyIsNotNeededWithoutRoute);
    CPPUNIT_TEST(bodyIsNeededForACallThatMayRun);
    CPPUNIT_TEST(callWhoseBodyWasDroppedIsNeverSent);
    CPPUNIT_TEST(bodyIsSentWithEachSend);
    CPPUNIT_TEST(answerThatWaitsForItsCallerIsNotStalled);
    CPPUNIT_TEST_SUITE_END();

    SlowCallersFixture f;

    void bodyIsNotNeededWithoutConfiguration()
    {
        CPPUNIT_ASSERT(!this->f.gateway.needsBody(GatewayFixture::callOn("safe")));
        const CallId id = this->f.call(GatewayFixture::callOn("safe"));
        CPPUNIT_ASSERT(this->f.callers[id].refusal->reason == RejectionReason::NotReady);
    }

    void bodyIsNotNeededWithoutRoute()
    {
        this->f.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        CPPUNIT_ASSERT(!this->f.gateway.needsBody(GatewayFixture::callOn("none")));
        GatewayCall call = GatewayFixture::callOn("none");
        call.isBodyOmitted = true;
        const CallId id = this->f.call(std::move(call));
        CPPUNIT_ASSERT(this->f.callers[id].refusal->reason == RejectionReason::NoRoute);
    }

    void bodyIsNeededForACallThatMayRun()
    {
        this->f.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        CPPUNIT_ASSERT(this->f.gateway.needsBody(GatewayFixture::callOn("safe")));
    }

    /// Guards against a configuration that adds a route between the head and the decision to send.
    void callWhoseBodyWasDroppedIsNeverSent()
    {
        this->f.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        this->f.addInstance("e1");
        GatewayCall call = GatewayFixture::callOn("safe");
        call.isBodyOmitted = true;
        call.body.clear();
        const CallId id = this->f.call(std::move(call));
        CPPUNIT_ASSERT(this->f.sends.empty());
        CPPUNIT_ASSERT(this->f.callers[id].refusal && !this->f.callers[id].refusal->mayHaveRun);
    }

    void bodyIsSentWithEachSend()
    {
        this->f.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        this->f.addInstance("e1");
        this->f.addInstance("e2");
        this->f.call(GatewayFixture::callOn("safe"));
        this->f.end(this->f.sends.back(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f.sends.size());
        for (const auto& sent : this->f.sends)
            CPPUNIT_ASSERT_EQUAL(std::string("input"), sent.details.body.value_or(""));
    }

    /// Guards against a second run of a call whose answer is held back, as its caller doesn't read.
    void answerThatWaitsForItsCallerIsNotStalled()
    {
        this->f.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        this->f.addInstance("e1");
        this->f.addInstance("e2");
        const CallId id = this->f.call(GatewayFixture::callOn("safe"));
        this->f.behind.insert(id);
        this->f.advance(Milliseconds(450));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f.sends.size());
        this->f.behind.clear();
        this->f.advance(Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f.sends.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHeadsTest);
