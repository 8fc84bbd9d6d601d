#include "recorddigests.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <map>

using namespace Rattandeck;

namespace {

constexpr std::size_t manyNames = 1000000;

/// Records that keep their addresses, and the digests of those that were added.
struct Records {
    std::map<std::string, TurnId> turns;
    std::map<std::string, TokenClaim> claims;
    const BudgetId budget { "p" };
    RecordDigests digests;

    void addTurn(const std::string& id)
    {
        const TurnId& turn = this->turns[id] = TurnId(id);
        this->digests.add(nameOf(turn), &turn);
    }

    void removeTurn(const std::string& id)
    {
        const TurnId& turn = this->turns.at(id);
        this->digests.remove(nameOf(turn), &turn);
    }

    void addClaim(const std::string& turn, bool isSettled)
    {
        const TokenClaim& claim = this->claims[turn] = { TurnId(turn), TokenCount(1), isSettled };
        this->digests.add(nameOf(this->budget, claim), ClaimReference { &this->budget, &claim });
    }

    /// The names that the other journal would send.
    std::string namesOf(const Records& other) const
    {
        CopyPage page;
        other.digests.compare(this->digests.digests(), 0, manyNames, page);
        CPPUNIT_ASSERT(page.areAllCompared);
        return page.names;
    }
};

std::string numbered(std::size_t number) { return std::to_string(number); }

}

class RecordDigestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordDigestsTest);
    CPPUNIT_TEST(orderOfRecordsDoesNotMatter);
    CPPUNIT_TEST(removedRecordLeavesNoTrace);
    CPPUNIT_TEST(lackingRecordIsFound);
    CPPUNIT_TEST(recordThatOnlyOneJournalHasLeftHidesNoDifference);
    CPPUNIT_TEST(settlementIsLackingOnlyWhereTheClaimIsNotSettled);
    CPPUNIT_TEST(settlementsOfDifferentClaimsDoNotCancelOut);
    CPPUNIT_TEST(pagesOfNamesCoverAllBuckets);
    CPPUNIT_TEST(recordsDividedDifferentlyAreAllNamed);
    CPPUNIT_TEST(malformedNamesAreSkipped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t recordCount = 10000;

    Records one;
    Records other;

    void orderOfRecordsDoesNotMatter()
    {
        for (std::size_t i = 0; i < recordCount; ++i) {
            this->one.addTurn(numbered(i));
            this->other.addTurn(numbered(recordCount - 1 - i));
        }
        CPPUNIT_ASSERT(this->one.digests.digests() == this->other.digests.digests());
        CPPUNIT_ASSERT(this->one.namesOf(this->other).empty());
    }

    void removedRecordLeavesNoTrace()
    {
        const std::string before = this->one.digests.digests();
        this->one.addTurn("1");
        CPPUNIT_ASSERT(this->one.digests.digests() != before);
        this->one.removeTurn("1");
        CPPUNIT_ASSERT(this->one.digests.digests() == before);
        CPPUNIT_ASSERT(this->one.digests.find(std::string(codedRecordNameBytes, '\0')).empty());
    }

    void lackingRecordIsFound()
    {
        for (std::size_t i = 0; i < recordCount; ++i) {
            this->one.addTurn(numbered(i));
            this->other.addTurn(numbered(i));
        }
        this->other.addTurn("new");
        const std::string names = this->one.namesOf(this->other);
        CPPUNIT_ASSERT(names.size() < recordCount / 100 * codedRecordNameBytes);
        const std::string lacking = this->one.digests.lackingNames(names);
        CPPUNIT_ASSERT_EQUAL(codedRecordNameBytes, lacking.size());
        const auto found = this->other.digests.find(lacking);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
        CPPUNIT_ASSERT(*std::get<const TurnId*>(found.front()) == TurnId("new"));
    }

    void recordThatOnlyOneJournalHasLeftHidesNoDifference()
    {
        // Records that have expired at one journal only, in all buckets.
        for (std::size_t i = 0; i < recordCount; ++i)
            this->one.addTurn(numbered(i));
        this->other.addTurn("new");
        CPPUNIT_ASSERT_EQUAL(
            codedRecordNameBytes, this->one.digests.lackingNames(this->one.namesOf(this->other)).size());
        this->one.addTurn("new");
        CPPUNIT_ASSERT(this->one.digests.lackingNames(this->one.namesOf(this->other)).empty());
    }

    void settlementIsLackingOnlyWhereTheClaimIsNotSettled()
    {
        this->one.addClaim("1", false);
        this->other.addClaim("1", true);
        CPPUNIT_ASSERT_EQUAL(
            codedRecordNameBytes, this->one.digests.lackingNames(this->one.namesOf(this->other)).size());
        CPPUNIT_ASSERT(this->other.digests.lackingNames(this->other.namesOf(this->one)).empty());
    }

    void settlementsOfDifferentClaimsDoNotCancelOut()
    {
        for (std::size_t i = 0; i < recordCount; ++i) {
            this->one.addClaim(numbered(i), i % 2 == 0);
            this->other.addClaim(numbered(i), i % 2 == 1);
        }
        const std::string lacking = this->one.digests.lackingNames(this->one.namesOf(this->other));
        CPPUNIT_ASSERT_EQUAL(recordCount / 2 * codedRecordNameBytes, lacking.size());
    }

    void pagesOfNamesCoverAllBuckets()
    {
        constexpr std::size_t maxNames = 100;
        for (std::size_t i = 0; i < recordCount; ++i)
            this->other.addTurn(numbered(i));
        std::string lacking;
        CopyPage page;
        while (!page.areAllCompared) {
            const std::uint32_t firstBucket = page.nextBucket;
            page = {};
            this->other.digests.compare(this->one.digests.digests(), firstBucket, maxNames, page);
            CPPUNIT_ASSERT(page.nextBucket > firstBucket);
            CPPUNIT_ASSERT(page.names.size() <= 2 * maxNames * codedRecordNameBytes);
            lacking += this->one.digests.lackingNames(page.names);
        }
        CPPUNIT_ASSERT_EQUAL(recordCount * codedRecordNameBytes, lacking.size());
        CPPUNIT_ASSERT_EQUAL(recordCount, this->other.digests.find(lacking).size());
    }

    void recordsDividedDifferentlyAreAllNamed()
    {
        this->other.addTurn("1");
        for (const char* digests : { "", "x", "12345678" }) {
            CopyPage page;
            this->other.digests.compare(digests, 0, manyNames, page);
            CPPUNIT_ASSERT(page.areAllCompared);
            CPPUNIT_ASSERT_EQUAL(codedRecordNameBytes, page.names.size());
        }
        CopyPage page;
        this->other.digests.compare("x", std::numeric_limits<std::uint32_t>::max(), manyNames, page);
        CPPUNIT_ASSERT(page.names.empty() && page.areAllCompared);
    }

    void malformedNamesAreSkipped()
    {
        this->one.addTurn("1");
        for (std::size_t size = 0; size < 2 * codedRecordNameBytes; ++size) {
            const std::string names(size, '\xff');
            CPPUNIT_ASSERT(this->one.digests.find(names).empty());
            CPPUNIT_ASSERT_EQUAL(
                size / codedRecordNameBytes * codedRecordNameBytes, this->one.digests.lackingNames(names).size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordDigestsTest);
