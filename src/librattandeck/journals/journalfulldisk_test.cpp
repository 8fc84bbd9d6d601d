#include "Rattandeck/journal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };

/// A disk that syncs when the test says so, and the messages of one journal.
struct FullDiskIo : JournalIo {
    bool send(const NodeId& to, const Message& message) override
    {
        this->sent.emplace_back(to, message);
        return true;
    }
    void append(const JournalRecord& record) override { this->appended.push_back(record); }
    std::optional<RetainedTurn> readTurn(const DiskLocation&) override { return std::nullopt; }
    void sync(std::function<void()> onDurable) override { this->pendingSyncs.push_back(std::move(onDurable)); }
    void persistSyncState(const JournalSyncState&) override { }
    void persistSet(const JournalSet&) override { }
    void readSet() override { }
    void writeSet(const JournalSet& set) override { this->written.push_back(set); }
    void onSetChanged(const JournalSet&) override { }
    void logStep(const std::string&, const std::string&) override { }

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
    std::vector<JournalSet> written;
};

}

/// A journal whose disk refuses records for a while.
class JournalFullDiskTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalFullDiskTest);
    CPPUNIT_TEST(nothingNewIsAcknowledgedOrTaken);
    CPPUNIT_TEST(whatIsOnDiskIsAcknowledgedAgain);
    CPPUNIT_TEST(whatIsNotOnDiskYetIsNotAcknowledged);
    CPPUNIT_TEST(turnsAreReadAndReportedMissing);
    CPPUNIT_TEST(recordsAreTakenAgainWithoutARestart);
    CPPUNIT_TEST(refusedRecordsTakeNoMemory);
    CPPUNIT_TEST(otherJournalsAreTold);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    FullDiskIo io;
    std::unique_ptr<Journal> journal;
    const NodeId gateway { "g" };

public:
    void setUp() override
    {
        JournalSet set;
        set.epoch = Epoch(4);
        for (const char* name : { "a", "b", "c" })
            set.members.push_back({ NodeId(name), std::string(name) + ":1" });
        JournalIo& journalIo = this->io;
        this->journal = std::make_unique<Journal>(
            this->timers, journalIo, JournalMember { NodeId("a"), "a:1" }, JournalMembershipLimits {});
        this->journal->start(set, { true, set.epoch });
    }

private:
    void store(std::uint64_t ticket, const std::string& turn, const std::string& previous = {})
    {
        this->journal->onMessage(this->gateway,
            StoreTurn { JournalTicket(ticket), { TurnId(turn), TurnId(previous), "in", "out", retention } });
    }
    void claim(std::uint64_t ticket, const std::string& turn)
    {
        this->journal->onMessage(this->gateway,
            ClaimTokens { JournalTicket(ticket), BudgetId("p"), { TurnId(turn), TokenCount(40), false }, retention });
    }
    void settle(const std::string& turn)
    {
        this->journal->onMessage(
            this->gateway, SettleClaim { BudgetId("p"), { TurnId(turn), TokenCount(10), true }, retention });
    }
    std::size_t acknowledgements() const
    {
        return this->io.sentOfKind<TurnStored>().size() + this->io.sentOfKind<ClaimsKnown>().size();
    }

    /// The gateways are told at once, so that they don't wait for this journal.
    void nothingNewIsAcknowledgedOrTaken()
    {
        this->journal->setWritable(false);
        this->store(1, "t");
        this->claim(2, "t");
        this->settle("t");
        this->journal->onMessage(this->gateway, CrashReports { { { Fingerprint("f"), "e/1", retention } } });
        this->io.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->acknowledgements());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->io.sentOfKind<JournalInconclusive>().size());
        CPPUNIT_ASSERT(this->io.appended.empty());
        CPPUNIT_ASSERT(!this->journal->state().hasTurn(TurnId("t")));
    }

    void whatIsOnDiskIsAcknowledgedAgain()
    {
        this->store(1, "t");
        this->claim(2, "t");
        this->io.finishSync();
        this->journal->setWritable(false);
        this->store(3, "t");
        this->claim(4, "t");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->acknowledgements());
        CPPUNIT_ASSERT(this->io.sentOfKind<JournalInconclusive>().empty());
    }

    /// The disk has refused it: the sync that includes it ends when there is room.
    void whatIsNotOnDiskYetIsNotAcknowledged()
    {
        this->store(1, "t");
        this->claim(2, "t");
        this->journal->setWritable(false);
        this->store(3, "t");
        this->claim(4, "t");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->acknowledgements());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->io.sentOfKind<JournalInconclusive>().size());
        this->journal->setWritable(true);
        this->io.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->acknowledgements());
    }

    void turnsAreReadAndReportedMissing()
    {
        this->store(1, "t");
        this->io.finishSync();
        this->journal->setWritable(false);
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(2), TurnId("t") });
        this->journal->onMessage(this->gateway, FetchTurn { JournalTicket(3), TurnId("none") });
        const auto answers = this->io.sentOfKind<TurnFetched>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT(answers[0].isFound && answers[0].transcript == "inout");
        CPPUNIT_ASSERT(!answers[1].isFound);
    }

    void recordsAreTakenAgainWithoutARestart()
    {
        this->journal->setWritable(false);
        this->store(1, "t");
        this->journal->setWritable(true);
        this->store(2, "t");
        this->claim(3, "t");
        this->io.finishSync();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->acknowledgements());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->io.appended.size());
    }

    /// A disk may be full for hours; a journal has 120 MB.
    void refusedRecordsTakeNoMemory()
    {
        this->journal->setWritable(false);
        for (std::uint64_t number = 0; number < 1000; ++number) {
            this->store(number, "t" + std::to_string(number));
            this->claim(number, "t" + std::to_string(number));
            this->settle("t" + std::to_string(number));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->journal->state().turnCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->journal->state().budgetCount());
        CPPUNIT_ASSERT(this->io.pendingSyncs.empty());
    }

    /// So that no other member is given up while this one takes no records.
    void otherJournalsAreTold()
    {
        this->journal->onLinkUp(NodeId("b"), Role::Journal);
        const auto told = [this] { return this->io.sentOfKind<JournalStanding>().back().lacksRecords; };
        CPPUNIT_ASSERT(!told());
        this->journal->setWritable(false);
        CPPUNIT_ASSERT(told());
        this->journal->onLinkUp(NodeId("c"), Role::Journal);
        CPPUNIT_ASSERT(told());
        this->journal->setWritable(true);
        CPPUNIT_ASSERT(!told());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalFullDiskTest);
