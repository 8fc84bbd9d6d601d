#include "entryfixture_test.h"

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// State that must survive a change of home, a lost stream or a planned stop.
class EntryRecoveryTest : public EntryFixture {
    CPPUNIT_TEST_SUITE(EntryRecoveryTest);
    CPPUNIT_TEST(missedMemberHealsTheShardLater);
    CPPUNIT_TEST(isolatedEntryTellsNothingNew);
    CPPUNIT_TEST(lostPartsOfAStreamComeBeforeTheAnswer);
    CPPUNIT_TEST(spendingOfEndedSubAgentsIsKept);
    CPPUNIT_TEST(spendingOfEndedRootIsKept);
    CPPUNIT_TEST(streamedIdempotentCallCanBeRepeated);
    CPPUNIT_TEST(lateRunningCallIsNotRunAgain);
    CPPUNIT_TEST(plannedStopsLeaveNoGap);
    CPPUNIT_TEST(leavingEntryStaysForTheSuccessorOfALostHome);
    CPPUNIT_TEST_SUITE_END();

    void missedMemberHealsTheShardLater()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        this->answered(first);
        this->world->restoreLink(this->e1, this->s1);
        this->world->run(Milliseconds(1100));
        this->world->cutLink(this->e1, this->s2);
        const CallerTicket second = this->world->ask(this->e1, this->callOf(opened.program, "b"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(second);
        // s2 holds the only other copy of the first turn, and the successor can't reach it for a while.
        this->world->cutLink(this->e2, this->s2);
        this->world->kill(this->e1);
        this->awaitTakeover();
        const CallerTicket early = this->world->ask(this->e2, this->callOf(opened.program, "c", &before));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->refused(early).kind == ProblemKind::NotServing);
        CPPUNIT_ASSERT(this->refused(early).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->refused(early).retryAfter.count() > 0);
        this->world->restoreLink(this->e2, this->s2);
        this->world->run(Milliseconds(2000));
        const CallerTicket later = this->world->ask(this->e2, this->callOf(opened.program, "c", &before));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(3U, this->answered(later).turn.value);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value - 6, this->answered(later).budgetLeft.value);
    }

    void isolatedEntryTellsNothingNew()
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
        const CallerTicket ticket = this->world->ask(this->e1, opening);
        this->world->run(Milliseconds(4000));
        CPPUNIT_ASSERT(this->refused(ticket).kind == ProblemKind::NotServing);
        CPPUNIT_ASSERT(this->refused(ticket).ran == Ran::No);
    }

    void lostPartsOfAStreamComeBeforeTheAnswer()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        const CallerTicket call = this->world->ask(this->e1, this->callOf(opened.program, "abc"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
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
        CPPUNIT_ASSERT_EQUAL(streamed, this->answered(call).output);
    }

    void spendingOfEndedSubAgentsIsKept()
    {
        this->start();
        const AnswerDone root = this->world->open(this->e1, 1000);
        CallerRequest request;
        request.kind = CallKind::OpenProgram;
        request.program = root.program;
        const CallerTicket opened = this->world->ask(this->e1, request);
        this->world->run(Milliseconds(50));
        request.kind = CallKind::EndProgram;
        request.program = this->answered(opened).program;
        this->world->ask(this->e1, this->callOf(request.program, "a"));
        this->world->run(Milliseconds(100));
        const CallerTicket ended = this->world->ask(this->e1, request);
        this->world->run(Milliseconds(100));
        const TokenCount left = this->answered(ended).budgetLeft;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(994), left.value);
        this->world->kill(this->e1);
        this->awaitTakeover();
        request.kind = CallKind::GetProgram;
        request.program = root.program;
        const CallerTicket read = this->world->ask(this->e2, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(left.value, this->answered(read).budgetLeft.value);
    }

    void spendingOfEndedRootIsKept()
    {
        this->start();
        const AnswerDone root = this->world->open(this->e1, 1000);
        CallerRequest request;
        request.kind = CallKind::OpenProgram;
        request.program = root.program;
        const CallerTicket opened = this->world->ask(this->e1, request);
        this->world->ask(this->e1, this->callOf(root.program, "a"));
        this->world->run(Milliseconds(100));
        const ProgramId child = this->answered(opened).program;
        request.kind = CallKind::EndProgram;
        this->world->ask(this->e1, request);
        this->world->run(Milliseconds(100));
        this->world->kill(this->e1);
        this->awaitTakeover();
        request.kind = CallKind::GetProgram;
        request.program = child;
        const CallerTicket read = this->world->ask(this->e2, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(994), this->answered(read).budgetLeft.value);
    }

    void streamedIdempotentCallCanBeRepeated()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        CallerRequest request = this->callOf(opened.program, "a");
        request.turn = TurnNumber(1);
        const CallerTicket call = this->world->ask(this->e1, request);
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
        const OrderId order = this->world->sidecars.at(runner).open.begin()->first;
        this->world->sendFrom(runner, this->e1, OrderTokens { order, 0, "<a", TokenCount(2) });
        this->world->run(Milliseconds(10));
        this->setAnswers(true);
        this->world->kill(runner);
        this->world->run(Milliseconds(1100));
        CPPUNIT_ASSERT(this->refused(call).kind == ProblemKind::EndpointFailed);
        CPPUNIT_ASSERT(this->refused(call).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->refused(call).retryAfter.count() > 0);
        const CallerTicket repeated = this->world->ask(this->e1, request);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<a>"), this->answered(repeated).output);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100000 - 11 - 6), this->answered(repeated).budgetLeft.value);
    }

    void lateRunningCallIsNotRunAgain()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->cutLink(this->e1, this->s1);
        this->setAnswers(false);
        CallerRequest call = this->onceOf(opened.program, "k");
        call.timeLeft = Milliseconds(60000);
        this->world->ask(this->e1, call);
        this->world->run(Milliseconds(100));
        this->world->cutLink(this->e2, this->s2);
        this->world->kill(this->e1);
        this->awaitTakeover();
        const CallerTicket early = this->world->ask(this->e2, call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->refused(early).ran == Ran::Unknown);
        this->world->restoreLink(this->e2, this->s2);
        this->world->run(Milliseconds(2000));
        const CallerTicket later = this->world->ask(this->e2, call);
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(!this->world->final(later));
        this->world->finish(this->s2, this->world->sidecars.at(this->s2).open.begin()->first);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->answered(later).output);
        CPPUNIT_ASSERT(!this->world->sidecars.at(this->s1).starts.contains(opened.program));
    }

    void plannedStopsLeaveNoGap()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1, 1000);
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(first);
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
        const CallerTicket repeated = this->world->ask(this->e2, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT(this->answered(repeated).head == before.head);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value, this->answered(repeated).budgetLeft.value);
    }

    void leavingEntryStaysForTheSuccessorOfALostHome()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(first);
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
        const CallerTicket second = this->world->ask(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, this->answered(second).turn.value);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryRecoveryTest);
