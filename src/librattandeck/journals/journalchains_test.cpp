#include "Rattandeck/journal.h"
#include "Rattandeck/journalclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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
            this->journals.emplace(member.node, std::make_unique<Node>(*this, member, true));
        for (const JournalMember& member : this->set.members)
            this->link(member.node);
        for (const char* name : { "g1", "g2", "g3" }) {
            const NodeId self(name);
            JournalClientLimits limits;
            limits.cacheBytes = 0;
            this->clients[self] = std::make_unique<JournalClient>(
                this->timers, limits, [this, self](const NodeId& to, const Message& message) {
                    if (!this->journals.contains(to) || this->journals.at(to)->isCutOff)
                        return false;
                    this->pending.push_back({ self, to, message });
                    return true;
                });
            this->clients[self]->setMembers(this->set);
        }
    }

    /// The journal has an earlier version, which stores turns without their chains and says nothing of it.
    void downgrade(const char* journal) { this->journals.at(NodeId(journal))->isEarlierVersion = true; }

    /// The journal loses its disk and starts again, and copies what the others have.
    void empty(const char* journal)
    {
        const NodeId node(journal);
        this->journals[node] = std::make_unique<Node>(*this, this->memberOf(node), false);
        this->link(node);
    }

    /// The journal restarts with its disk.
    void restart(const char* journal)
    {
        Node& node = *this->journals.at(NodeId(journal));
        node.restart();
        this->link(NodeId(journal));
    }

    /// A journal is replaced by another one, which copies what the others have. Gateways learn that.
    void replace(const char* journal, const char* by)
    {
        this->journals.erase(NodeId(journal));
        this->set.epoch = Epoch(this->set.epoch.value + 1);
        std::erase_if(this->set.members, [journal](const auto& member) { return member.node == NodeId(journal); });
        this->set.members.push_back({ NodeId(by), std::string(by) + ":1" });
        this->set.proposer = NodeId(by);
        this->journals[NodeId(by)] = std::make_unique<Node>(*this, this->set.members.back(), false);
        for (auto& [name, node] : this->journals) {
            if (name != NodeId(by)) {
                node->journal->onLinkDown(NodeId(journal));
                node->journal->onMessage(NodeId(by), this->set);
            }
        }
        for (auto& [name, client] : this->clients) {
            client->onLinkDown(NodeId(journal));
            client->setMembers(this->set);
        }
        this->link(NodeId(by));
    }

    /// Lets journals copy from each other until all are complete.
    void copy()
    {
        for (int steps = 0; steps < 200; ++steps) {
            this->deliver();
            this->timers.advanceTo(this->timers.now() + Milliseconds(50));
        }
        for (const auto& [name, node] : this->journals)
            CPPUNIT_ASSERT(node->journal->isVoting());
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
        Node(JournalsAndClients& world, JournalMember member, bool hasDisk)
            : world(world)
            , self(member.node)
            , member(std::move(member))
            , syncState { hasDisk, hasDisk ? world.set.epoch : Epoch(0) }
        {
            this->start();
        }

        void start()
        {
            JournalIo& io = *this;
            this->journal = std::make_unique<Journal>(this->world.timers, io, this->member, JournalMembershipLimits {});
            for (const JournalRecord& record : this->disk)
                std::visit([this](const auto& each) { this->journal->restore(each); }, record);
            this->journal->start(this->world.set, this->syncState);
        }

        void restart()
        {
            this->journal.reset();
            this->start();
        }

        void receive(const NodeId& from, Message message)
        {
            auto* store = std::get_if<StoreTurn>(&message);
            if (this->isEarlierVersion && store) {
                this->append(store->turn);
                this->journal->restore(store->turn);
                this->send(from, TurnStored { store->ticket, this->world.set.epoch });
                return;
            }
            this->journal->onMessage(from, message);
        }

        bool send(const NodeId& to, const Message& message) override
        {
            if (!this->world.journals.contains(to) && !this->world.clients.contains(to))
                return false;
            this->world.pending.push_back({ this->self, to, message });
            return true;
        }
        void append(const JournalRecord& record) override { this->disk.push_back(record); }
        std::optional<RetainedTurn> readTurn(const DiskLocation&) override { return std::nullopt; }
        void sync(std::function<void()> onDurable) override { onDurable(); }
        void persistSyncState(const JournalSyncState& state) override { this->syncState = state; }
        void persistSet(const JournalSet&) override { }
        void readSet() override { }
        void writeSet(const JournalSet&) override { }
        void onSetChanged(const JournalSet&) override { }
        void logStep(const std::string&, const std::string&) override { }

        JournalsAndClients& world;
        NodeId self;
        JournalMember member;
        std::vector<JournalRecord> disk;
        JournalSyncState syncState;
        bool isCutOff = false;
        bool isEarlierVersion = false;
        std::unique_ptr<Journal> journal;
    };

    struct Envelope {
        NodeId from;
        NodeId to;
        Message message;
    };

    const JournalMember& memberOf(const NodeId& node) const
    {
        return *std::ranges::find_if(this->set.members, [&node](const auto& member) { return member.node == node; });
    }

    void link(const NodeId& node)
    {
        for (auto& [other, known] : this->journals) {
            if (other == node)
                continue;
            known->journal->onLinkDown(node);
            known->journal->onLinkUp(node, Role::Journal);
            this->journals.at(node)->journal->onLinkUp(other, Role::Journal);
        }
    }

    void deliver()
    {
        while (!this->pending.empty()) {
            const Envelope envelope = std::move(this->pending.front());
            this->pending.pop_front();
            if (const auto journal = this->journals.find(envelope.to); journal != this->journals.end())
                journal->second->receive(envelope.from, envelope.message);
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
    CPPUNIT_TEST(chainSurvivesWhatHappensToJournalsDuringATurn);
    CPPUNIT_TEST(chainSurvivesAGatewayThatIsKilledDuringAStore);
    CPPUNIT_TEST(chainSurvivesBesideAJournalOfAnEarlierVersion);
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

    /// A turn goes on near the end of the retention, and something happens to journals while it is under way, or after
    /// it has been stored.
    void chainSurvivesWhatHappensToJournalsDuringATurn()
    {
        using Trouble = std::function<void(JournalsAndClients&)>;
        const Trouble emptied = [](JournalsAndClients& each) { each.empty("b"); };
        const Trouble restarted = [](JournalsAndClients& each) {
            each.restart("a");
            each.restart("c");
        };
        const Trouble replaced = [](JournalsAndClients& each) { each.replace("c", "d"); };
        const Trouble cut = [](JournalsAndClients& each) { each.cutOff("a"); };
        for (const Trouble& trouble : { emptied, restarted, replaced, cut }) {
            for (const bool isDuringTheTurn : { true, false }) {
                JournalsAndClients each;
                CPPUNIT_ASSERT(each.store("g1", "1", "", ""));
                each.advance(retention - Milliseconds(1000));
                const std::string transcript = each.fetch("g2", "1");
                if (isDuringTheTurn)
                    trouble(each);
                each.advance(turnLength);
                CPPUNIT_ASSERT(each.store("g2", "2", "1", transcript));
                if (!isDuringTheTurn)
                    trouble(each);
                each.copy();
                for (int tries = 0; tries < 3; ++tries)
                    CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\n"), each.fetch("g3", "2"));
            }
        }
    }

    /// The gateway is killed when some journals have the turn and others have said that they lack its chain. The turn
    /// was not answered whole, so nothing is promised of it, but what is said of it must be true.
    void chainSurvivesAGatewayThatIsKilledDuringAStore()
    {
        CPPUNIT_ASSERT(this->world.store("g1", "1", "", ""));
        this->world.cutOff("b");
        this->world.cutOff("c");
        CPPUNIT_ASSERT(!this->world.store("g2", "2", "1", "in-1 out-1\n"));
        this->world.reconnect("b");
        this->world.reconnect("c");
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\n"), this->world.fetch("g3", "1"));
        const std::string second = this->world.fetch("g3", "2");
        CPPUNIT_ASSERT(second == "in-1 out-1\nin-2 out-2\n" || second == "no such turn");
    }

    /// During an update journals of both versions run side by side. A turn that one of each has stored can be continued
    /// through any gateway, whichever journal is asked first.
    void chainSurvivesBesideAJournalOfAnEarlierVersion()
    {
        this->world.downgrade("a");
        CPPUNIT_ASSERT(this->world.store("g1", "1", "", ""));
        this->world.advance(retention - Milliseconds(1000));
        const std::string transcript = this->world.fetch("g2", "1");
        this->world.advance(turnLength);
        this->world.cutOff("c");
        CPPUNIT_ASSERT(this->world.store("g2", "2", "1", transcript));
        this->world.reconnect("c");
        for (int tries = 0; tries < 3; ++tries)
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
