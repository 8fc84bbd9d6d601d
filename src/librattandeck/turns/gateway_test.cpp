#include "gatewayfixture_test.h"

using namespace Rattandeck;

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(callsBeforeTheFirstConfigurationAreRefusedAsNotReady);
    CPPUNIT_TEST(unknownRouteIsRefusedWithoutSending);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(answerIsRelayedWhenComplete);
    CPPUNIT_TEST(unsignedSuccessCountsAsLostAnswer);
    CPPUNIT_TEST(unsafeCallIsNotRetried);
    CPPUNIT_TEST(refusedSendIsRetriedAtAnotherInstance);
    CPPUNIT_TEST(callRefusedByAllInstancesIsReportedAsNotRun);
    CPPUNIT_TEST(callThatWasNeverSentIsReportedAsNotRun);
    CPPUNIT_TEST(safeCallIsRetriedUpToMaxRuns);
    CPPUNIT_TEST(stalledSafeCallIsRetried);
    CPPUNIT_TEST(retriesAreLimitedByTheBudget);
    CPPUNIT_TEST(stalledCallIsNotGivenUpWhenNoRetryIsAllowed);
    CPPUNIT_TEST(stalledCallIsNotGivenUpWhenNoOtherInstanceHasCapacity);
    CPPUNIT_TEST(stalledCallIsNotGivenUpWhenOtherInstancesAreFull);
    CPPUNIT_TEST(laterCallsAvoidAnInstanceThatKeepsAStalledOne);
    CPPUNIT_TEST(errorAnswerIsPassedOnWhenNoOtherInstanceHasCapacity);
    CPPUNIT_TEST(drainingInstanceGetsNoCalls);
    CPPUNIT_TEST(deadlineEndsTheCall);
    CPPUNIT_TEST(callThatWaitsForAConnectionHasNotRun);
    CPPUNIT_TEST(timeLeftIsTheShorterOfDeadlineAndTimeout);
    CPPUNIT_TEST(callerDisconnectCancelsTheSend);
    CPPUNIT_TEST(callIsQueuedUntilCapacityIsFree);
    CPPUNIT_TEST(callIsRefusedAfterTheMaximumQueueTime);
    CPPUNIT_TEST(urgentCallsLeaveTheQueueFirst);
    CPPUNIT_TEST(requestThatCrashesInstancesIsQuarantined);
    CPPUNIT_TEST(lostAnswersAloneDoNotQuarantine);
    CPPUNIT_TEST(crashesOfOtherRequestsWithTheSameInputAreNotCounted);
    CPPUNIT_TEST(instancesThatFailTogetherDoNotQuarantine);
    CPPUNIT_TEST(suspectedRequestIsTriedOnceAtATime);
    CPPUNIT_TEST(onlyARefusedConnectionIsEvidenceOfACrash);
    CPPUNIT_TEST(plannedLeaveIsNoEvidenceOfACrash);
    CPPUNIT_TEST(eventWithoutEndInterruptsTheStream);
    CPPUNIT_TEST(bodyWithoutEndOnAStreamRouteInterruptsTheSend);
    CPPUNIT_TEST(retainedOutputIsBounded);
    CPPUNIT_TEST(bodyWithoutEndOnAPlainRouteIsNotHeld);
    CPPUNIT_TEST(longAnswerThatHasBegunIsNotRetried);
    CPPUNIT_TEST(callAtAnInstanceThatLeavesTheListGoesOn);
    CPPUNIT_TEST(longSoundStreamIsNotCut);
    CPPUNIT_TEST(commentsDoNotKeepAStalledStreamAtItsInstance);
    CPPUNIT_TEST(instanceThatSaysThatItLeavesGetsNoMoreCalls);
    CPPUNIT_TEST(answerOfAnotherInstanceDoesNotTellOfALeave);
    CPPUNIT_TEST(leaveThatCannotBeUnderstoodIsIgnored);
    CPPUNIT_TEST(loadReportThatCannotBeReadIsLogged);
    CPPUNIT_TEST(answersStayWithinTheirMemoryTogether);
    CPPUNIT_TEST(endedAnswersHoldNoMemory);
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

    static EndpointAnswer leavingAnswer(int status)
    {
        EndpointAnswer answer;
        answer.status = status;
        answer.isSigned = true;
        answer.isNotRun = status == 503;
        answer.isLeaving = true;
        return answer;
    }

    void instanceThatSaysThatItLeavesGetsNoMoreCalls()
    {
        for (const int status : { 200, 503 }) {
            GatewayFixture fresh;
            fresh.configure({ GatewayFixture::route("unsafe", CallSafety::Unsafe) });
            fresh.addInstance("e1", false, 100);
            fresh.addInstance("e2", false, 100);
            fresh.call(GatewayFixture::callOn("unsafe"));
            const EndpointId leaving = fresh.sends.front().details.endpoint;
            fresh.gateway.onAnswerHead(fresh.sends.front().id, leavingAnswer(status));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fresh.leaving.size());
            CPPUNIT_ASSERT(fresh.leaving.front().first == leaving);
            const std::size_t sent = fresh.sends.size();
            for (int number = 0; number < 10; ++number)
                fresh.call(GatewayFixture::callOn("unsafe"));
            for (std::size_t number = sent; number < fresh.sends.size(); ++number)
                CPPUNIT_ASSERT(fresh.sends[number].details.endpoint != leaving);
            CPPUNIT_ASSERT_EQUAL(sent + 10, fresh.sends.size());
        }
    }

    void answerOfAnotherInstanceDoesNotTellOfALeave()
    {
        this->callOn("unsafe");
        EndpointAnswer misdirected = leavingAnswer(421);
        misdirected.isNotRun = true;
        misdirected.answeredBy = EndpointId("other");
        this->f->gateway.onAnswerHead(this->lastSend().id, misdirected);
        CPPUNIT_ASSERT(this->f->leaving.empty());
    }

    void leaveThatCannotBeUnderstoodIsIgnored()
    {
        this->callOn("unsafe");
        EndpointAnswer odd = leavingAnswer(200);
        odd.isLeaving = false;
        odd.invalidLeaving = "soon";
        this->f->gateway.onAnswerHead(this->lastSend().id, odd);
        CPPUNIT_ASSERT(this->f->leaving.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("soon"), this->f->invalidLeaving.front());
    }

    void loadReportThatCannotBeReadIsLogged()
    {
        this->callOn("unsafe");
        EndpointAnswer odd;
        odd.status = 200;
        odd.isSigned = true;
        odd.invalidLoad = "3;1;16";
        this->f->gateway.onAnswerHead(this->lastSend().id, odd);
        CPPUNIT_ASSERT_EQUAL(std::string("3;1;16"), this->f->invalidLoads.at(0));
    }

    void callsBeforeTheFirstConfigurationAreRefusedAsNotReady()
    {
        GatewayFixture fresh;
        const CallId id = fresh.call(GatewayFixture::callOn("safe"));
        CPPUNIT_ASSERT(fresh.callers.at(id).refusal->reason == RejectionReason::NotReady);
        CPPUNIT_ASSERT(fresh.callers.at(id).refusal->retryAfter > Milliseconds(0));
    }

    void unknownRouteIsRefusedWithoutSending()
    {
        const CallId id = this->callOn("nowhere");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::NoRoute);
        CPPUNIT_ASSERT(this->f->sends.empty());
    }

    void olderConfigurationIsIgnored()
    {
        this->f->configure({}, 5);
        this->f->configure({ GatewayFixture::route("safe", CallSafety::Safe) }, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), *this->f->gateway.configVersion());
    }

    void answerIsRelayedWhenComplete()
    {
        const CallId id = this->callOn("unsafe");
        this->f->head(this->lastSend(), 200);
        this->f->gateway.onAnswerData(this->lastSend().id, "bo");
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
        this->f->gateway.onAnswerData(this->lastSend().id, "dy");
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("body"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.openCalls());
    }

    void unsignedSuccessCountsAsLostAnswer()
    {
        const CallId unsafe = this->callOn("unsafe");
        this->f->head(this->lastSend(), 200, false, false, false);
        CPPUNIT_ASSERT(this->caller(unsafe).refusal->reason == RejectionReason::AnswerLost);
        CPPUNIT_ASSERT(this->caller(unsafe).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
        // An idempotent call is retried.
        this->callOn("safe");
        this->f->head(this->lastSend(), 200, false, false, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->sends.size());
    }

    /// Guards against a process that runs out of memory, and ends the calls of all callers, because many instances send
    /// answers without end.
    void answersStayWithinTheirMemoryTogether()
    {
        constexpr std::size_t most = 1000000;
        GatewayLimits limits;
        limits.maxAnswerBytes = most;
        this->f = std::make_unique<GatewayFixture>(limits);
        Route turns = GatewayFixture::route("turns", CallSafety::Stream);
        turns.retainsTurns = true;
        this->f->configure({ turns });
        this->f->addInstance("e1", false, 16);
        std::vector<CallId> calls;
        for (int number = 0; number < 10; ++number) {
            GatewayCall call = GatewayFixture::callOn("turns");
            call.program = BudgetId("p" + std::to_string(number));
            calls.push_back(this->f->call(std::move(call)));
            this->f->head(this->lastSend(), 200, true);
            this->f->event(this->lastSend(), 1);
        }
        // One is usual, the others never end.
        const std::string event = "id: 2\ndata: " + std::string(10000, 'x') + "\n\n";
        for (int round = 0; round < 100; ++round) {
            for (std::size_t number = 1; number < calls.size(); ++number)
                this->f->gateway.onAnswerData(this->f->sends[number].id, event);
        }
        for (std::size_t number = 1; number < calls.size(); ++number)
            CPPUNIT_ASSERT(this->caller(calls[number]).isBroken);
        CPPUNIT_ASSERT(this->f->failures.back().cause == SendFailureCause::TooLarge);
        CPPUNIT_ASSERT(!this->caller(calls[0]).isBroken);
    }

    void endedAnswersHoldNoMemory()
    {
        GatewayLimits limits;
        limits.maxAnswerBytes = 1000000;
        this->f = std::make_unique<GatewayFixture>(limits);
        this->f->configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        this->f->addInstance("e1");
        for (int number = 0; number < 100; ++number) {
            const CallId id = this->callOn("safe");
            this->f->head(this->lastSend(), 200);
            this->f->gateway.onAnswerData(this->lastSend().id, std::string(100000, 'x'));
            this->f->end(this->lastSend());
            CPPUNIT_ASSERT(this->caller(id).isEnded);
        }
    }

    void unsafeCallIsNotRetried()
    {
        const CallId id = this->callOn("unsafe");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).refusal->mayHaveRun);
    }

    void refusedSendIsRetriedAtAnotherInstance()
    {
        const CallId id = this->callOn("unsafe");
        const EndpointId first = this->lastSend().details.endpoint;
        this->f->head(this->lastSend(), 503, false, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->lastSend().details.endpoint != first);
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void callRefusedByAllInstancesIsReportedAsNotRun()
    {
        const CallId id = this->callOn("unsafe");
        this->f->head(this->lastSend(), 503, false, true);
        this->f->head(this->lastSend(), 503, false, true);
        CPPUNIT_ASSERT(this->caller(id).refusal);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter > Milliseconds(0));
    }

    void callThatWasNeverSentIsReportedAsNotRun()
    {
        const CallId id = this->callOn("unsafe");
        this->f->end(this->lastSend(), SendOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        this->f->end(this->lastSend(), SendOutcome::NotSent);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
    }

    void safeCallIsRetriedUpToMaxRuns()
    {
        const CallId id = this->callOn("safe");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        this->f->end(this->lastSend(), SendOutcome::Broken);
        // The route allows two runs.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::AnswerLost);
    }

    void stalledSafeCallIsRetried()
    {
        this->callOn("safe");
        this->f->advance(Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->f->sends.front().isCancelled);
    }

    void retriesAreLimitedByTheBudget()
    {
        GatewayLimits limits;
        limits.retryBurst = 3;
        limits.retryRatio = 0;
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

    void stalledCallIsNotGivenUpWhenNoRetryIsAllowed()
    {
        GatewayLimits limits;
        limits.retryBurst = 0;
        limits.retryRatio = 0;
        GatewayFixture bounded(limits);
        bounded.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        bounded.addInstance("e1");
        bounded.addInstance("e2");
        const CallId id = bounded.call(GatewayFixture::callOn("safe"));
        bounded.advance(Milliseconds(1000));
        CPPUNIT_ASSERT(!bounded.callers.at(id).refusal && !bounded.sends.front().isCancelled);
        bounded.head(bounded.sends.front(), 200);
        bounded.end(bounded.sends.front());
        CPPUNIT_ASSERT(bounded.callers.at(id).isEnded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), bounded.sends.size());
    }

    void stalledCallIsNotGivenUpWhenNoOtherInstanceHasCapacity()
    {
        this->f->addInstance("e2", true);
        const CallId id = this->callOn("safe");
        this->f->advance(Milliseconds(1000));
        CPPUNIT_ASSERT(!this->caller(id).refusal && !this->lastSend().isCancelled);
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void stalledCallIsNotGivenUpWhenOtherInstancesAreFull()
    {
        const CallId id = this->callOn("safe");
        const GatewayFixture::Sent first = this->lastSend();
        for (int i = 0; i < 8; ++i)
            this->callOn("unsafe");
        this->f->advance(Milliseconds(1000));
        CPPUNIT_ASSERT(!this->caller(id).refusal);
        this->f->head(first, 200);
        this->f->end(first);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void laterCallsAvoidAnInstanceThatKeepsAStalledOne()
    {
        GatewayLimits limits;
        limits.retryBurst = 0;
        limits.retryRatio = 0;
        GatewayFixture bounded(limits);
        bounded.configure({ GatewayFixture::route("safe", CallSafety::Safe) });
        bounded.addInstance("e1", false, 16);
        bounded.addInstance("e2", false, 16);
        bounded.call(GatewayFixture::callOn("safe"));
        const EndpointId slow = bounded.sends.back().details.endpoint;
        bounded.advance(Milliseconds(201));
        CPPUNIT_ASSERT(bounded.failures.back().cause == SendFailureCause::StalledAndKept);
        for (int i = 0; i < 3; ++i) {
            bounded.call(GatewayFixture::callOn("safe"));
            CPPUNIT_ASSERT(bounded.sends.back().details.endpoint != slow);
        }
    }

    void errorAnswerIsPassedOnWhenNoOtherInstanceHasCapacity()
    {
        this->f->addInstance("e2", true);
        const CallId id = this->callOn("safe");
        this->f->head(this->lastSend(), 500);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded && !this->caller(id).refusal);
    }

    void drainingInstanceGetsNoCalls()
    {
        this->f->addInstance("e1", true);
        for (int i = 0; i < 3; ++i) {
            this->callOn("unsafe");
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), this->lastSend().details.endpoint.value);
        }
    }

    void deadlineEndsTheCall()
    {
        GatewayCall call = GatewayFixture::callOn("unsafe");
        call.timeLeft = Milliseconds(100);
        const CallId id = this->f->call(call);
        this->f->advance(Milliseconds(101));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::TimedOut);
        CPPUNIT_ASSERT(this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
    }

    void callThatWaitsForAConnectionHasNotRun()
    {
        this->f->hasConnections = false;
        const CallId id = this->callOn("unsafe");
        this->f->advance(Milliseconds(3000));
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
        CPPUNIT_ASSERT(this->caller(id).refusal && !this->caller(id).refusal->mayHaveRun);
        // A send that was never written doesn't count for the route's two runs.
        this->f->addInstance("e3");
        this->callOn("safe");
        this->f->advance(Milliseconds(250));
        this->f->hasConnections = true;
        this->f->gateway.onSendWritten(this->lastSend().id);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->f->sends.size());
    }

    void timeLeftIsTheShorterOfDeadlineAndTimeout()
    {
        GatewayCall call = GatewayFixture::callOn("unsafe");
        call.timeLeft = Milliseconds(10000);
        this->f->call(call);
        CPPUNIT_ASSERT(this->lastSend().details.timeLeft == Milliseconds(3000));
    }

    void callerDisconnectCancelsTheSend()
    {
        const CallId id = this->callOn("unsafe");
        this->f->gateway.onCallerDisconnected(id);
        CPPUNIT_ASSERT(this->lastSend().isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->f->gateway.openCalls());
    }

    /// Loads both instances, which have two slots each, up to the limit of one and a half times their slots.
    void fillAllSlots()
    {
        for (int i = 0; i < 6; ++i)
            this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
    }

    void callIsQueuedUntilCapacityIsFree()
    {
        this->fillAllSlots();
        this->callOn("safe");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->gateway.queuedCalls());
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        this->f->advance(Milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), this->f->sends.size());
    }

    void callIsRefusedAfterTheMaximumQueueTime()
    {
        this->fillAllSlots();
        const CallId id = this->callOn("unsafe");
        this->f->advance(Milliseconds(70));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::Overloaded);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
    }

    void urgentCallsLeaveTheQueueFirst()
    {
        Route urgent = GatewayFixture::route("urgent", CallSafety::Unsafe);
        Route lowPriority = GatewayFixture::route("patient", CallSafety::Unsafe);
        lowPriority.rank = 1;
        this->f->configure({ urgent, lowPriority, GatewayFixture::route("unsafe", CallSafety::Unsafe) }, 2);
        this->fillAllSlots();
        this->callOn("patient");
        const CallId first = this->callOn("urgent");
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        this->f->advance(Milliseconds(20));
        CPPUNIT_ASSERT(this->lastSend().call == first);
    }

    void requestThatCrashesInstancesIsQuarantined()
    {
        this->f->addInstance("e3");
        for (int i = 0; i < 3; ++i) {
            this->callOn("unsafe");
            const EndpointId crashed = this->lastSend().details.endpoint;
            this->f->end(this->lastSend(), SendOutcome::Broken);
            this->f->advance(Milliseconds(3600));
            this->f->gateway.onInstanceRemoved(crashed);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->reports.size());
        this->f->addInstance("e4");
        const std::size_t before = this->f->sends.size();
        const CallId id = this->callOn("unsafe");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::Quarantined);
        CPPUNIT_ASSERT_EQUAL(before, this->f->sends.size());
        // Another gateway, or this one after a restart, refuses the request once it has the crash reports.
        GatewayFixture other;
        other.configure({ GatewayFixture::route("unsafe", CallSafety::Unsafe) });
        other.addInstance("e4");
        other.gateway.onCrashReports({ this->f->reports });
        CPPUNIT_ASSERT(other.callers.at(other.call(GatewayFixture::callOn("unsafe"))).refusal.has_value());
    }

    /// Guards against review/4: short inputs are alike in many programs, and a turn was refused because the turns of
    /// other chains with the same input, or calls for other subjects, had been under way in crashes.
    void crashesOfOtherRequestsWithTheSameInputAreNotCounted()
    {
        using Distinguish = std::function<void(GatewayCall&, const std::string&)>;
        const Distinguish setPrevious = [](GatewayCall& call, const auto& name) { call.previousTurn = TurnId(name); };
        const Distinguish setSubject = [](GatewayCall& call, const auto& name) { call.subject = name; };
        for (const Distinguish& distinguish : { setPrevious, setSubject }) {
            this->setUp();
            this->f->addInstance("e3");
            const auto callNamed = [&distinguish](const std::string& name) {
                GatewayCall call = GatewayFixture::callOn("unsafe");
                distinguish(call, name);
                return call;
            };
            for (const char* name : { "a", "b", "c" }) {
                this->f->call(callNamed(name));
                const EndpointId crashed = this->lastSend().details.endpoint;
                this->f->end(this->lastSend(), SendOutcome::Broken);
                this->f->gateway.onInstanceRemoved(crashed);
            }
            this->f->addInstance("e4");
            const std::size_t before = this->f->sends.size();
            this->f->call(callNamed("d"));
            CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
        }
    }

    /// Guards against review/4 for requests that are alike in all that identifies them: the instances of one failure
    /// domain crashed at one moment, and calls like those under way there were refused for 10 minutes.
    void instancesThatFailTogetherDoNotQuarantine()
    {
        this->f->addInstance("e3");
        std::vector<GatewayFixture::Sent> underWay;
        while (underWay.size() < 3) {
            this->callOn("unsafe");
            underWay.push_back(this->lastSend());
        }
        for (const auto& sent : underWay)
            this->f->end(sent, SendOutcome::Broken);
        for (const char* instance : { "e1", "e2", "e3" })
            this->f->gateway.onInstanceRemoved(EndpointId(instance));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->reports.size());
        this->f->addInstance("e4");
        const std::size_t before = this->f->sends.size();
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
    }

    /// Guards against many copies of a request that crashes instances, which reach as many of them at one moment after
    /// its first crashes had come together.
    void suspectedRequestIsTriedOnceAtATime()
    {
        this->f->addInstance("e3");
        std::vector<GatewayFixture::Sent> underWay;
        while (underWay.size() < 3) {
            this->callOn("unsafe");
            underWay.push_back(this->lastSend());
        }
        for (const auto& sent : underWay)
            this->f->end(sent, SendOutcome::Broken);
        for (const char* instance : { "e1", "e2", "e3" })
            this->f->gateway.onInstanceRemoved(EndpointId(instance));
        for (const char* instance : { "e4", "e5", "e6" })
            this->f->addInstance(instance);
        const std::size_t before = this->f->sends.size();
        this->callOn("unsafe");
        const GatewayFixture::Sent trial = this->lastSend();
        const CallId held = this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
        CPPUNIT_ASSERT(!this->caller(held).refusal->mayHaveRun);
        CPPUNIT_ASSERT(this->caller(held).refusal->retryAfter > Milliseconds(0));
        // Another gateway holds its copies, too.
        GatewayFixture other;
        other.configure({ GatewayFixture::route("unsafe", CallSafety::Unsafe) });
        other.addInstance("e7");
        other.gateway.onCrashReports({ this->f->reports });
        CPPUNIT_ASSERT(other.callers.at(other.call(GatewayFixture::callOn("unsafe"))).refusal.has_value());
        // An answer frees the request everywhere.
        this->f->head(trial, 200);
        this->f->end(trial);
        other.gateway.onCrashReports({ this->f->reports });
        other.call(GatewayFixture::callOn("unsafe"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.sends.size());
        this->callOn("unsafe");
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(before + 3, this->f->sends.size());
    }

    void lostAnswersAloneDoNotQuarantine()
    {
        for (int i = 0; i < 4; ++i) {
            this->callOn("unsafe");
            this->f->end(this->lastSend(), SendOutcome::Broken);
        }
        this->f->advance(Milliseconds(10000));
        const std::size_t before = this->f->sends.size();
        this->callOn("unsafe");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
    }

    void onlyARefusedConnectionIsEvidenceOfACrash()
    {
        GatewayFixture one;
        one.configure({ GatewayFixture::route("unsafe", CallSafety::Unsafe) });
        one.addInstance("e1");
        one.call(GatewayFixture::callOn("unsafe"));
        one.end(one.sends.back(), SendOutcome::Broken);
        one.call(GatewayFixture::callOn("unsafe"));
        one.end(one.sends.back(), SendOutcome::NotSent);
        CPPUNIT_ASSERT(one.reports.empty());
        one.call(GatewayFixture::callOn("unsafe"));
        one.end(one.sends.back(), SendOutcome::Unreachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), one.reports.size());
    }

    void plannedLeaveIsNoEvidenceOfACrash()
    {
        this->callOn("unsafe");
        const std::string leaving = this->lastSend().details.endpoint.value;
        this->f->end(this->lastSend(), SendOutcome::Broken);
        this->f->addInstance(leaving, true);
        this->f->gateway.onInstanceRemoved(EndpointId(leaving));
        CPPUNIT_ASSERT(this->f->reports.empty());
    }

    /// Sends `part` as data of the last send until the send is cancelled, at most 64 MiB. Returns whether it was.
    bool isCutWithoutEnd(const std::string& part)
    {
        const SendId send = this->lastSend().id;
        for (std::size_t sent = 0; sent < 64UL << 20U; sent += part.size()) {
            this->f->gateway.onAnswerData(send, part);
            for (const auto& each : this->f->sends) {
                if (each.id == send && each.isCancelled)
                    return true;
            }
        }
        return false;
    }

    void configureStream(bool canResume, bool retainsTurns)
    {
        Route stream = GatewayFixture::route("stream", CallSafety::Stream);
        stream.canResume = canResume;
        stream.retainsTurns = retainsTurns;
        this->f->configure({ stream }, 9);
    }

    void eventWithoutEndInterruptsTheStream()
    {
        this->configureStream(true, false);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->isCutWithoutEnd("data: " + std::string(16384, 'x')));
        // It is resumed elsewhere.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(!this->caller(id).isBroken);
    }

    void bodyWithoutEndOnAStreamRouteInterruptsTheSend()
    {
        this->configureStream(false, false);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 500);
        CPPUNIT_ASSERT(this->isCutWithoutEnd(std::string(16384, 'x')));
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::AnswerLost);
    }

    void retainedOutputIsBounded()
    {
        this->configureStream(false, true);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        CPPUNIT_ASSERT(this->isCutWithoutEnd("data: " + std::string(16384, 'x') + "\n\n"));
        CPPUNIT_ASSERT(this->caller(id).isBroken);
    }

    void bodyWithoutEndOnAPlainRouteIsNotHeld()
    {
        const CallId endless = this->callOn("unsafe");
        const GatewayFixture::Sent sent = this->lastSend();
        const CallId other = this->callOn("safe");
        this->f->head(sent, 200);
        const std::string part(16384, 'x');
        std::size_t received = 0;
        for (; received < 8UL << 20U; received += part.size())
            this->f->gateway.onAnswerData(sent.id, part);
        const std::size_t held = received - this->caller(endless).bytes.size();
        CPPUNIT_ASSERT(held <= GatewayLimits().maxBufferedAnswer + part.size());
        // It ends at its deadline, as incomplete; another call is answered meanwhile.
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(other).isEnded);
        this->f->advance(Milliseconds(3000));
        CPPUNIT_ASSERT(this->caller(endless).isBroken && !this->caller(endless).isEnded);
    }

    void longAnswerThatHasBegunIsNotRetried()
    {
        const CallId id = this->callOn("safe");
        const GatewayFixture::Sent sent = this->lastSend();
        this->f->head(sent, 200);
        const std::string part(GatewayLimits().maxBufferedAnswer + 1, 'x');
        this->f->gateway.onAnswerData(sent.id, part);
        CPPUNIT_ASSERT_EQUAL(part.size(), this->caller(id).bytes.size());
        // It takes longer than its objective, and breaks.
        this->f->advance(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        this->f->end(sent, SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).isBroken && !this->caller(id).isEnded);
    }

    void callAtAnInstanceThatLeavesTheListGoesOn()
    {
        const CallId id = this->callOn("unsafe");
        this->f->gateway.onInstanceRemoved(this->lastSend().details.endpoint);
        CPPUNIT_ASSERT(!this->lastSend().isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void longSoundStreamIsNotCut()
    {
        this->configureStream(false, false);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        CPPUNIT_ASSERT(!this->isCutWithoutEnd("data: " + std::string(16384, 'x') + "\n\n"));
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void commentsDoNotKeepAStalledStreamAtItsInstance()
    {
        this->configureStream(true, false);
        const CallId id = this->callOn("stream");
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        for (int i = 0; i < 10; ++i) {
            this->f->advance(Milliseconds(100));
            this->f->gateway.onAnswerData(this->f->sends.front().id, ":\n\n");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->lastSend().details.resumeAfter == "1" && !this->caller(id).isBroken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
