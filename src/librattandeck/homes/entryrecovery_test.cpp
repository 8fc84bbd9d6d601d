#include "entryfixture_test.h"

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// Tests that the state of programs survives a change of home, a lost stream and a planned stop.
class EntryRecoveryTest : public EntryFixture {
    CPPUNIT_TEST_SUITE(EntryRecoveryTest);
    CPPUNIT_TEST(shardRecoversWhenAMissingMemberAnswersLater);
    CPPUNIT_TEST(isolatedEntryRefusesToOpenPrograms);
    CPPUNIT_TEST(lostPartsOfAStreamAreSentBeforeTheAnswer);
    CPPUNIT_TEST(spendingOfEndedSubAgentsIsKept);
    CPPUNIT_TEST(spendingOfEndedRootIsKept);
    CPPUNIT_TEST(streamedIdempotentCallCanBeRetried);
    CPPUNIT_TEST(callReportedLateAsRunningIsNotRunAgain);
    CPPUNIT_TEST(plannedStopsLeaveNoGap);
    CPPUNIT_TEST(leavingEntryStaysUntilASuccessorOfALostHomeHasRecovered);
    CPPUNIT_TEST_SUITE_END();

    void shardRecoversWhenAMissingMemberAnswersLater()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        this->expectAnswer(first);
        this->world->restoreLink(this->e1, this->s1);
        this->world->run(Milliseconds(1100));
        this->world->cutLink(this->e1, this->s2);
        const CallerTicket second = this->world->sendRequest(this->e1, this->callOf(opened.program, "b"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(second);
        // s2 holds the only other copy of the first turn, and the successor can't reach it for a while.
        this->world->cutLink(this->e2, this->s2);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        const CallerTicket early = this->world->sendRequest(this->e2, this->callOf(opened.program, "c", &before));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->expectProblem(early).kind == ProblemKind::NotServing);
        CPPUNIT_ASSERT(this->expectProblem(early).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->expectProblem(early).retryAfter.count() > 0);
        this->world->restoreLink(this->e2, this->s2);
        this->world->run(Milliseconds(2000));
        const CallerTicket later = this->world->sendRequest(this->e2, this->callOf(opened.program, "c", &before));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(3U, this->expectAnswer(later).turn.value);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value - 6, this->expectAnswer(later).budgetLeft.value);
    }

    void isolatedEntryRefusesToOpenPrograms()
    {
        this->start();
        this->world->entries.at(this->e1).storeReachable = false;
        for (const NodeId& other : { this->e2, this->s1, this->s2 })
            this->world->cutLink(this->e1, other);
        this->world->run(Milliseconds(1000));
        CallerRequest opening;
        opening.kind = CallKind::OpenProgram;
        opening.service = ServiceName("llm");
        opening.budget = TokenCount(100);
        const CallerTicket ticket = this->world->sendRequest(this->e1, opening);
        this->world->run(Milliseconds(4000));
        CPPUNIT_ASSERT(this->expectProblem(ticket).kind == ProblemKind::NotServing);
        CPPUNIT_ASSERT(this->expectProblem(ticket).ran == Ran::No);
    }

    void lostPartsOfAStreamAreSentBeforeTheAnswer()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        const CallerTicket call = this->world->sendRequest(this->e1, this->callOf(opened.program, "abc"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        const OrderId order = this->world->sidecars.at(runner).open.begin()->first;
        this->world->sendFrom(runner, this->e1, OrderTokens { order, 0, "<a", TokenCount(2) });
        // Part 0 is sent twice, as after a lost link, and part 1 is lost.
        this->world->sendFrom(runner, this->e1, OrderTokens { order, 0, "<a", TokenCount(2) });
        this->world->sendFrom(runner, this->e1, OrderTokens { order, 2, "c", TokenCount(1) });
        this->world->run(Milliseconds(10));
        this->world->finish(runner, order);
        this->world->run(Milliseconds(100));
        std::string streamed;
        for (const CallerEvent& event : this->world->events[call]) {
            if (const auto* part = std::get_if<AnswerTokens>(&event))
                streamed += part->text;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("<abc>"), streamed);
        CPPUNIT_ASSERT_EQUAL(streamed, this->expectAnswer(call).output);
    }

    void spendingOfEndedSubAgentsIsKept()
    {
        this->start();
        const AnswerDone root = this->world->open(this->e1, 1000);
        CallerRequest request;
        request.kind = CallKind::OpenProgram;
        request.program = root.program;
        const CallerTicket opened = this->world->sendRequest(this->e1, request);
        this->world->run(Milliseconds(50));
        request.kind = CallKind::EndProgram;
        request.program = this->expectAnswer(opened).program;
        this->world->sendRequest(this->e1, this->callOf(request.program, "a"));
        this->world->run(Milliseconds(100));
        const CallerTicket ended = this->world->sendRequest(this->e1, request);
        this->world->run(Milliseconds(100));
        const TokenCount left = this->expectAnswer(ended).budgetLeft;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(994), left.value);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        request.kind = CallKind::GetProgram;
        request.program = root.program;
        const CallerTicket read = this->world->sendRequest(this->e2, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(left.value, this->expectAnswer(read).budgetLeft.value);
    }

    void spendingOfEndedRootIsKept()
    {
        this->start();
        const AnswerDone root = this->world->open(this->e1, 1000);
        CallerRequest request;
        request.kind = CallKind::OpenProgram;
        request.program = root.program;
        const CallerTicket opened = this->world->sendRequest(this->e1, request);
        this->world->sendRequest(this->e1, this->callOf(root.program, "a"));
        this->world->run(Milliseconds(100));
        const ProgramId child = this->expectAnswer(opened).program;
        request.kind = CallKind::EndProgram;
        this->world->sendRequest(this->e1, request);
        this->world->run(Milliseconds(100));
        this->world->kill(this->e1);
        this->runUntilTakeover();
        request.kind = CallKind::GetProgram;
        request.program = child;
        const CallerTicket read = this->world->sendRequest(this->e2, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(994), this->expectAnswer(read).budgetLeft.value);
    }

    void streamedIdempotentCallCanBeRetried()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setSidecarsAnswer(false);
        CallerRequest request = this->callOf(opened.program, "a");
        request.turn = TurnNumber(1);
        const CallerTicket call = this->world->sendRequest(this->e1, request);
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarThatStarted(opened.program);
        const OrderId order = this->world->sidecars.at(runner).open.begin()->first;
        this->world->sendFrom(runner, this->e1, OrderTokens { order, 0, "<a", TokenCount(2) });
        this->world->run(Milliseconds(10));
        this->setSidecarsAnswer(true);
        this->world->kill(runner);
        this->world->run(Milliseconds(1100));
        CPPUNIT_ASSERT(this->expectProblem(call).kind == ProblemKind::EndpointFailed);
        CPPUNIT_ASSERT(this->expectProblem(call).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->expectProblem(call).retryAfter.count() > 0);
        const CallerTicket repeated = this->world->sendRequest(this->e1, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<a>"), this->expectAnswer(repeated).output);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100000 - 11 - 6), this->expectAnswer(repeated).budgetLeft.value);
    }

    void callReportedLateAsRunningIsNotRunAgain()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->cutLink(this->e1, this->s1);
        this->setSidecarsAnswer(false);
        CallerRequest call = this->nonIdempotentCallOf(opened.program, "k");
        call.timeLeft = Milliseconds(60000);
        this->world->sendRequest(this->e1, call);
        this->world->run(Milliseconds(100));
        this->world->cutLink(this->e2, this->s2);
        this->world->kill(this->e1);
        this->runUntilTakeover();
        const CallerTicket early = this->world->sendRequest(this->e2, call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->expectProblem(early).ran == Ran::Unknown);
        this->world->restoreLink(this->e2, this->s2);
        this->world->run(Milliseconds(2000));
        const CallerTicket later = this->world->sendRequest(this->e2, call);
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(!this->world->finalEvent(later));
        this->world->finish(this->s2, this->world->sidecars.at(this->s2).open.begin()->first);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->expectAnswer(later).output);
        CPPUNIT_ASSERT(!this->world->sidecars.at(this->s1).starts.contains(opened.program));
    }

    void plannedStopsLeaveNoGap()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1, 1000);
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(first);
        this->world->restoreLink(this->e1, this->s1);
        this->world->sidecars.at(this->s2).leaving = true;
        this->world->run(Milliseconds(1100));
        this->world->kill(this->s2);
        this->world->run(Milliseconds(20));
        EntryCore& leaving = *this->world->entries.at(this->e1).core;
        leaving.beginShutdown();
        this->world->run(Milliseconds(8000));
        CPPUNIT_ASSERT(leaving.isDrained());
        this->world->kill(this->e1);
        this->world->run(Milliseconds(5000));
        for (const auto& [node, entry] : this->world->entries)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(node.value, std::uint64_t(0), entry.core->status().gaps);
        const CallerTicket repeated
            = this->world->sendRequest(this->e2, this->nonIdempotentCallOf(opened.program, "k"));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT(this->expectAnswer(repeated).head == before.head);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value, this->expectAnswer(repeated).budgetLeft.value);
    }

    void leavingEntryStaysUntilASuccessorOfALostHomeHasRecovered()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->sendRequest(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->expectAnswer(first);
        this->world->kill(this->e1);
        this->world->run(Milliseconds(500));
        EntryCore& leaving = *this->world->entries.at(this->e3).core;
        leaving.beginShutdown();
        this->world->run(Milliseconds(4000));
        CPPUNIT_ASSERT(!leaving.isDrained());
        this->world->run(Milliseconds(16000));
        CPPUNIT_ASSERT(leaving.isDrained());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().gaps);
        this->world->kill(this->e3);
        const CallerTicket second = this->world->sendRequest(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, this->expectAnswer(second).turn.value);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryRecoveryTest);
