#include "entryworld_test.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// Lost processes, links, answers and stores.
class EntryFaultsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryFaultsTest);
    CPPUNIT_TEST(successorKeepsHistoryAndBudget);
    CPPUNIT_TEST(successorAdoptsRunningCall);
    CPPUNIT_TEST(lossOfHomeAndSidecarIsVisible);
    CPPUNIT_TEST(recopiedRecordsSurviveTheNextLoss);
    CPPUNIT_TEST(pausedHolderStartsNothing);
    CPPUNIT_TEST(restartedHomeTakesACensus);
    CPPUNIT_TEST(lostAnswersOfUpdatesAreReadBack);
    CPPUNIT_TEST(outageOfTheStoreIsOutlivedOnPromises);
    CPPUNIT_TEST(holderThatAloneIsCutOffStops);
    CPPUNIT_TEST(renewalUnderWayCannotOutliveATakeover);
    CPPUNIT_TEST(promisesHoldOffASuccessorThatReachesTheStore);
    CPPUNIT_TEST(idempotentCallGoesElsewhere);
    CPPUNIT_TEST(lostNonIdempotentCallIsUnknownUntilItsRecordTurnsUp);
    CPPUNIT_TEST(restartedSidecarProvesNothing);
    CPPUNIT_TEST(refusedOrderGoesElsewhere);
    CPPUNIT_TEST(crashingRequestIsHeldEverywhere);
    CPPUNIT_TEST(refusedCensusDropsTheShard);
    CPPUNIT_TEST(lostHomeOfForwardedRequestIsAnswered);
    CPPUNIT_TEST(missedMemberHealsTheShardLater);
    CPPUNIT_TEST(isolatedEntryTellsNothingNew);
    CPPUNIT_TEST(lostPartsOfAStreamComeBeforeTheAnswer);
    CPPUNIT_TEST(spendingOfEndedSubAgentsIsKept);
    CPPUNIT_TEST(spendingOfEndedRootIsKept);
    CPPUNIT_TEST(streamedIdempotentCallCanBeRepeated);
    CPPUNIT_TEST(lateRunningCallIsNotRunAgain);
    CPPUNIT_TEST(plannedStopsLeaveNoGap);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<World> world;
    const NodeId e1 { "e1" };
    const NodeId e2 { "e2" };
    const NodeId e3 { "e3" };
    const NodeId s1 { "s1" };
    const NodeId s2 { "s2" };

    void start(bool thirdDomain = false)
    {
        this->world = std::make_unique<World>();
        this->world->addEntry("e1", "d1");
        this->world->addEntry("e2", "d2");
        if (thirdDomain)
            this->world->addEntry("e3", "d3");
        this->world->addSidecar("s1", "d1");
        this->world->addSidecar("s2", "d2");
        this->world->run(Milliseconds(9000));
    }

    // Long enough for a lease to lapse and its shards to be taken over.
    void awaitTakeover() { this->world->run(Milliseconds(13000)); }

    CallerRequest callOf(const ProgramId& program, const std::string& input, const AnswerDone* after = nullptr)
    {
        CallerRequest request = World::callOf(program, input);
        if (after)
            request.head = after->head;
        return request;
    }

    CallerRequest onceOf(const ProgramId& program, const std::string& key)
    {
        CallerRequest request = World::callOf(program, "once");
        request.idempotent = false;
        request.key = IdempotencyKey(key);
        return request;
    }

    NodeId sidecarRunning(const ProgramId& program)
    {
        for (const auto& [node, sidecar] : this->world->sidecars) {
            if (sidecar.starts.contains(program))
                return node;
        }
        return {};
    }

    void setAnswers(bool answers)
    {
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.answers = answers;
    }

    AnswerDone answered(CallerTicket ticket)
    {
        const AnswerDone* done = this->world->done(ticket);
        const Problem* problem = this->world->problem(ticket);
        CPPUNIT_ASSERT_MESSAGE(problem ? problem->detail : "no answer", done);
        return *done;
    }

    Problem refused(CallerTicket ticket)
    {
        CPPUNIT_ASSERT(this->world->problem(ticket));
        return *this->world->problem(ticket);
    }

    void successorKeepsHistoryAndBudget()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1, 1000);
        const CallerTicket first = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(first);
        this->world->kill(this->e1);
        this->awaitTakeover();
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().gaps);
        const CallerTicket second = this->world->ask(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(100));
        const AnswerDone after = this->answered(second);
        CPPUNIT_ASSERT_EQUAL(2U, after.turn.value);
        CPPUNIT_ASSERT_EQUAL(before.budgetLeft.value - after.charged.value, after.budgetLeft.value);
    }

    void successorAdoptsRunningCall()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        CallerRequest call = this->onceOf(opened.program, "k");
        call.timeLeft = Milliseconds(60000);
        this->world->ask(this->e1, call);
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
        this->world->kill(this->e1);
        this->awaitTakeover();
        const CallerTicket repeated = this->world->ask(this->e2, call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(!this->world->final(repeated));
        this->world->finish(runner, this->world->sidecars.at(runner).open.begin()->first);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->answered(repeated).output);
        CPPUNIT_ASSERT_EQUAL(1U, this->world->sidecars.at(runner).starts.at(opened.program));
    }

    void lossOfHomeAndSidecarIsVisible()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        // The record stands at the home and at the sidecar in the other domain.
        this->world->cutLink(this->e1, this->s1);
        const CallerTicket first = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        this->answered(first);
        CPPUNIT_ASSERT(this->sidecarRunning(opened.program) == this->s2);
        this->world->kill(this->s2);
        this->world->kill(this->e1);
        this->awaitTakeover();
        CPPUNIT_ASSERT(this->world->entries.at(this->e2).core->status().gaps > 0);
        const CallerTicket repeated = this->world->ask(this->e2, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(6000));
        CPPUNIT_ASSERT(this->refused(repeated).ran == Ran::Unknown);
        CPPUNIT_ASSERT(this->refused(repeated).kind != ProblemKind::UnknownProgram);
        // Programs opened since are free of doubt.
        const AnswerDone later = this->world->open(this->e2);
        const CallerTicket call = this->world->ask(this->e2, this->onceOf(later.program, "k"));
        this->world->run(Milliseconds(100));
        this->answered(call);
    }

    void recopiedRecordsSurviveTheNextLoss()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(first);
        const NodeId runner = this->sidecarRunning(opened.program);
        const std::string domain = this->world->sidecars.at(runner).hello.domain.value;
        this->world->kill(runner);
        this->world->run(Milliseconds(3000));
        // It starts anew and remembers nothing.
        this->world->addSidecar(runner.value, domain, "llm", 2);
        this->world->run(Milliseconds(6000));
        this->world->kill(this->e1);
        this->awaitTakeover();
        const CallerTicket repeated = this->world->ask(this->e2, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->answered(repeated).head == before.head);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().gaps);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e3).core->status().gaps);
    }

    void pausedHolderStartsNothing()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->world->pause(this->e1);
        this->awaitTakeover();
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e2));
        std::size_t before = 0;
        for (const auto& [node, sidecar] : this->world->sidecars)
            before += sidecar.orders.size();
        this->world->entries.at(this->e1).timers->observe(this->world->timers.now());
        const CallerTicket ticket = this->world->ask(this->e1, this->callOf(opened.program, "late"));
        CPPUNIT_ASSERT(this->refused(ticket).kind == ProblemKind::NotServing);
        this->world->resume(this->e1);
        this->world->run(Milliseconds(100));
        std::size_t after = 0;
        for (const auto& [node, sidecar] : this->world->sidecars)
            after += sidecar.orders.size();
        CPPUNIT_ASSERT_EQUAL(before, after);
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e1) + this->world->owned(this->e2));
    }

    void restartedHomeTakesACensus()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const AnswerDone before = this->answered(first);
        this->world->kill(this->e1);
        this->world->addEntry("e1", "d1", 2);
        this->awaitTakeover();
        const CallerTicket second = this->world->ask(this->e2, this->callOf(opened.program, "b", &before));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2U, this->answered(second).turn.value);
        const Epoch epoch { this->world->store.value(
            "shardmap", "main")["shards"][opened.program.shard.value]["epoch"] };
        CPPUNIT_ASSERT(epoch > opened.program.openedIn);
    }

    void lostAnswersOfUpdatesAreReadBack()
    {
        this->world = std::make_unique<World>();
        this->world->addEntry("e1", "d1");
        this->world->addEntry("e2", "d2");
        for (auto& [node, entry] : this->world->entries)
            entry.lostAnswers = 4;
        this->world->addSidecar("s1", "d1");
        this->world->addSidecar("s2", "d2");
        this->world->run(Milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e1) + this->world->owned(this->e2));
        // A renewal whose answer is lost doesn't end the lease.
        this->world->entries.at(this->e1).lostAnswers = 1;
        this->world->run(Milliseconds(10000));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e1) + this->world->owned(this->e2));
        const AnswerDone opened = this->world->open(this->e2);
        const CallerTicket call = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->answered(call);
    }

    void outageOfTheStoreIsOutlivedOnPromises()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        for (auto& [node, entry] : this->world->entries)
            entry.storeReachable = false;
        this->world->run(Milliseconds(20000));
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().onPromises);
        const CallerTicket call = this->world->ask(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->answered(call);
        for (auto& [node, entry] : this->world->entries)
            entry.storeReachable = true;
        this->world->run(Milliseconds(10000));
        CPPUNIT_ASSERT(!this->world->entries.at(this->e1).core->status().onPromises);
        for (auto& [node, entry] : this->world->entries)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(node.value, std::uint64_t(0), entry.core->status().takeovers);
    }

    void holderThatAloneIsCutOffStops()
    {
        this->start(true);
        const AnswerDone opened = this->world->open(this->e1);
        this->world->entries.at(this->e1).storeReachable = false;
        this->awaitTakeover();
        CPPUNIT_ASSERT(!this->world->entries.at(this->e1).core->status().serving);
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e2) + this->world->owned(this->e3));
        const CallerTicket call = this->world->ask(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->answered(call);
    }

    void renewalUnderWayCannotOutliveATakeover()
    {
        this->start();
        Entry& holder = this->world->entries.at(this->e1);
        const ObjectKey lease { "lease", "e1" };
        const ObjectVersion before = this->world->store.objects.at(lease).version;
        while (this->world->store.objects.at(lease).version == before)
            this->world->run(Milliseconds(1));
        // Just renewed, for 6000 ms; the successor waits 300 ms longer.
        holder.storeReachable = false;
        this->world->run(Milliseconds(5900));
        CPPUNIT_ASSERT(this->world->owned(this->e1) > 0);
        holder.storeReachable = true;
        holder.putDelay = Milliseconds(900);
        holder.watchDelay = Milliseconds(20000);
        this->world->cutLink(this->e1, this->e2);
        this->world->cutLink(this->e1, this->s1);
        this->world->cutLink(this->e1, this->s2);
        this->world->run(Milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(4U, this->world->owned(this->e2));
        CPPUNIT_ASSERT_EQUAL(0U, this->world->owned(this->e1));
    }

    void promisesHoldOffASuccessorThatReachesTheStore()
    {
        this->start(true);
        const NodeId e4("e4");
        this->world->addEntry("e4", "d4");
        this->world->run(Milliseconds(20000));
        const std::uint32_t before = this->world->owned(this->e1);
        CPPUNIT_ASSERT(before > 0);
        // Two of the three guarantors are cut off, too; e2 is not.
        for (const NodeId& node : { this->e1, this->e3, e4 })
            this->world->entries.at(node).storeReachable = false;
        this->world->run(Milliseconds(15000));
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().onPromises);
        CPPUNIT_ASSERT_EQUAL(before, this->world->owned(this->e1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), this->world->entries.at(this->e2).core->status().takeovers);
    }

    void idempotentCallGoesElsewhere()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        const CallerTicket call = this->world->ask(this->e1, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
        this->setAnswers(true);
        this->world->kill(runner);
        this->world->run(Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("<a>"), this->answered(call).output);
        // The attempt that was lost counts as spent: 11 tokens reserved, then 6 charged.
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100000 - 11 - 6), this->answered(call).budgetLeft.value);
    }

    void lostNonIdempotentCallIsUnknownUntilItsRecordTurnsUp()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        const CallerTicket call = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
        this->world->cutLink(this->e1, runner);
        this->world->run(Milliseconds(4000));
        CPPUNIT_ASSERT(!this->world->final(call));
        this->world->run(Milliseconds(1500));
        CPPUNIT_ASSERT(this->refused(call).kind == ProblemKind::OutcomeUnknown);
        CPPUNIT_ASSERT(this->refused(call).ran == Ran::Unknown);
        // The next turn waits until a late start is out of the question.
        const CallerTicket early = this->world->ask(this->e1, this->callOf(opened.program, "b"));
        this->world->run(Milliseconds(10));
        CPPUNIT_ASSERT(this->refused(early).ran == Ran::No);
        CPPUNIT_ASSERT(this->refused(early).retryAfter.count() > 0);
        this->world->restoreLink(this->e1, runner);
        this->world->run(Milliseconds(10));
        this->world->finish(runner, this->world->sidecars.at(runner).open.begin()->first);
        this->world->run(Milliseconds(100));
        const CallerTicket repeated = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("<once>"), this->answered(repeated).output);
        CPPUNIT_ASSERT_EQUAL(1U, this->world->sidecars.at(runner).starts.at(opened.program));
    }

    void restartedSidecarProvesNothing()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        const CallerTicket call = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        const NodeId runner = this->sidecarRunning(opened.program);
        const OrderId order = this->world->sidecars.at(runner).open.begin()->first;
        const std::string domain = this->world->sidecars.at(runner).hello.domain.value;
        this->world->kill(runner);
        this->world->run(Milliseconds(200));
        this->world->addSidecar(runner.value, domain, "llm", 2);
        this->world->sendFrom(runner, this->e1, OrderRefused { order, RefusalReason::NoCredit });
        this->world->run(Milliseconds(300));
        CPPUNIT_ASSERT(this->refused(call).ran == Ran::Unknown);
        for (const auto& [node, sidecar] : this->world->sidecars)
            CPPUNIT_ASSERT(!sidecar.starts.contains(opened.program));
    }

    void refusedOrderGoesElsewhere()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.refuses = RefusalReason::Overloaded;
        const CallerTicket call = this->world->ask(this->e1, this->onceOf(opened.program, "k"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(!this->world->final(call));
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.refuses.reset();
        this->world->run(Milliseconds(1500));
        this->answered(call);
    }

    void crashingRequestIsHeldEverywhere()
    {
        this->start();
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.crashes = true;
        const AnswerDone opened = this->world->open(this->e1);
        const CallerTicket first = this->world->ask(this->e1, this->callOf(opened.program, "bad"));
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->refused(first).kind == ProblemKind::Quarantined);
        CPPUNIT_ASSERT(this->refused(first).ran == Ran::Unknown);
        const AnswerDone elsewhere = this->world->open(this->e2);
        const CallerTicket second = this->world->ask(this->e2, this->callOf(elsewhere.program, "bad"));
        this->world->run(Milliseconds(20));
        CPPUNIT_ASSERT(this->refused(second).kind == ProblemKind::Quarantined);
        CPPUNIT_ASSERT(this->refused(second).ran == Ran::No);
        // After a restart of everything, too.
        this->world->kill(this->e1);
        this->world->kill(this->e2);
        this->world->addEntry("e3", "d1", 2);
        // The list shows that the guarantors of the former leases are gone.
        this->world->entries.at(this->e3).core->onInstanceList({});
        this->world->run(Milliseconds(20000));
        const AnswerDone later = this->world->open(this->e3);
        const CallerTicket third = this->world->ask(this->e3, this->callOf(later.program, "bad"));
        this->world->run(Milliseconds(20));
        CPPUNIT_ASSERT(this->refused(third).kind == ProblemKind::Quarantined);
    }

    void refusedCensusDropsTheShard()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        CensusAnswer refusal;
        refusal.shard = opened.program.shard;
        refusal.epoch = opened.program.openedIn;
        refusal.incarnation = Incarnation(1);
        refusal.refused = true;
        const std::uint32_t before = this->world->owned(this->e1);
        this->world->sendFrom(this->s1, this->e1, refusal);
        this->world->run(Milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(before - 1, this->world->owned(this->e1));
    }

    void lostHomeOfForwardedRequestIsAnswered()
    {
        this->start();
        const AnswerDone opened = this->world->open(this->e1);
        this->setAnswers(false);
        const CallerTicket call = this->world->ask(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        this->world->kill(this->e1);
        this->world->run(Milliseconds(10));
        CPPUNIT_ASSERT(this->refused(call).ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->world->events[call].size());
    }

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
        // The only other holder of the first turn can't be reached by the successor for a while.
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
        // Part 0 comes again, as after a lost link, and part 1 is lost.
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
        this->world->run(Milliseconds(4500));
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryFaultsTest);
