#include "entryfixture_test.h"

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// Lost processes, links, answers and stores.
class EntryFaultsTest : public EntryFixture {
    CPPUNIT_TEST_SUITE(EntryFaultsTest);
    CPPUNIT_TEST(successorKeepsHistoryAndBudget);
    CPPUNIT_TEST(successorAdoptsRunningCall);
    CPPUNIT_TEST(lossOfHomeAndSidecarIsVisible);
    CPPUNIT_TEST(recopiedRecordsSurviveTheNextLoss);
    CPPUNIT_TEST(pausedHolderStartsNothing);
    CPPUNIT_TEST(restartedHomeTakesACensus);
    CPPUNIT_TEST(leasesCoverARestartOnceItsFactsStandElsewhere);
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
    CPPUNIT_TEST_SUITE_END();

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
        this->world->entries.at(this->e1).timers->updateNow(this->world->timers.now());
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

    // Restarted before and after its successor has taken the shards over.
    void leasesCoverARestartOnceItsFactsStandElsewhere()
    {
        for (Milliseconds pause(500); pause <= Milliseconds(12500); pause += Milliseconds(400)) {
            this->start();
            this->world->open(this->e1);
            this->world->kill(this->e1);
            this->world->run(pause);
            this->world->addEntry("e1", "d1", 2);
            this->world->run(Milliseconds(30000));
            std::uint64_t lastChange = 0;
            for (const auto& [key, object] : this->world->store.objects) {
                if (key.kind == "member")
                    lastChange = std::max(lastChange, object.version.value);
            }
            for (const auto& [key, object] : this->world->store.objects) {
                if (key.kind == "lease")
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(pause.count()) + " ms",
                        nlohmann::json::parse(object.value).at("completeThrough") >= lastChange);
            }
        }
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
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().reliesOnPromises);
        const CallerTicket call = this->world->ask(this->e2, this->callOf(opened.program, "a"));
        this->world->run(Milliseconds(200));
        this->answered(call);
        for (auto& [node, entry] : this->world->entries)
            entry.storeReachable = true;
        this->world->run(Milliseconds(10000));
        CPPUNIT_ASSERT(!this->world->entries.at(this->e1).core->status().reliesOnPromises);
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
        CPPUNIT_ASSERT(this->world->entries.at(this->e1).core->status().reliesOnPromises);
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
        RecoveryAnswer refusal;
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryFaultsTest);
