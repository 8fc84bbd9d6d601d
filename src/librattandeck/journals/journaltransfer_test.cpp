#include "Rattandeck/journal.h"
#include "Rattandeck/wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };
constexpr Milliseconds step { 50 };

/// Bytes that two members may exchange in one direction when they hold the same records.
constexpr std::size_t maxBytesOfAnEqualPair = 24UL * 1024;
/// Bytes that a record may cost for each member that lacks it and each source, beside its own text.
constexpr std::size_t maxBytesOfADifference = 2048;
/// Bytes for naming a record.
constexpr std::size_t maxBytesOfAName = 24;
/// Bytes of a whole record, requested and sent.
constexpr std::size_t maxBytesOfARecord = 400;

/// Journals with fake disks that sync at once, linked without delay. Counts the coded bytes of all messages.
class Members {
public:
    explicit Members(std::size_t count)
    {
        this->set.epoch = Epoch(1);
        for (std::size_t i = 0; i < count; ++i)
            this->set.members.push_back({ nodeOf(i), nodeOf(i).value + ":1" });
        for (const JournalMember& member : this->set.members)
            this->nodes.emplace(member.node, std::make_unique<Node>(*this, member));
    }

    static NodeId nodeOf(std::size_t index)
    {
        const std::string number = std::to_string(index);
        return NodeId("j" + std::string(2 - std::min<std::size_t>(2, number.size()), '0') + number);
    }

    Journal& at(std::size_t index) { return *this->nodes.at(nodeOf(index))->journal; }

    void start()
    {
        for (auto& [name, node] : this->nodes) {
            node->syncState = { !this->emptied.contains(name), Epoch(this->emptied.contains(name) ? 0 : 1) };
            node->journal->start(this->set, node->syncState);
        }
        for (auto& [name, node] : this->nodes) {
            for (const auto& [other, unused] : this->nodes) {
                if (name != other)
                    node->journal->onLinkUp(other, Role::Journal);
            }
        }
        this->run(step);
    }

    /// The last member has been removed from the set, and stops.
    void removeLast()
    {
        const NodeId removed = this->set.members.back().node;
        this->set.members.pop_back();
        this->set.epoch = Epoch(this->set.epoch.value + 1);
        this->set.proposer = this->set.members.front().node;
        this->nodes.erase(removed);
        for (auto& [name, node] : this->nodes)
            node->journal->onLinkDown(removed);
        for (auto& [name, node] : this->nodes)
            node->journal->onMessage(this->set.proposer, this->set);
    }

    /// The last member has been removed from the set, and stays.
    void retireLast()
    {
        this->set.members.pop_back();
        this->set.epoch = Epoch(this->set.epoch.value + 1);
        this->set.proposer = this->set.members.front().node;
        for (auto& [name, node] : this->nodes)
            node->journal->onMessage(this->set.proposer, this->set);
    }

    bool areAllComplete() const
    {
        return std::ranges::all_of(this->nodes, [this](const auto& entry) {
            const JournalSyncState& state = entry.second->syncState;
            return state.isComplete && state.copiedEpoch == this->set.epoch;
        });
    }

    void runUntilAllAreComplete()
    {
        for (int steps = 0; steps < 1000 && !this->areAllComplete(); ++steps)
            this->run(step);
        CPPUNIT_ASSERT(this->areAllComplete());
    }

    void run(Milliseconds time)
    {
        const TimePoint end = this->timers.now() + time;
        this->deliver();
        this->timers.advanceTo(end);
        this->deliver();
    }

    /// Returns the bytes sent since the last call.
    std::size_t takeBytes() { return std::exchange(this->bytes, 0); }

    TimerService timers;
    JournalSet set;
    /// Members that start with an empty disk: the first ones.
    std::set<NodeId> emptied;
    /// A member that neither sends nor reads the fields with which journals compare their records.
    NodeId earlierVersion;
    std::size_t messages = 0;

private:
    struct Node : JournalIo {
        Node(Members& members, const JournalMember& self)
            : members(members)
            , self(self.node)
        {
            JournalMembershipLimits limits;
            limits.toleratedLosses = 2;
            this->journal = std::make_unique<Journal>(members.timers, *this, self, limits);
        }
        bool send(const NodeId& to, const Message& message) override
        {
            this->members.send(this->self, to, message);
            return true;
        }
        void append(const JournalRecord&) override { }
        std::optional<RetainedTurn> readTurn(const DiskLocation&) override { return std::nullopt; }
        void sync(std::function<void()> onDurable) override { this->members.syncs.push_back(std::move(onDurable)); }
        void persistSyncState(const JournalSyncState& state) override { this->syncState = state; }
        void persistSet(const JournalSet&) override { }
        void readSet() override { }
        void writeSet(const JournalSet&) override { }
        void onSetChanged(const JournalSet&) override { }
        void logStep(const std::string&, const std::string&) override { }

        Members& members;
        NodeId self;
        std::unique_ptr<Journal> journal;
        JournalSyncState syncState;
    };

    struct Sent {
        NodeId from;
        NodeId to;
        std::string coded;
    };

    void send(const NodeId& from, const NodeId& to, Message message)
    {
        auto* request = std::get_if<CopyRequest>(&message);
        if (request && (from == this->earlierVersion || to == this->earlierVersion))
            *request = { request->round, request->cursor };
        this->sent.push_back({ from, to, encode(message) });
        this->bytes += this->sent.back().coded.size();
        ++this->messages;
    }

    void deliver()
    {
        while (!this->sent.empty() || !this->syncs.empty()) {
            for (const auto& onDurable : std::exchange(this->syncs, {}))
                onDurable();
            for (const Sent& each : std::exchange(this->sent, {})) {
                const auto found = this->nodes.find(each.to);
                if (found != this->nodes.end())
                    found->second->journal->onMessage(each.from, *decode(each.coded));
            }
        }
    }

    std::map<NodeId, std::unique_ptr<Node>> nodes;
    std::deque<Sent> sent;
    std::vector<std::function<void()>> syncs;
    std::size_t bytes = 0;
};

RetainedTurn makeTurn(const std::string& id) { return { TurnId(id), {}, "in " + id, "out " + id, retention }; }

SettleClaim makeClaim(const std::string& budget, const std::string& turn, bool isSettled)
{
    return { BudgetId(budget), { TurnId(turn), TokenCount(100), isSettled }, retention };
}

}

/// What journals transfer when they copy each other's records.
class JournalTransferTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalTransferTest);
    CPPUNIT_TEST(equalMembersExchangeNoRecordsAfterAChange);
    CPPUNIT_TEST(membersExchangeOnlyTheirDifferences);
    CPPUNIT_TEST(emptiedMemberReceivesEachRecordOnce);
    CPPUNIT_TEST(memberOfAnEarlierVersionIsCopied);
    CPPUNIT_TEST(expiredRecordsDoNotPreventCopying);
    CPPUNIT_TEST(crashReportsAreCopied);
    CPPUNIT_TEST(retiredMemberWaitsUntilAllHaveItsRecords);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t memberCount = 12;
    static constexpr std::size_t turnCount = 10000;
    static constexpr std::size_t budgetCount = 4000;
    static constexpr std::size_t claimsPerBudget = 5;

    /// The length of the ids that callers get.
    static std::string idOf(const char* kind, std::size_t number)
    {
        constexpr std::size_t idLength = 36;
        const std::string name = kind + std::to_string(number);
        return name + std::string(idLength - name.size(), '-');
    }

    /// Gives each member, except emptied ones, the same turns and claims.
    static void fill(Members& members)
    {
        for (std::size_t i = members.emptied.size(); i < memberCount; ++i) {
            for (std::size_t turn = 0; turn < turnCount; ++turn)
                members.at(i).restore(makeTurn(idOf("turn-", turn)));
            for (std::size_t claim = 0; claim < budgetCount * claimsPerBudget; ++claim)
                members.at(i).restore(
                    makeClaim(idOf("budget-", claim % budgetCount), idOf("turn-", claim), claim % 2 == 0));
        }
    }

    static std::size_t pairCount(const Members& members)
    {
        return members.set.members.size() * (members.set.members.size() - 1);
    }

    void equalMembersExchangeNoRecordsAfterAChange()
    {
        Members members(memberCount);
        fill(members);
        members.start();
        members.takeBytes();
        members.removeLast();
        members.runUntilAllAreComplete();
        CPPUNIT_ASSERT_LESSEQUAL(pairCount(members) * maxBytesOfAnEqualPair, members.takeBytes());
    }

    void membersExchangeOnlyTheirDifferences()
    {
        constexpr std::size_t differences = 20;
        Members members(memberCount);
        fill(members);
        for (std::size_t i = 0; i < differences; ++i) {
            // Three of twelve members hold the turn, and two have the settlement of the claim.
            for (const std::size_t member : { i % 3, i % 3 + 3, i % 3 + 6 })
                members.at(member).restore(makeTurn(idOf("late-", i)));
            for (const std::size_t member : { i % 3, i % 3 + 4 })
                members.at(member).restore(makeClaim(idOf("budget-", i), idOf("turn-", i + budgetCount), true));
        }
        members.start();
        members.takeBytes();
        members.removeLast();
        members.runUntilAllAreComplete();
        const std::size_t bytes = members.takeBytes();
        CPPUNIT_ASSERT_LESSEQUAL(
            pairCount(members) * (maxBytesOfAnEqualPair + 2 * differences * maxBytesOfADifference), bytes);
        for (std::size_t i = 0; i < members.set.members.size(); ++i) {
            const JournalState& state = members.at(i).state();
            for (std::size_t each = 0; each < differences; ++each) {
                CPPUNIT_ASSERT(state.hasTurn(TurnId(idOf("late-", each))));
                CPPUNIT_ASSERT(isSettled(state, each));
            }
        }
    }

    void emptiedMemberReceivesEachRecordOnce()
    {
        Members members(memberCount);
        members.emptied.insert(Members::nodeOf(0));
        fill(members);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), members.at(0).state().turnCount());
        members.takeBytes();
        members.start();
        members.runUntilAllAreComplete();
        CPPUNIT_ASSERT_EQUAL(turnCount, members.at(0).state().turnCount());
        CPPUNIT_ASSERT_EQUAL(budgetCount, members.at(0).state().budgetCount());
        // Each source names its records; the records themselves come once.
        constexpr std::size_t sources = memberCount - 1;
        constexpr std::size_t records = turnCount + budgetCount * claimsPerBudget;
        CPPUNIT_ASSERT_LESSEQUAL(
            sources * (maxBytesOfAnEqualPair + records * maxBytesOfAName) + records * maxBytesOfARecord,
            members.takeBytes());
    }

    void memberOfAnEarlierVersionIsCopied()
    {
        constexpr std::size_t smallSet = 4;
        Members members(smallSet);
        members.earlierVersion = Members::nodeOf(1);
        for (std::size_t i = 0; i < smallSet; ++i) {
            members.at(i).restore(makeTurn(idOf("turn-", i)));
            members.at(i).restore(makeClaim(idOf("budget-", 0), idOf("turn-", i), false));
        }
        members.start();
        members.removeLast();
        members.runUntilAllAreComplete();
        for (std::size_t i = 0; i + 1 < smallSet; ++i) {
            CPPUNIT_ASSERT_EQUAL(smallSet - 1, members.at(i).state().turnCount());
            CPPUNIT_ASSERT_EQUAL(smallSet - 1, members.at(i).state().claims(BudgetId(idOf("budget-", 0))).size());
        }
    }

    void expiredRecordsDoNotPreventCopying()
    {
        constexpr std::size_t smallSet = 4;
        constexpr std::size_t expired = 20000;
        Members members(smallSet);
        // One member still has records, in all buckets, that have expired at the others.
        for (std::size_t i = 0; i < expired; ++i)
            members.at(1).restore(makeTurn(idOf("old-", i)));
        members.at(2).restore(makeTurn("kept"));
        members.start();
        members.removeLast();
        members.runUntilAllAreComplete();
        for (std::size_t i = 0; i + 1 < smallSet; ++i)
            CPPUNIT_ASSERT(members.at(i).state().hasTurn(TurnId("kept")));
    }

    void crashReportsAreCopied()
    {
        Members members(4);
        members.at(1).restore(CrashReports { { { Fingerprint("f"), "e/1", retention } } });
        members.start();
        members.removeLast();
        members.runUntilAllAreComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), members.at(0).state().crashes().size());
    }

    void retiredMemberWaitsUntilAllHaveItsRecords()
    {
        constexpr std::size_t smallSet = 4;
        constexpr std::size_t retired = smallSet - 1;
        Members members(smallSet);
        for (std::size_t i = 0; i < turnCount; ++i)
            members.at(retired).restore(makeTurn(idOf("turn-", i)));
        members.start();
        for (std::size_t i = 0; i < smallSet; ++i)
            members.at(i).setRetiring({ Members::nodeOf(retired) });
        members.retireLast();
        for (int steps = 0; steps < 1000 && !members.at(retired).isRetirementComplete(); ++steps)
            members.run(step);
        CPPUNIT_ASSERT(members.at(retired).isRetirementComplete());
        for (std::size_t i = 0; i < retired; ++i)
            CPPUNIT_ASSERT_EQUAL(turnCount, members.at(i).state().turnCount());
    }

    static bool isSettled(const JournalState& state, std::size_t number)
    {
        const TurnId turn(idOf("turn-", number + budgetCount));
        const auto claims = state.claims(BudgetId(idOf("budget-", number)));
        return std::ranges::any_of(
            claims, [&turn](const TokenClaim& claim) { return claim.turn == turn && claim.isSettled; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTransferTest);
