#include "Rattandeck/journalstate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };

TimePoint at(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

RetainedTurn turn(const std::string& id, const std::string& previous)
{
    return { TurnId(id), TurnId(previous), "i" + id, "o" + id, retention };
}

SettleClaim claim(const std::string& id, std::int64_t tokens, bool isSettled)
{
    return { BudgetId("p"), { TurnId(id), TokenCount(tokens), isSettled }, retention };
}

}

class JournalStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalStateTest);
    CPPUNIT_TEST(transcriptHoldsTheWholeChain);
    CPPUNIT_TEST(transcriptNamesTheMissingAncestor);
    CPPUNIT_TEST(newTurnExtendsTheRetentionOfItsChain);
    CPPUNIT_TEST(lateClaimDoesNotRevertASettlement);
    CPPUNIT_TEST(budgetExpiresAfterItsRetention);
    CPPUNIT_TEST(pagesContainEachRecordOnce);
    CPPUNIT_TEST(changedBudgetIsCopiedAgain);
    CPPUNIT_TEST(mutualCopyingTerminates);
    CPPUNIT_TEST(expiredRecordsAreNotCompared);
    CPPUNIT_TEST(digestsBuiltLateEqualThoseKept);
    CPPUNIT_TEST(comparisonFindsTheLackingRecords);
    CPPUNIT_TEST_SUITE_END();

    JournalState state;

    void transcriptHoldsTheWholeChain()
    {
        this->state.apply(turn("1", ""), at(0));
        this->state.apply(turn("2", "1"), at(0));
        const auto transcript = this->state.transcript(TurnId("2"));
        CPPUNIT_ASSERT_EQUAL(std::string("i1o1i2o2"), transcript->text);
        CPPUNIT_ASSERT(transcript->missing.value.empty());
        CPPUNIT_ASSERT(!this->state.transcript(TurnId("3")));
    }

    void transcriptNamesTheMissingAncestor()
    {
        this->state.apply(turn("3", "2"), at(0));
        const auto transcript = this->state.transcript(TurnId("3"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), transcript->missing.value);
        CPPUNIT_ASSERT_EQUAL(std::string("i3o3"), transcript->text);
    }

    void newTurnExtendsTheRetentionOfItsChain()
    {
        this->state.apply(turn("1", ""), at(0));
        this->state.apply(turn("other", ""), at(0));
        this->state.apply(turn("2", "1"), at(50));
        this->state.expire(at(61));
        CPPUNIT_ASSERT(!this->state.transcript(TurnId("other")));
        CPPUNIT_ASSERT_EQUAL(std::string("i1o1i2o2"), this->state.transcript(TurnId("2"))->text);
        this->state.expire(at(111));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->state.turnCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->state.bytes());
    }

    void lateClaimDoesNotRevertASettlement()
    {
        CPPUNIT_ASSERT(this->state.apply(claim("1", 10, true), at(0)));
        CPPUNIT_ASSERT(!this->state.apply(claim("1", 50, false), at(0)));
        const auto claims = this->state.claims(BudgetId("p"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claims.size());
        CPPUNIT_ASSERT(claims.front().isSettled && claims.front().tokens == TokenCount(10));
    }

    void budgetExpiresAfterItsRetention()
    {
        this->state.apply(claim("1", 10, true), at(0));
        this->state.apply(claim("2", 10, true), at(40));
        this->state.expire(at(90));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->state.claims(BudgetId("p")).size());
        this->state.expire(at(101));
        CPPUNIT_ASSERT(this->state.claims(BudgetId("p")).empty());
    }

    static std::size_t copy(const JournalState& from, JournalState& to, std::uint64_t& cursor)
    {
        std::size_t records = 0;
        while (true) {
            constexpr std::size_t pageRecords = 2;
            const CopyPage page = from.page(cursor, pageRecords);
            for (const TurnId& each : page.turns)
                to.apply(*from.turn(each), at(0));
            for (const SettleClaim& each : page.claims)
                to.apply(each, at(0));
            records += page.turns.size() + page.claims.size();
            cursor = page.cursor;
            if (page.isLast)
                return records;
        }
    }

    void pagesContainEachRecordOnce()
    {
        for (const char* id : { "1", "2", "3" }) {
            this->state.apply(turn(id, ""), at(0));
            this->state.apply(claim(id, 10, false), at(0));
        }
        JournalState other;
        std::uint64_t cursor = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), copy(this->state, other, cursor));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), other.turnCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), other.claims(BudgetId("p")).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), copy(this->state, other, cursor));
    }

    void changedBudgetIsCopiedAgain()
    {
        this->state.apply(claim("1", 10, false), at(0));
        JournalState other;
        std::uint64_t cursor = 0;
        copy(this->state, other, cursor);
        this->state.apply(claim("1", 5, true), at(0));
        copy(this->state, other, cursor);
        CPPUNIT_ASSERT(other.claims(BudgetId("p")).front().isSettled);
    }

    void mutualCopyingTerminates()
    {
        JournalState other;
        this->state.apply(claim("1", 10, false), at(0));
        other.apply(claim("2", 10, false), at(0));
        std::uint64_t cursorOfOther = 0;
        std::uint64_t cursorOfState = 0;
        for (int round = 0; round < 2; ++round) {
            copy(this->state, other, cursorOfState);
            copy(other, this->state, cursorOfOther);
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(0), copy(this->state, other, cursorOfState) + copy(other, this->state, cursorOfOther));
    }

    void addRecords(JournalState& to)
    {
        to.apply(turn("1", ""), at(0));
        to.apply(claim("1", 10, false), at(0));
        to.apply(claim("1", 5, true), at(0));
        to.apply(claim("2", 10, false), at(0));
        to.apply(CrashReport { Fingerprint("f"), "e/1", retention }, at(0));
    }

    void expiredRecordsAreNotCompared()
    {
        const std::string empty = this->state.digests();
        this->addRecords(this->state);
        CPPUNIT_ASSERT(this->state.digests() != empty);
        this->state.expire(at(61));
        CPPUNIT_ASSERT(this->state.digests() == empty);
    }

    void digestsBuiltLateEqualThoseKept()
    {
        this->state.digests();
        this->addRecords(this->state);
        JournalState other;
        this->addRecords(other);
        CPPUNIT_ASSERT(this->state.digests() == other.digests());
        const std::string empty = JournalState().digests();
        other.expire(at(61));
        CPPUNIT_ASSERT(other.digests() == empty);
    }

    void comparisonFindsTheLackingRecords()
    {
        constexpr std::size_t maxNames = 100;
        this->addRecords(this->state);
        JournalState other;
        const std::string names = this->state.compare(other.digests(), 0, maxNames).names;
        const CopyPage page = this->state.recordsOf(other.lackingNames(names));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.turns.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.claims.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.crashes.size());
        this->addRecords(other);
        CPPUNIT_ASSERT(other.lackingNames(names).empty());
        CPPUNIT_ASSERT(this->state.compare(other.digests(), 0, maxNames).names.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalStateTest);
