#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Answers whose status would promise a caller what the instance has not stated, on each kind of route.
class GatewayPromisesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayPromisesTest);
    CPPUNIT_TEST(callThatRanIsNotReportedAsNotRun);
    CPPUNIT_TEST(longAnswerIsNotBegun);
    CPPUNIT_TEST(idempotentCallIsRetried);
    CPPUNIT_TEST(turnIsNotReportedAsOverItsBudget);
    CPPUNIT_TEST(keptTurnIsNotReportedAsUnknown);
    CPPUNIT_TEST(instanceCountsAsFailing);
    CPPUNIT_TEST(movedStreamIsAborted);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        Route resumable = GatewayFixture::route("resumable", CallSafety::Stream);
        resumable.canResume = true;
        this->f->configure(
            { GatewayFixture::route("safe", CallSafety::Safe), GatewayFixture::route("unsafe", CallSafety::Unsafe),
                GatewayFixture::route("stream", CallSafety::Stream), resumable });
        this->f->addInstance("e1");
    }

private:
    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    GatewayFixture::Sent lastSend() { return this->f->sends.back(); }
    CallId callOn(const std::string& route) { return this->f->call(GatewayFixture::callOn(route)); }

    CallId turn(const std::string& previous = {})
    {
        GatewayCall call = GatewayFixture::callOn("stream");
        call.program = BudgetId("p");
        call.previousTurn = TurnId(previous);
        return this->f->call(std::move(call));
    }

    /// The instance that got the call last answers with that status, without stating that it has not run the call.
    void answer(int status, StatusMeaning meaning, const std::string& body = "failed")
    {
        const SendId send = this->lastSend().id;
        EndpointAnswer answer;
        answer.status = status;
        answer.meaning = meaning;
        answer.isSigned = true;
        answer.statesItsEnd = true;
        this->f->gateway.onAnswerHead(send, answer);
        this->f->gateway.onAnswerData(send, body);
        this->f->gateway.onAnswerEnd(send, SendOutcome::Complete);
    }

    void expectFailed(CallId id)
    {
        const GatewayFixture::Caller& caller = this->caller(id);
        CPPUNIT_ASSERT(caller.refusal && caller.refusal->reason == RejectionReason::AnswerUnfounded);
        CPPUNIT_ASSERT(caller.refusal->mayHaveRun && caller.refusal->retryAfter == Milliseconds(0));
        CPPUNIT_ASSERT(!caller.head && !caller.isEnded);
    }

    /// Guards against a caller that is told that its call has not run, and sends it again, though it has.
    void callThatRanIsNotReportedAsNotRun()
    {
        for (const char* route : { "safe", "unsafe", "stream", "resumable" }) {
            for (const int status : { 408, 429, 503 }) {
                const CallId id = this->callOn(route);
                this->answer(status, StatusMeaning::NotRun);
                this->expectFailed(id);
            }
        }
    }

    void longAnswerIsNotBegun()
    {
        const CallId id = this->callOn("unsafe");
        this->answer(503, StatusMeaning::NotRun, std::string(2 * GatewayLimits().maxBufferedAnswer, 'x'));
        this->expectFailed(id);
    }

    void idempotentCallIsRetried()
    {
        this->f->addInstance("e2");
        for (const char* route : { "safe", "resumable" }) {
            for (const int status : { 408, 429, 503 }) {
                const CallId id = this->callOn(route);
                const EndpointId first = this->lastSend().details.endpoint;
                this->answer(status, StatusMeaning::NotRun);
                CPPUNIT_ASSERT(this->lastSend().details.endpoint != first);
                this->answer(500, StatusMeaning::None);
                CPPUNIT_ASSERT(this->caller(id).head && this->caller(id).isEnded);
            }
        }
    }

    void turnIsNotReportedAsOverItsBudget()
    {
        const CallId id = this->turn();
        this->answer(402, StatusMeaning::BudgetSpent);
        this->expectFailed(id);
        const CallId plain = this->callOn("unsafe");
        this->answer(402, StatusMeaning::BudgetSpent);
        CPPUNIT_ASSERT(this->caller(plain).isEnded && !this->caller(plain).refusal);
    }

    void keptTurnIsNotReportedAsUnknown()
    {
        const TurnId kept("kept");
        for (const char* journal : { "j1", "j2", "j3" })
            this->f->states[NodeId(journal)].apply(
                RetainedTurn { kept, {}, "in", "out", Milliseconds(60000) }, this->f->timers.now());
        const CallId id = this->turn(kept.value);
        this->f->runJournals();
        this->answer(404, StatusMeaning::UnknownTurn);
        this->expectFailed(id);
        // Of other calls the status says nothing but what the instance means.
        const CallId first = this->turn();
        this->answer(404, StatusMeaning::UnknownTurn);
        const CallId plain = this->callOn("unsafe");
        this->answer(404, StatusMeaning::UnknownTurn);
        CPPUNIT_ASSERT(this->caller(first).isEnded && this->caller(plain).isEnded);
    }

    void instanceCountsAsFailing()
    {
        for (const char* id : { "e2", "e3", "e4" })
            this->f->addInstance(id);
        // An instance that fails at once would look idle, and get most calls.
        int failures = 0;
        for (int number = 0; number < 100; ++number) {
            this->callOn("unsafe");
            const bool isFailing = this->lastSend().details.endpoint == EndpointId("e1");
            failures += isFailing ? 1 : 0;
            this->answer(isFailing ? 429 : 200, isFailing ? StatusMeaning::NotRun : StatusMeaning::None);
        }
        constexpr int evenShare = 25;
        CPPUNIT_ASSERT(failures < evenShare);
    }

    /// A stream that has begun elsewhere can't end with another kind of answer.
    void movedStreamIsAborted()
    {
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->answer(503, StatusMeaning::NotRun);
        CPPUNIT_ASSERT(this->caller(id).isBroken && !this->caller(id).refusal);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPromisesTest);
