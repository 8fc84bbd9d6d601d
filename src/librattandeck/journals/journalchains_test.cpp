#include "Rattandeck/journal.h"
#include "Rattandeck/journalclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };
/// Length of a turn that is under way when the retention of the turn before it ends.
constexpr Milliseconds turnLength { 2500 };

/// Three journals with disks that sync at once, and gateways' clients of them, linked without delay.
class JournalsAndClients {
public:
    JournalsAndClients()
    {
        this->set.epoch = Epoch(1);
        for (const char* name : { "a", "b", "c" })
            this->set.members.push_back({ NodeId(name), std::string(name) + ":1" });
        for (const JournalMember& member : this->set.members)
            this->journals.emplace(member.node, std::make_unique<Node>(*this, member));
        for (const char* name : { "g1", "g2", "g3" }) {
            const NodeId self(name);
            JournalClientLimits limits;
            limits.cacheBytes = 0;
            this->clients[self] = std::make_unique<JournalClient>(
                this->timers, limits, [this, self](const NodeId& to, const Message& message) {
                    if (this->journals.at(to)->isCutOff)
                        return false;
                    this->pending.push_back({ self, to, message });
                    return true;
                });
            this->clients[self]->setMembers(this->set);
        }
    }

    void cutOff(const char* journal) { this->journals.at(NodeId(journal))->isCutOff = true; }
    void reconnect(const char* journal) { this->journals.at(NodeId(journal))->isCutOff = false; }
    Journal& journal(const char* name) { return *this->journals.at(NodeId(name))->journal; }

    void advance(Milliseconds time)
    {
        this->timers.advanceTo(this->timers.now() + time);
        for (auto& [name, node] : this->journals)
            node->journal->expire();
    }

    bool store(const char* gateway, const char* id, const char* previous, const std::string& transcriptBefore)
    {
        std::optional<bool> isStored;
        const RetainedTurn turn { TurnId(id), TurnId(previous), std::string("in-") + id + " ",
            std::string("out-") + id + "\n", retention };
        this->clients.at(NodeId(gateway))->store(turn, transcriptBefore, [&isStored](const auto& outcome) {
            isStored = outcome.has_value();
        });
        this->deliver();
        return isStored.value_or(false);
    }

    std::string fetch(const char* gateway, const char* id)
    {
        std::string text = "(no answer)";
        this->clients.at(NodeId(gateway))->fetch(TurnId(id), [&text](const auto& outcome) {
            text = outcome ? *outcome : std::string(describe(outcome.error()));
        });
        this->deliver();
        return text;
    }

private:
    struct Node : JournalIo {
        Node(JournalsAndClients& world, const JournalMember& self)
            : world(world)
            , self(self.node)
            , journal(std::make_unique<Journal>(world.timers, *this, self, JournalMembershipLimits {}))
        {
            this->journal->start(world.set, { true, world.set.epoch });
        }

        bool send(const NodeId& to, const Message& message) override
        {
            this->world.pending.push_back({ this->self, to, message });
            return true;
        }
        void append(const JournalRecord&) override { }
        std::optional<RetainedTurn> readTurn(const DiskLocation&) override { return std::nullopt; }
        void sync(std::function<void()> onDurable) override { onDurable(); }
        void persistSyncState(const JournalSyncState&) override { }
        void persistSet(const JournalSet&) override { }
        void readSet() override { }
        void writeSet(const JournalSet&) override { }
        void onSetChanged(const JournalSet&) override { }
        void logStep(const std::string&, const std::string&) override { }

        JournalsAndClients& world;
        NodeId self;
        bool isCutOff = false;
        std::unique_ptr<Journal> journal;
    };

    struct Envelope {
        NodeId from;
        NodeId to;
        Message message;
    };

    void deliver()
    {
        while (!this->pending.empty()) {
            const Envelope envelope = std::move(this->pending.front());
            this->pending.pop_front();
            if (const auto journal = this->journals.find(envelope.to); journal != this->journals.end())
                journal->second->journal->onMessage(envelope.from, envelope.message);
            else if (const auto client = this->clients.find(envelope.to); client != this->clients.end())
                client->second->onMessage(envelope.from, envelope.message);
        }
    }

    TimerService timers;
    JournalSet set;
    std::map<NodeId, std::unique_ptr<Node>> journals;
    std::map<NodeId, std::unique_ptr<JournalClient>> clients;
    std::deque<Envelope> pending;
};

}

/// Chains of turns whose beginning is no longer, or not yet, at the journals that store their next turn.
class JournalChainsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalChainsTest);
    CPPUNIT_TEST(chainWhoseBeginningExpiresDuringATurnCanBeContinued);
    CPPUNIT_TEST(turnStoredAtAJournalThatMissedItsChainIsWholeThere);
    CPPUNIT_TEST_SUITE_END();

    JournalsAndClients world;

    /// Guards against review/5: a turn that began within the retention of the turn before it, and ended after that, was
    /// stored without its chain, which no gateway could put together again.
    void chainWhoseBeginningExpiresDuringATurnCanBeContinued()
    {
        CPPUNIT_ASSERT(this->world.store("g1", "1", "", ""));
        this->world.advance(retention - Milliseconds(1000));
        const std::string transcript = this->world.fetch("g2", "1");
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\n"), transcript);
        this->world.advance(turnLength);
        CPPUNIT_ASSERT(this->world.store("g2", "2", "1", transcript));
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\n"), this->world.fetch("g3", "2"));
        // The chain is kept for as long as its last turn.
        this->world.advance(retention - Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\n"), this->world.fetch("g3", "2"));
    }

    /// Guards against the same loss at a journal that missed the beginning of the chain while it was cut off.
    void turnStoredAtAJournalThatMissedItsChainIsWholeThere()
    {
        this->world.cutOff("c");
        CPPUNIT_ASSERT(this->world.store("g1", "1", "", ""));
        this->world.reconnect("c");
        CPPUNIT_ASSERT(this->world.store("g1", "2", "1", "in-1 out-1\n"));
        const auto known = this->world.journal("c").state().transcript(TurnId("2"));
        CPPUNIT_ASSERT(known.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\n"), known->text);
        CPPUNIT_ASSERT(known->missing.value.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalChainsTest);
