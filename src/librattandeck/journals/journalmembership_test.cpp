#include "Rattandeck/journalmembership.h"

#include "Rattandeck/journalstate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace Rattandeck;

namespace {

constexpr Milliseconds step { 25 };

class FakeCluster;

/// The membership of one journal, with its records and persisted metadata.
class FakeJournal : public JournalMembershipIo {
public:
    FakeJournal(FakeCluster& cluster, std::string name, std::string address);

    void start();
    void stop() { this->membership.reset(); }
    bool isRunning() const { return this->membership != nullptr; }
    bool isVoting() const { return this->isRunning() && this->membership->isVoting(); }

    void readSet() override;
    void writeSet(const JournalSet& set) override;
    bool requestPage(const NodeId& node, const CopyRequest& request) override;
    void sendStanding(const NodeId& to, const JournalStanding& standing) override;
    void persistSyncState(const JournalSyncState& syncState) override { this->persistedSyncState = syncState; }
    void onSetChanged(const JournalSet& set) override;
    void logStep(const std::string&, const std::string&) override { }

    FakeCluster& cluster;
    NodeId node;
    std::string address;
    std::unique_ptr<JournalMembership> membership;
    JournalState state;
    JournalSet persistedSet;
    JournalSyncState persistedSyncState;
};

/// Journals, their links and the store. Messages are delivered with the next step.
class FakeCluster {
public:
    TimerService timers;
    std::map<NodeId, std::unique_ptr<FakeJournal>> journals;
    std::optional<JournalSet> stored;
    bool isStoreUp = true;
    bool arePagesBlocked = false;
    std::set<NodeId> unreachable;
    std::vector<std::function<void()>> tasks;
    JournalMembershipLimits limits;

    FakeJournal& add(const std::string& name, const std::string& address = {})
    {
        auto& journal = this->journals[NodeId(name)];
        journal = std::make_unique<FakeJournal>(*this, name, address.empty() ? name + ":1" : address);
        journal->start();
        return *journal;
    }

    FakeJournal& at(const std::string& name) { return *this->journals.at(NodeId(name)); }

    bool areLinked(const NodeId& one, const NodeId& other) const
    {
        const auto isUp = [this](const NodeId& node) {
            const auto found = this->journals.find(node);
            return found != this->journals.end() && found->second->isRunning() && !this->unreachable.contains(node);
        };
        return one != other && isUp(one) && isUp(other);
    }

    void run(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            this->updateLinks();
            const auto now = std::move(this->tasks);
            this->tasks.clear();
            for (const auto& task : now)
                task();
            this->timers.advanceTo(this->timers.now() + step);
        }
    }

    void cut(const std::string& name) { this->unreachable.insert(NodeId(name)); }
    void heal(const std::string& name) { this->unreachable.erase(NodeId(name)); }

    std::size_t memberCount() const { return this->stored ? this->stored->members.size() : 0; }
    bool hasMember(const std::string& name) const
    {
        return std::ranges::any_of(
            this->stored->members, [&name](const JournalMember& member) { return member.node.value == name; });
    }

private:
    std::set<std::pair<NodeId, NodeId>> links;

    void updateLinks()
    {
        for (const auto& [one, journal] : this->journals) {
            for (const auto& [other, unused] : this->journals) {
                const bool isLinked = this->areLinked(one, other);
                const bool wasLinked = this->links.contains({ one, other });
                if (isLinked == wasLinked)
                    continue;
                if (!isLinked) {
                    this->links.erase({ one, other });
                    if (journal->isRunning())
                        journal->membership->onLinkDown(other);
                    continue;
                }
                this->links.insert({ one, other });
                journal->membership->onLinkUp(other);
                if (this->journals.at(other)->membership->set().epoch.value > 0)
                    journal->membership->onSetReceived(this->journals.at(other)->membership->set());
            }
        }
    }
};

FakeJournal::FakeJournal(FakeCluster& cluster, std::string name, std::string address)
    : cluster(cluster)
    , node(std::move(name))
    , address(std::move(address))
{
}

void FakeJournal::start()
{
    this->membership = std::make_unique<JournalMembership>(
        this->cluster.timers, *this, JournalMember { this->node, this->address }, this->cluster.limits);
    this->membership->start(this->persistedSet, this->persistedSyncState);
}

void FakeJournal::readSet()
{
    this->cluster.tasks.push_back([this] {
        if (!this->isRunning())
            return;
        if (this->cluster.isStoreUp)
            this->membership->onSetRead(this->cluster.stored);
        else
            this->membership->onSetCallFailed();
    });
}

void FakeJournal::writeSet(const JournalSet& set)
{
    this->cluster.tasks.push_back([this, set] {
        if (!this->isRunning())
            return;
        const std::uint64_t expected = this->cluster.stored ? this->cluster.stored->epoch.value + 1 : 1;
        if (!this->cluster.isStoreUp || set.epoch.value != expected)
            return this->membership->onSetCallFailed();
        this->cluster.stored = set;
        this->membership->onSetWritten(set);
    });
}

bool FakeJournal::requestPage(const NodeId& to, const CopyRequest& request)
{
    if (!this->cluster.areLinked(this->node, to) || this->cluster.arePagesBlocked)
        return false;
    this->cluster.tasks.push_back([this, to, request] {
        if (!this->cluster.areLinked(this->node, to))
            return;
        FakeJournal& other = *this->cluster.journals.at(to);
        constexpr std::size_t pageRecords = 2;
        CopyPage page = other.state.page(request.cursor, pageRecords);
        page.round = request.round;
        page.epoch = other.membership->set().epoch;
        if (page.isLast)
            other.membership->onCopiedBy(this->node);
        for (const TurnId& turn : page.turns)
            this->state.apply(*other.state.turn(turn), this->cluster.timers.now());
        for (const SettleClaim& claim : page.claims)
            this->state.apply(claim, this->cluster.timers.now());
        this->membership->onPage(to, page);
    });
    return true;
}

void FakeJournal::sendStanding(const NodeId& to, const JournalStanding& standing)
{
    this->cluster.tasks.push_back([this, to, standing] {
        if (this->cluster.areLinked(this->node, to))
            this->cluster.journals.at(to)->membership->onStanding(this->node, standing);
    });
}

void FakeJournal::onSetChanged(const JournalSet& set)
{
    this->persistedSet = set;
    for (const auto& [other, journal] : this->cluster.journals) {
        if (this->cluster.areLinked(this->node, other))
            this->cluster.tasks.push_back([target = journal.get(), set] {
                if (target->isRunning())
                    target->membership->onSetReceived(set);
            });
    }
}

RetainedTurn makeTurn(const std::string& name)
{
    return { TurnId(name), {}, "in " + name, "out " + name, Milliseconds(60000) };
}

}

class JournalMembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalMembershipTest);
    CPPUNIT_TEST(threeJournalsFormASetAndVote);
    CPPUNIT_TEST(restartedJournalVotesWithoutTheStore);
    CPPUNIT_TEST(wipedJournalCopiesBeforeItVotes);
    CPPUNIT_TEST(wipedJournalNeedsAllOtherMembers);
    CPPUNIT_TEST(fourthJournalJoins);
    CPPUNIT_TEST(joiningJournalReplacesAnUnreachableMember);
    CPPUNIT_TEST(joiningJournalDoesNotVoteBeforeItHasCopied);
    CPPUNIT_TEST(shortOutageDoesNotChangeTheSet);
    CPPUNIT_TEST(unreachableSurplusMemberIsRemoved);
    CPPUNIT_TEST(membersKeepVotingAfterARemoval);
    CPPUNIT_TEST(minimalSetIsNotShrunk);
    CPPUNIT_TEST(removedJournalRejoinsAfterCopying);
    CPPUNIT_TEST(sameNodeAtANewAddressReplacesItself);
    CPPUNIT_TEST(setDoesNotChangeWithoutTheStore);
    CPPUNIT_TEST(retirementCompletesAfterAllMembersHaveCopied);
    CPPUNIT_TEST(oneOfTwoLostMembersOfFiveIsReplaced);
    CPPUNIT_TEST(memberIsNotReplacedBeforeAnEarlierReplacementHasCopiedIt);
    CPPUNIT_TEST(surplusMemberIsNotRemovedBeforeAWipedOneHasCopiedIt);
    CPPUNIT_TEST(retiringMemberIsNotRemovedBeforeAWipedOneHasCopiedIt);
    CPPUNIT_TEST(memberIsReplacedAlthoughAnAddedOneHasNotCopied);
    CPPUNIT_TEST(replacedMemberReturnsForALostOneBeforeItsReplacementHasCopied);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<FakeCluster> cluster;

public:
    void setUp() override
    {
        this->cluster = std::make_unique<FakeCluster>();
        for (const char* name : { "a", "b", "c" })
            this->cluster->add(name);
        this->cluster->run(Milliseconds(3000));
    }

private:
    FakeJournal& at(const char* name) { return this->cluster->at(name); }

    /// Adds a record to the given journals.
    void write(const std::string& name, const std::vector<std::string>& journals)
    {
        for (const std::string& journal : journals)
            this->cluster->at(journal).state.apply(makeTurn(name), this->cluster->timers.now());
    }

    bool has(const char* journal, const char* record)
    {
        return this->at(journal).state.transcript(TurnId(record)).has_value();
    }

    void wipe(const char* name)
    {
        const std::string address = this->at(name).address;
        this->at(name).stop();
        this->cluster->run(Milliseconds(100));
        this->cluster->journals.erase(NodeId(name));
        this->cluster->add(name, address);
    }

    void threeJournalsFormASetAndVote()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        for (const char* name : { "a", "b", "c" })
            CPPUNIT_ASSERT(this->at(name).isVoting());
    }

    void restartedJournalVotesWithoutTheStore()
    {
        this->cluster->isStoreUp = false;
        this->at("a").stop();
        this->cluster->run(Milliseconds(100));
        this->at("a").start();
        CPPUNIT_ASSERT(this->at("a").isVoting());
    }

    void wipedJournalCopiesBeforeItVotes()
    {
        this->write("1", { "a", "b" });
        this->write("2", { "b", "c" });
        this->cluster->arePagesBlocked = true;
        this->wipe("b");
        this->cluster->run(Milliseconds(2000));
        CPPUNIT_ASSERT(!this->at("b").isVoting());
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(2000));
        CPPUNIT_ASSERT(this->at("b").isVoting());
        CPPUNIT_ASSERT(this->has("b", "1") && this->has("b", "2"));
    }

    void wipedJournalNeedsAllOtherMembers()
    {
        this->write("1", { "a", "b" });
        this->at("a").stop();
        this->wipe("b");
        this->cluster->run(Milliseconds(10000));
        // The only other copy of the record is on a journal that is stopped.
        CPPUNIT_ASSERT(!this->at("b").isVoting());
        this->at("a").start();
        this->cluster->run(Milliseconds(2000));
        CPPUNIT_ASSERT(this->at("b").isVoting() && this->has("b", "1"));
    }

    void fourthJournalJoins()
    {
        this->write("1", { "a", "b" });
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->cluster->memberCount());
        CPPUNIT_ASSERT(this->at("d").isVoting() && this->has("d", "1"));
    }

    void joiningJournalReplacesAnUnreachableMember()
    {
        this->write("1", { "a", "c" });
        this->write("2", { "b", "c" });
        this->at("c").stop();
        this->cluster->run(Milliseconds(500));
        this->cluster->add("d");
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        CPPUNIT_ASSERT(!this->cluster->hasMember("c"));
        CPPUNIT_ASSERT(this->at("d").isVoting());
        CPPUNIT_ASSERT(this->has("d", "1") && this->has("d", "2"));
    }

    void joiningJournalDoesNotVoteBeforeItHasCopied()
    {
        this->at("c").stop();
        this->cluster->run(Milliseconds(500));
        this->cluster->arePagesBlocked = true;
        this->cluster->add("d");
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT(this->cluster->hasMember("d"));
        CPPUNIT_ASSERT(!this->at("d").isVoting());
        this->write("late", { "a", "c" });
        // The journal must remain non-voting after a restart, too.
        this->at("d").stop();
        this->cluster->run(Milliseconds(100));
        this->at("d").start();
        CPPUNIT_ASSERT(!this->at("d").isVoting());
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(2000));
        CPPUNIT_ASSERT(this->at("d").isVoting() && this->has("d", "late"));
    }

    void shortOutageDoesNotChangeTheSet()
    {
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        const Epoch before = this->cluster->stored->epoch;
        this->cluster->cut("c");
        this->cluster->run(Milliseconds(3000));
        this->cluster->heal("c");
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT(before == this->cluster->stored->epoch);
    }

    void unreachableSurplusMemberIsRemoved()
    {
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        this->write("1", { "b", "c" });
        this->at("c").stop();
        this->cluster->run(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        for (const char* name : { "a", "b", "d" })
            CPPUNIT_ASSERT(this->at(name).isVoting());
        CPPUNIT_ASSERT(this->has("a", "1"));
    }

    void membersKeepVotingAfterARemoval()
    {
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        for (const char* name : { "a", "b", "c", "d" })
            CPPUNIT_ASSERT(this->at(name).membership->canConfirmAbsence());
        this->write("1", { "c", "d" });
        this->cluster->arePagesBlocked = true;
        this->at("d").stop();
        this->cluster->run(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        // The only remaining copy is on c: a and b must not report the record as missing before they have copied c.
        for (const char* name : { "a", "b", "c" }) {
            CPPUNIT_ASSERT(this->at(name).isVoting());
            CPPUNIT_ASSERT(!this->at(name).membership->canConfirmAbsence());
        }
        // The restriction must survive a restart.
        this->at("a").stop();
        this->cluster->run(Milliseconds(100));
        this->at("a").start();
        CPPUNIT_ASSERT(this->at("a").isVoting() && !this->at("a").membership->canConfirmAbsence());
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        for (const char* name : { "a", "b", "c" })
            CPPUNIT_ASSERT(this->at(name).membership->canConfirmAbsence() && this->has(name, "1"));
    }

    void minimalSetIsNotShrunk()
    {
        this->at("c").stop();
        this->cluster->run(Milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        CPPUNIT_ASSERT(this->at("a").isVoting() && this->at("b").isVoting());
    }

    void removedJournalRejoinsAfterCopying()
    {
        this->cluster->cut("c");
        this->cluster->run(Milliseconds(500));
        this->cluster->add("d");
        this->cluster->run(Milliseconds(4500));
        this->write("1", { "a", "d" });
        this->cluster->heal("c");
        this->cluster->run(Milliseconds(4000));
        CPPUNIT_ASSERT(this->cluster->hasMember("c"));
        CPPUNIT_ASSERT(this->at("c").isVoting() && this->has("c", "1"));
    }

    void sameNodeAtANewAddressReplacesItself()
    {
        this->write("1", { "a", "b" });
        this->at("a").stop();
        this->cluster->run(Milliseconds(200));
        this->cluster->journals.erase(NodeId("a"));
        this->cluster->add("a", "elsewhere:1");
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->cluster->memberCount());
        CPPUNIT_ASSERT(this->at("a").isVoting() && this->has("a", "1"));
        CPPUNIT_ASSERT_EQUAL(std::string("elsewhere:1"), this->cluster->stored->members.back().address);
    }

    void setDoesNotChangeWithoutTheStore()
    {
        this->cluster->isStoreUp = false;
        this->cluster->add("d");
        this->cluster->run(Milliseconds(5000));
        CPPUNIT_ASSERT(!this->at("d").isVoting());
        for (const char* name : { "a", "b", "c" })
            CPPUNIT_ASSERT(this->at(name).isVoting());
        this->cluster->isStoreUp = true;
        this->cluster->run(Milliseconds(4000));
        CPPUNIT_ASSERT(this->at("d").isVoting());
    }

    void retirementCompletesAfterAllMembersHaveCopied()
    {
        this->write("1", { "a", "c" });
        this->cluster->arePagesBlocked = true;
        for (const char* name : { "a", "b", "c" })
            this->at(name).membership->setRetiring({ NodeId("c") });
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT(!this->at("c").membership->isRetirementComplete());
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->cluster->memberCount());
        CPPUNIT_ASSERT(this->at("c").membership->isRetirementComplete());
        CPPUNIT_ASSERT(this->has("a", "1") && this->has("b", "1"));
        CPPUNIT_ASSERT(this->at("a").isVoting() && this->at("b").isVoting());
    }

    void oneOfTwoLostMembersOfFiveIsReplaced()
    {
        this->cluster = std::make_unique<FakeCluster>();
        this->cluster->limits.toleratedLosses = 2;
        for (const char* name : { "a", "b", "c", "d", "e" })
            this->cluster->add(name);
        this->cluster->run(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->cluster->memberCount());
        this->write("1", { "a", "d", "e" });
        this->at("d").stop();
        this->at("e").stop();
        this->cluster->run(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->cluster->memberCount());
        this->cluster->add("f");
        this->cluster->run(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->cluster->memberCount());
        CPPUNIT_ASSERT(this->cluster->hasMember("f") && this->has("f", "1"));
        // It votes only after it has copied all other members, including the one that is still stopped.
        CPPUNIT_ASSERT(!this->at("f").isVoting());
        this->at("d").start();
        this->at("e").start();
        this->cluster->run(Milliseconds(5000));
        CPPUNIT_ASSERT(this->at("f").isVoting());
    }

    void memberIsNotReplacedBeforeAnEarlierReplacementHasCopiedIt()
    {
        this->write("1", { "b", "c" });
        this->at("c").stop();
        this->cluster->arePagesBlocked = true;
        this->cluster->add("d");
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT(!this->cluster->hasMember("c") && this->cluster->hasMember("d"));
        // The only reachable copy is on b.
        this->cluster->cut("b");
        this->cluster->add("e");
        this->cluster->run(Milliseconds(8000));
        CPPUNIT_ASSERT(this->cluster->hasMember("b"));
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        for (const char* name : { "a", "d", "e" })
            CPPUNIT_ASSERT(!this->at(name).membership->canConfirmAbsence());
        this->cluster->heal("b");
        this->cluster->run(Milliseconds(10000));
        for (const char* name : { "a", "b", "d", "e" })
            CPPUNIT_ASSERT(this->at(name).membership->canConfirmAbsence() && this->has(name, "1"));
    }

    /// Adds d, and then wipes c while it can't copy.
    void loseDiskOfOneOfFour()
    {
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        this->write("1", { "c", "d" });
        this->cluster->arePagesBlocked = true;
        this->wipe("c");
        this->cluster->run(Milliseconds(500));
    }

    void surplusMemberIsNotRemovedBeforeAWipedOneHasCopiedIt()
    {
        this->loseDiskOfOneOfFour();
        this->cluster->cut("d");
        this->cluster->run(Milliseconds(8000));
        CPPUNIT_ASSERT(this->cluster->hasMember("d"));
        this->cluster->heal("d");
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        CPPUNIT_ASSERT(this->at("c").isVoting() && this->has("c", "1"));
    }

    void retiringMemberIsNotRemovedBeforeAWipedOneHasCopiedIt()
    {
        this->loseDiskOfOneOfFour();
        for (const char* name : { "a", "b", "c", "d" })
            this->at(name).membership->setRetiring({ NodeId("d") });
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT(this->cluster->hasMember("d"));
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        CPPUNIT_ASSERT(!this->cluster->hasMember("d") && this->has("c", "1"));
    }

    void replacedMemberReturnsForALostOneBeforeItsReplacementHasCopied()
    {
        this->write("1", { "b", "c" });
        this->at("c").stop();
        this->cluster->arePagesBlocked = true;
        this->cluster->add("d");
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT(!this->cluster->hasMember("c") && this->cluster->hasMember("d"));
        this->at("b").stop();
        // What d knows must survive a restart.
        this->at("d").stop();
        this->cluster->run(Milliseconds(100));
        this->at("d").start();
        this->at("c").start();
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT(!this->cluster->hasMember("b") && this->cluster->hasMember("c"));
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        for (const char* name : { "a", "c", "d" })
            CPPUNIT_ASSERT(this->at(name).membership->canConfirmAbsence() && this->has(name, "1"));
    }

    void memberIsReplacedAlthoughAnAddedOneHasNotCopied()
    {
        this->write("1", { "b", "c" });
        this->cluster->arePagesBlocked = true;
        this->cluster->add("d");
        this->cluster->run(Milliseconds(3000));
        CPPUNIT_ASSERT(this->cluster->hasMember("d") && !this->at("d").isVoting());
        this->at("d").stop();
        this->cluster->run(Milliseconds(100));
        this->at("d").start();
        this->at("c").stop();
        this->cluster->add("e");
        this->cluster->run(Milliseconds(4500));
        CPPUNIT_ASSERT(!this->cluster->hasMember("c"));
        this->cluster->arePagesBlocked = false;
        this->cluster->run(Milliseconds(10000));
        for (const char* name : { "a", "b", "d", "e" })
            CPPUNIT_ASSERT(this->at(name).membership->canConfirmAbsence() && this->has(name, "1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalMembershipTest);
