#include "Rattandeck/journal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };

/// Fake disk, network and store of one journal. The disk syncs when the test calls `finishSync`.
struct FakeJournalIo : JournalIo {
    bool send(const NodeId& to, const Message& message) override
    {
        this->sent.emplace_back(to, message);
        return true;
    }
    void append(const JournalRecord& record) override { this->appended.push_back(record); }
    std::optional<RetainedTurn> readTurn(const DiskLocation& location) override
    {
        if (!this->isReadable)
            return std::nullopt;
        return std::get<RetainedTurn>(this->appended.at(location.offset));
    }
    void sync(std::function<void()> onDurable) override { this->pendingSyncs.push_back(std::move(onDurable)); }
    void persistSyncState(const JournalSyncState& syncState) override { this->persistedSyncState = syncState; }
    void persistSet(const JournalSet& set) override { this->persistedSet = set; }
    void readSet() override { ++this->reads; }
    void writeSet(const JournalSet& set) override { this->written = set; }
    void onSetChanged(const JournalSet& set) override { this->changedSet = set; }
    void logStep(const std::string&, const std::string&) override { }

    void finishOldestSync()
    {
        const auto onDurable = this->pendingSyncs.front();
        this->pendingSyncs.erase(this->pendingSyncs.begin());
        onDurable();
    }

    void finishSync()
    {
        for (const auto& onDurable : std::exchange(this->pendingSyncs, {}))
            onDurable();
    }

    template <typename Kind> std::vector<Kind> sentOfKind() const
    {
        std::vector<Kind> found;
        for (const auto& [to, message] : this->sent) {
            if (const auto* each = std::get_if<Kind>(&message))
                found.push_back(*each);
        }
        return found;
    }

    std::vector<std::pair<NodeId, Message>> sent;
    std::vector<JournalRecord> appended;
    std::vector<std::function<void()>> pendingSyncs;
    JournalSyncState persistedSyncState;
    JournalSet persistedSet;
    JournalSet changedSet;
    JournalSet written;
    int reads = 0;
    bool isReadable = true;
};

}

class JournalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(answerIsSentAfterTheSync);
    CPPUNIT_TEST(duplicateRecordIsAppendedOnce);
    CPPUNIT_TEST(repeatedStoreOfADurableTurnNeedsNoSync);
    CPPUNIT_TEST(repeatedStoreIsAnsweredByTheSyncUnderWay);
    CPPUNIT_TEST(repeatedClaimOfADurableRecordNeedsNoSync);
    CPPUNIT_TEST(changedClaimIsNotDurableBeforeItsOwnSync);
    CPPUNIT_TEST(incompleteJournalStoresRecordsWithoutAcknowledging);
    CPPUNIT_TEST(incompleteJournalReturnsTurnsItHas);
    CPPUNIT_TEST(noTurnIsReportedMissingAfterASetChange);
    CPPUNIT_TEST(crashReportsAreForwardedOnce);
    CPPUNIT_TEST(linkedProcessReceivesSetAndCrashReports);
    CPPUNIT_TEST(retainedRecordsAreRewritten);
    CPPUNIT_TEST(writtenTurnIsReadFromDisk);
    CPPUNIT_TEST(unreadableTurnIsNotReportedMissing);
    CPPUNIT_TEST(expiredTurnIsNamedToTheJournalThatCopiesIt);
    CPPUNIT_TEST(retirementIsCompleteOnlyWhenAllHaveStoredTheRecords);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    FakeJournalIo fakeIo;
    std::unique_ptr<Journal> journal;
    const NodeId gateway { "g" };

    static JournalSet setOfThree()
    {
        JournalSet set;
        set.epoch = Epoch(4);
        for (const char* name : { "a", "b", "c" })
            set.members.push_back({ NodeId(name), std::string(name) + ":1" });
        return set;
    }

    void start(bool isComplete)
    {
        JournalIo& io = this->fakeIo;
        this->journal = std::make_unique<Journal>(
            this->timers, io, JournalMember { NodeId("a"), "a:1" }, JournalMembershipLimits {});
        this->journal->start(setOfThree(), { isComplete, isComplete ? setOfThree().epoch : Epoch(0) });
    }

    static StoreTurn makeStore(std::uint64_t ticket, const std::string& turn)
    {
        return { JournalTicket(ticket), { TurnId(turn), {}, "in", "out", retention } };
    }

    static ClaimTokens makeClaim(std::uint64_t ticket)
    {
        return { JournalTicket(ticket), BudgetId("p"), { TurnId("t"), TokenCount(40), false }, retention };
    }

    void answerIsSentAfterTheSync()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(this->gateway, makeClaim(2));
        CPPUNIT_ASSERT(this->fakeIo.sent.empty());
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<TurnStored>().size());
        const auto claims = this->fakeIo.sentOfKind<ClaimsKnown>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claims.size());
        CPPUNIT_ASSERT(claims.front().epoch == Epoch(4) && claims.front().claims.size() == 1);
    }

    void duplicateRecordIsAppendedOnce()
    {
        this->start(true);
        for (const std::uint64_t ticket : { 1, 2 }) {
            this->journal->onMessage(this->gateway, makeStore(ticket, "t"));
            this->journal->onMessage(this->gateway, makeClaim(ticket));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.appended.size());
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.sentOfKind<TurnStored>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.sentOfKind<ClaimsKnown>().size());
    }

    void repeatedStoreOfADurableTurnNeedsNoSync()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(this->gateway, makeStore(2, "t"));
        CPPUNIT_ASSERT(this->fakeIo.sent.empty());
        this->journal->onWritten(TurnId("t"), { 0, 0, 0 });
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.sentOfKind<TurnStored>().size());
        this->journal->onMessage(this->gateway, makeStore(3, "t"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->fakeIo.sentOfKind<TurnStored>().size());
        CPPUNIT_ASSERT(this->fakeIo.pendingSyncs.empty());
    }

    /// A gateway repeats a store that a slow disk delays; waiting for one more sync would delay it again and again.
    void repeatedStoreIsAnsweredByTheSyncUnderWay()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(this->gateway, makeStore(2, "other"));
        this->journal->onMessage(this->gateway, makeStore(3, "t"));
        this->fakeIo.finishOldestSync();
        const auto stored = this->fakeIo.sentOfKind<TurnStored>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stored.size());
        CPPUNIT_ASSERT(stored.front().ticket == JournalTicket(1) && stored.back().ticket == JournalTicket(3));
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->fakeIo.sentOfKind<TurnStored>().size());
    }

    /// A claim beside others of its program is repeated; on a slow disk, a second sync would use up its time.
    void repeatedClaimOfADurableRecordNeedsNoSync()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeClaim(1));
        this->fakeIo.finishSync();
        this->journal->onMessage(this->gateway, makeStore(2, "other"));
        this->journal->onMessage(this->gateway, makeClaim(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.sentOfKind<ClaimsKnown>().size());
        CPPUNIT_ASSERT(this->fakeIo.sentOfKind<TurnStored>().empty());
    }

    /// A record that was appended again after a sync began is not durable when that sync ends.
    void changedClaimIsNotDurableBeforeItsOwnSync()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeClaim(1));
        const SettleClaim settled { BudgetId("p"), { TurnId("t"), TokenCount(30), true }, retention };
        this->journal->onMessage(this->gateway, settled);
        this->journal->onMessage(this->gateway, makeClaim(2));
        this->fakeIo.finishOldestSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<ClaimsKnown>().size());
        this->fakeIo.finishOldestSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.sentOfKind<ClaimsKnown>().size());
        CPPUNIT_ASSERT(this->fakeIo.pendingSyncs.empty());
    }

    void incompleteJournalStoresRecordsWithoutAcknowledging()
    {
        this->start(false);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(this->gateway, makeClaim(2));
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(3), TurnId("never") });
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->fakeIo.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->fakeIo.sentOfKind<JournalInconclusive>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->fakeIo.appended.size());
    }

    void incompleteJournalReturnsTurnsItHas()
    {
        this->start(false);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(2), TurnId("t") });
        const auto fetched = this->fakeIo.sentOfKind<TurnFetched>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fetched.size());
        CPPUNIT_ASSERT_EQUAL(std::string("inout"), fetched.front().transcript);
    }

    void noTurnIsReportedMissingAfterASetChange()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(1), TurnId("never") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<TurnFetched>().size());
        JournalSet later = setOfThree();
        later.epoch = Epoch(5);
        later.members.pop_back();
        later.proposer = NodeId("b");
        this->journal->onMessage(NodeId("b"), later);
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(2), TurnId("never") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<TurnFetched>().size());
        this->journal->onMessage(this->gateway, makeStore(3, "t"));
        this->fakeIo.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<TurnStored>().size());
    }

    void crashReportsAreForwardedOnce()
    {
        this->start(true);
        this->journal->onLinkUp(NodeId("b"), Role::Journal);
        this->journal->onLinkUp(this->gateway, Role::Gateway);
        this->fakeIo.sent.clear();
        const CrashReports crashes { { { Fingerprint("f"), "e/1", retention } } };
        this->journal->onMessage(this->gateway, crashes);
        this->journal->onMessage(NodeId("b"), crashes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sent.size());
        CPPUNIT_ASSERT(this->fakeIo.sent.front().first == NodeId("b"));
    }

    void linkedProcessReceivesSetAndCrashReports()
    {
        this->start(true);
        this->journal->restore(CrashReports { { { Fingerprint("f"), "e/1", retention } } });
        this->journal->onLinkUp(this->gateway, Role::Gateway);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<JournalSet>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fakeIo.sentOfKind<CrashReports>().size());
    }

    void retainedRecordsAreRewritten()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "old"));
        const std::uint64_t sequence = this->journal->state().lastSequence();
        this->journal->onMessage(this->gateway, makeStore(2, "new"));
        this->fakeIo.appended.clear();
        this->journal->rewriteThrough(sequence);
        CPPUNIT_ASSERT(!this->fakeIo.appended.empty());
        CPPUNIT_ASSERT(std::get<RetainedTurn>(this->fakeIo.appended.front()).id == TurnId("old"));
    }

    void writtenTurnIsReadFromDisk()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        CPPUNIT_ASSERT(this->journal->state().bytesInMemory() > 0);
        this->journal->onWritten(TurnId("t"), DiskLocation { 1, 0, 0 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->journal->state().bytesInMemory());
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(2), TurnId("t") });
        CPPUNIT_ASSERT_EQUAL(std::string("inout"), this->fakeIo.sentOfKind<TurnFetched>().front().transcript);
    }

    void unreadableTurnIsNotReportedMissing()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onWritten(TurnId("t"), DiskLocation { 1, 0, 0 });
        this->fakeIo.isReadable = false;
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(2), TurnId("t") });
        this->journal->onMessage(NodeId("b"), TurnsRequest { { TurnId("t") } });
        CPPUNIT_ASSERT(this->fakeIo.sentOfKind<TurnFetched>().empty());
        CPPUNIT_ASSERT(this->fakeIo.sentOfKind<TurnsPage>().empty());
        // The answer for a chain that contains the unreadable turn reports that turn as missing, so that the client
        // requests it from the other journals.
        this->journal->onMessage(
            this->gateway, StoreTurn { JournalTicket(3), { TurnId("u"), TurnId("t"), "in2", "out2", retention } });
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(4), TurnId("u") });
        const auto fetched = this->fakeIo.sentOfKind<TurnFetched>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fetched.size());
        CPPUNIT_ASSERT(fetched.front().missing == TurnId("t") && fetched.front().transcript == "in2out2");
    }

    void expiredTurnIsNamedToTheJournalThatCopiesIt()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        this->journal->onMessage(NodeId("b"), TurnsRequest { { TurnId("t"), TurnId("gone") } });
        const auto pages = this->fakeIo.sentOfKind<TurnsPage>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pages.size());
        CPPUNIT_ASSERT(pages.front().turns.size() == 1 && pages.front().turns.front().id == TurnId("t"));
        CPPUNIT_ASSERT(pages.front().expired == std::vector<TurnId> { TurnId("gone") });
    }

    void retirementIsCompleteOnlyWhenAllHaveStoredTheRecords()
    {
        this->start(true);
        this->journal->onMessage(this->gateway, makeStore(1, "t"));
        JournalSet later = setOfThree();
        later.epoch = Epoch(5);
        std::erase_if(later.members, [](const JournalMember& member) { return member.node == NodeId("a"); });
        this->journal->onMessage(NodeId("b"), later);
        CopyRequest compare;
        compare.digests = JournalState().digests();
        CopyRequest confirm;
        confirm.isCopied = true;
        confirm.copiedEpoch = Epoch(4);
        for (const char* member : { "b", "c" }) {
            this->journal->onMessage(NodeId(member), compare);
            this->journal->onMessage(NodeId(member), confirm);
        }
        CPPUNIT_ASSERT(!this->journal->isRetirementComplete());
        confirm.copiedEpoch = Epoch(5);
        this->journal->onMessage(NodeId("b"), confirm);
        CPPUNIT_ASSERT(!this->journal->isRetirementComplete());
        // A member with the same records has nothing to confirm.
        compare.digests = this->journal->state().digests();
        this->journal->onMessage(NodeId("c"), compare);
        CPPUNIT_ASSERT(this->journal->isRetirementComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
