#include "entryworld_test.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;
using namespace Rattandeck::EntryWorld;

/// Normal operation of entries, including refused requests and planned stops.
class EntryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryTest);
    CPPUNIT_TEST(entriesStartedTogetherShareTheShards);
    CPPUNIT_TEST(entryThatJoinsLaterReceivesShards);
    CPPUNIT_TEST(shardsAreBalancedAndThenStayInPlace);
    CPPUNIT_TEST(programRunsItsTurnsInOrder);
    CPPUNIT_TEST(requestAtAnotherEntryIsForwarded);
    CPPUNIT_TEST(repeatedTurnGetsTheStoredAnswer);
    CPPUNIT_TEST(keyedCallSentToTwoEntriesRunsOnce);
    CPPUNIT_TEST(reusedKeyIsRefused);
    CPPUNIT_TEST(budgetIsSharedWithSubAgents);
    CPPUNIT_TEST(wrongHeadIsRefused);
    CPPUNIT_TEST(endOfAProgramReleasesEngineMemory);
    CPPUNIT_TEST(callWithoutCreditIsRefusedWithRetryAfter);
    CPPUNIT_TEST(leavingSidecarReceivesNoOrders);
    CPPUNIT_TEST(plannedStopTransfersThePrograms);
    CPPUNIT_TEST(configurationNeverReverts);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<World> world;

    void start()
    {
        this->world = std::make_unique<World>();
        this->world->addEntry("e1", "d1");
        this->world->addEntry("e2", "d2");
        this->world->addSidecar("s1", "d1");
        this->world->addSidecar("s2", "d2");
        this->world->run(Milliseconds(8000));
    }

    static CallerRequest keyed(const std::string& key, const std::string& input)
    {
        CallerRequest request = World::callOf({}, input);
        request.service = ServiceName("llm");
        request.key = IdempotencyKey(key);
        request.idempotent = false;
        return request;
    }

    std::uint32_t startsOf(const ProgramId& program)
    {
        std::uint32_t starts = 0;
        for (const auto& [node, sidecar] : this->world->sidecars) {
            const auto found = sidecar.starts.find(program);
            starts += found == sidecar.starts.end() ? 0 : found->second;
        }
        return starts;
    }

    void entriesStartedTogetherShareTheShards()
    {
        this->start();
        const std::uint32_t first = this->world->ownedShardCount(NodeId("e1"));
        const std::uint32_t second = this->world->ownedShardCount(NodeId("e2"));
        CPPUNIT_ASSERT_EQUAL(4U, first + second);
        CPPUNIT_ASSERT(first > 0);
        CPPUNIT_ASSERT(second > 0);
    }

    void entryThatJoinsLaterReceivesShards()
    {
        this->start();
        this->world->addEntry("e3", "d3");
        this->world->run(Milliseconds(20000));
        CPPUNIT_ASSERT(this->world->ownedShardCount(NodeId("e3")) > 0);
        CPPUNIT_ASSERT_EQUAL(4U,
            this->world->ownedShardCount(NodeId("e1")) + this->world->ownedShardCount(NodeId("e2"))
                + this->world->ownedShardCount(NodeId("e3")));
    }

    void shardsAreBalancedAndThenStayInPlace()
    {
        this->checkShardBalance(Milliseconds(1));
        this->checkShardBalance(Milliseconds(2000));
    }

    void checkShardBalance(Milliseconds startInterval)
    {
        constexpr std::uint32_t shards = 64;
        constexpr std::uint32_t entries = 6;
        this->world = std::make_unique<World>(shards);
        for (std::uint32_t i = 0; i < entries; ++i) {
            this->world->addEntry("e" + std::to_string(i), "d" + std::to_string(i % 3));
            this->world->run(startInterval);
        }
        for (int i = 0; i < 12; ++i)
            this->world->addSidecar("s" + std::to_string(i), "d" + std::to_string(i % 3));
        this->world->run(Milliseconds(60000));
        for (const auto& [node, entry] : this->world->entries) {
            CPPUNIT_ASSERT_MESSAGE(node.value, this->world->ownedShardCount(node) >= shards / entries);
            CPPUNIT_ASSERT_MESSAGE(node.value, this->world->ownedShardCount(node) <= shards / entries + 1);
        }
        const std::uint64_t before = this->world->store.revision;
        this->world->run(Milliseconds(30000));
        // Each entry renews its lease of 6 s every 2 s. More writes would mean that shards are still being handed over.
        CPPUNIT_ASSERT(this->world->store.revision - before <= entries * 16);
    }

    void programRunsItsTurnsInOrder()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        CPPUNIT_ASSERT(opened.program.serial != 0);
        const CallerTicket first = this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "a"));
        const CallerTicket second = this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "b"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->done(first));
        CPPUNIT_ASSERT(this->world->done(second));
        CPPUNIT_ASSERT_EQUAL(std::string("<a>"), this->world->done(first)->output);
        CPPUNIT_ASSERT_EQUAL(1U, this->world->done(first)->turn.value);
        CPPUNIT_ASSERT_EQUAL(2U, this->world->done(second)->turn.value);
        const Digest head = chainDigest(this->world->done(first)->head, TurnNumber(2), "b", "<b>");
        CPPUNIT_ASSERT(head == this->world->done(second)->head);
    }

    void requestAtAnotherEntryIsForwarded()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        const CallerTicket ticket = this->world->sendRequest(NodeId("e2"), World::callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->done(ticket));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->world->events[ticket].size());
    }

    void repeatedTurnGetsTheStoredAnswer()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        CallerRequest call = World::callOf(opened.program, "a");
        call.turn = TurnNumber(1);
        const CallerTicket first = this->world->sendRequest(NodeId("e1"), call);
        const CallerTicket joined = this->world->sendRequest(NodeId("e2"), call);
        this->world->run(Milliseconds(100));
        const CallerTicket repeated = this->world->sendRequest(NodeId("e2"), call);
        call.input = "other";
        const CallerTicket other = this->world->sendRequest(NodeId("e1"), call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->done(first)->head == this->world->done(joined)->head);
        CPPUNIT_ASSERT(this->world->done(first)->head == this->world->done(repeated)->head);
        CPPUNIT_ASSERT(this->world->problem(other)->kind == ProblemKind::OutOfOrder);
        CPPUNIT_ASSERT_EQUAL(1U, this->startsOf(opened.program));
    }

    void keyedCallSentToTwoEntriesRunsOnce()
    {
        this->start();
        const CallerTicket first = this->world->sendRequest(NodeId("e1"), keyed("k", "invoice"));
        const CallerTicket second = this->world->sendRequest(NodeId("e2"), keyed("k", "invoice"));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT(this->world->done(first));
        CPPUNIT_ASSERT(this->world->done(second));
        CPPUNIT_ASSERT_EQUAL(1U, this->startsOf(this->world->done(first)->program));
    }

    void reusedKeyIsRefused()
    {
        this->start();
        this->world->sendRequest(NodeId("e1"), keyed("k", "invoice"));
        this->world->run(Milliseconds(200));
        const CallerTicket other = this->world->sendRequest(NodeId("e2"), keyed("k", "another invoice"));
        this->world->run(Milliseconds(200));
        CPPUNIT_ASSERT(this->world->problem(other));
        CPPUNIT_ASSERT(this->world->problem(other)->kind == ProblemKind::KeyReused);
    }

    void budgetIsSharedWithSubAgents()
    {
        this->start();
        const AnswerDone root = this->world->open(NodeId("e1"), 20);
        CallerRequest opening;
        opening.kind = CallKind::OpenProgram;
        opening.program = root.program;
        const CallerTicket ticket = this->world->sendRequest(NodeId("e1"), opening);
        this->world->run(Milliseconds(50));
        CPPUNIT_ASSERT(this->world->done(ticket));
        const ProgramId child = this->world->done(ticket)->program;
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.answers = false;
        // Each call reserves 11 tokens of 20.
        const CallerTicket first = this->world->sendRequest(NodeId("e1"), World::callOf(root.program, "a"));
        const CallerTicket second = this->world->sendRequest(NodeId("e1"), World::callOf(child, "a"));
        this->world->run(Milliseconds(50));
        CPPUNIT_ASSERT(!this->world->finalEvent(first));
        CPPUNIT_ASSERT(this->world->problem(second));
        CPPUNIT_ASSERT(this->world->problem(second)->kind == ProblemKind::BudgetExceeded);
        CPPUNIT_ASSERT(this->world->problem(second)->ran == Ran::No);
    }

    void wrongHeadIsRefused()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        CallerRequest call = World::callOf(opened.program, "a");
        call.head = Digest("feed");
        const CallerTicket ticket = this->world->sendRequest(NodeId("e1"), call);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->problem(ticket));
        CPPUNIT_ASSERT(this->world->problem(ticket)->kind == ProblemKind::HistoryMismatch);
    }

    void endOfAProgramReleasesEngineMemory()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "a"));
        this->world->run(Milliseconds(100));
        CallerRequest end;
        end.kind = CallKind::EndProgram;
        end.program = opened.program;
        const CallerTicket ended = this->world->sendRequest(NodeId("e1"), end);
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->done(ended));
        std::size_t holders = 0;
        std::size_t notified = 0;
        for (const auto& [node, sidecar] : this->world->sidecars) {
            holders += sidecar.headers.count(opened.program);
            notified += sidecar.headers.count(opened.program) * sidecar.ended.count(opened.program);
        }
        CPPUNIT_ASSERT(holders > 0);
        CPPUNIT_ASSERT_EQUAL(holders, notified);
        const CallerTicket late = this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "b"));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->world->problem(late)->kind == ProblemKind::ProgramEnded);
    }

    void callWithoutCreditIsRefusedWithRetryAfter()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.creditCount = 0;
        this->world->run(Milliseconds(4000));
        const CallerTicket ticket = this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "a"));
        this->world->run(Milliseconds(2100));
        CPPUNIT_ASSERT(this->world->problem(ticket));
        CPPUNIT_ASSERT(this->world->problem(ticket)->kind == ProblemKind::Overloaded);
        CPPUNIT_ASSERT(this->world->problem(ticket)->ran == Ran::No);
        CPPUNIT_ASSERT(this->world->problem(ticket)->retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(0U, this->startsOf(opened.program));
    }

    void leavingSidecarReceivesNoOrders()
    {
        this->start();
        const NodeId s1("s1");
        ListedInstance leaving;
        leaving.node = s1;
        leaving.leaving = true;
        for (auto& [node, entry] : this->world->entries)
            entry.core->onInstanceList({ leaving });
        const std::size_t before = this->world->sidecars.at(s1).orders.size();
        for (int i = 0; i < 8; ++i) {
            const AnswerDone opened = this->world->open(NodeId("e1"));
            const CallerTicket ticket = this->world->sendRequest(NodeId("e1"), World::callOf(opened.program, "a"));
            this->world->run(Milliseconds(500));
            CPPUNIT_ASSERT(this->world->done(ticket));
        }
        CPPUNIT_ASSERT_EQUAL(before, this->world->sidecars.at(s1).orders.size());
    }

    void plannedStopTransfersThePrograms()
    {
        this->start();
        const AnswerDone opened = this->world->open(NodeId("e1"));
        CallerRequest call = World::callOf(opened.program, "a");
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.answers = false;
        const CallerTicket running = this->world->sendRequest(NodeId("e1"), call);
        this->world->run(Milliseconds(100));
        EntryCore& leaving = *this->world->entries.at(NodeId("e1")).core;
        leaving.beginShutdown();
        const CallerTicket refused = this->world->sendRequest(NodeId("e1"), call);
        this->world->run(Milliseconds(1000));
        CPPUNIT_ASSERT(this->world->problem(refused)->kind == ProblemKind::ShuttingDown);
        CPPUNIT_ASSERT(!leaving.isDrained());
        for (auto& [node, sidecar] : this->world->sidecars) {
            sidecar.answers = true;
            if (!sidecar.open.empty())
                this->world->finish(node, sidecar.open.begin()->first);
        }
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->world->done(running));
        this->world->run(Milliseconds(6000));
        CPPUNIT_ASSERT(leaving.isDrained());
        this->world->kill(NodeId("e1"));
        this->world->run(Milliseconds(3000));
        call.input = "b";
        call.head = this->world->done(running)->head;
        const CallerTicket next = this->world->sendRequest(NodeId("e2"), call);
        this->world->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->world->done(next));
        CPPUNIT_ASSERT_EQUAL(2U, this->world->done(next)->turn.value);
    }

    void configurationNeverReverts()
    {
        this->start();
        EntryCore& entry = *this->world->entries.at(NodeId("e1")).core;
        const ObjectKey key { "policy", "p" };
        entry.onObjectChanged({ key, ObjectVersion(90), false, R"({"admit":true})" }, ObjectVersion(90));
        entry.onObjectChanged({ key, ObjectVersion(95), true, "" }, ObjectVersion(95));
        entry.onObjectChanged({ key, ObjectVersion(90), false, R"({"admit":true})" }, ObjectVersion(90));
        this->world->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(95), entry.status().configRevision.value);
        // The peer received the object over the link, not from the store.
        const EntryCore& peer = *this->world->entries.at(NodeId("e2")).core;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(95), peer.status().configRevision.value);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);
