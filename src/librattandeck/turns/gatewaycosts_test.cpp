#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Learned speeds at a gateway: where calls go, and when they count as stalled.
class GatewayCostsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayCostsTest);
    CPPUNIT_TEST(callsLeaveASlowInstance);
    CPPUNIT_TEST(callAtASoundSlowInstanceIsNotMoved);
    CPPUNIT_TEST(callAtAUsualInstanceIsMovedAfterItsObjective);
    CPPUNIT_TEST(instanceThatAnswersWithErrorsIsAvoided);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        this->f->configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        for (const char* name : { "a", "b", "c" })
            this->f->addInstance(name, false, 8);
    }

private:
    void answer(const GatewayFixture::Sent& sent, int status = 200)
    {
        this->f->head(sent, status);
        this->f->end(sent);
    }

    /// Rounds of three calls, of which each instance gets one. Instance "a" takes `slow`, the others 40 ms.
    void play(int rounds, Milliseconds slow)
    {
        constexpr Milliseconds usual { 40 };
        for (int i = 0; i < rounds; ++i) {
            const std::size_t first = this->f->sends.size();
            for (int call = 0; call < 3; ++call)
                this->f->call(GatewayFixture::callOn("safe"));
            this->f->advance(usual);
            for (std::size_t k = first; k < first + 3; ++k) {
                if (this->f->sends[k].details.endpoint != EndpointId("a"))
                    this->answer(this->f->sends[k]);
            }
            this->f->advance(slow - usual);
            for (std::size_t k = first; k < first + 3; ++k) {
                if (this->f->sends[k].details.endpoint == EndpointId("a"))
                    this->answer(this->f->sends[k]);
            }
        }
    }

    std::size_t sendsTo(const char* name, std::size_t from) const
    {
        return std::size_t(std::count_if(this->f->sends.begin() + std::ptrdiff_t(from), this->f->sends.end(),
            [name](const auto& sent) { return sent.details.endpoint == EndpointId(name); }));
    }

    void callsLeaveASlowInstance()
    {
        this->play(40, Milliseconds(160));
        const std::size_t before = this->f->sends.size();
        this->play(20, Milliseconds(160));
        CPPUNIT_ASSERT(this->sendsTo("a", 0) > 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->sendsTo("a", before));
    }

    /// Guards against calls that sound instances lose because they are slow.
    void callAtASoundSlowInstanceIsNotMoved()
    {
        this->play(40, Milliseconds(160));
        // No other instance takes calls now, and one returns while the call runs.
        this->f->addInstance("b", true, 8);
        this->f->addInstance("c", true, 8);
        this->f->call(GatewayFixture::callOn("safe"));
        CPPUNIT_ASSERT(this->f->sends.back().details.endpoint == EndpointId("a"));
        this->f->addInstance("b", false, 8);
        const std::size_t sends = this->f->sends.size();
        this->f->advance(Milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(sends, this->f->sends.size());
        CPPUNIT_ASSERT(this->f->failures.empty());
        // One that hangs loses it all the same.
        this->f->advance(Milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(sends + 1, this->f->sends.size());
    }

    void callAtAUsualInstanceIsMovedAfterItsObjective()
    {
        this->play(40, Milliseconds(40));
        this->f->call(GatewayFixture::callOn("safe"));
        const std::size_t sends = this->f->sends.size();
        this->f->advance(Milliseconds(199));
        CPPUNIT_ASSERT_EQUAL(sends, this->f->sends.size());
        this->f->advance(Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(sends + 1, this->f->sends.size());
    }

    /// Guards against an instance that answers all calls with errors at once, and gets most calls as it is never busy.
    void instanceThatAnswersWithErrorsIsAvoided()
    {
        int errors = 0;
        for (int i = 0; i < 60; ++i) {
            this->f->call(GatewayFixture::callOn("safe"));
            this->f->advance(Milliseconds(20));
            // A retry of the call is another send.
            for (std::size_t k = 0; k < 2 && !this->f->callers[CallId(this->f->lastCall)].isEnded; ++k) {
                const auto sent = this->f->sends.back();
                const bool isFailing = sent.details.endpoint == EndpointId("a");
                errors += isFailing ? 1 : 0;
                this->answer(sent, isFailing ? 500 : 200);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(errors), errors < 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayCostsTest);
