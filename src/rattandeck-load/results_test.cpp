#include "results.h"

#include "plan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckLoad;

class ResultsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResultsTest);
    CPPUNIT_TEST(recordsAreComparedWithTheLedger);
    CPPUNIT_TEST(runWithAnyDefectFails);
    CPPUNIT_TEST(sameSeedGivesTheSamePlans);
    CPPUNIT_TEST_SUITE_END();

    void recordsAreComparedWithTheLedger()
    {
        const std::map<std::string, IssuedRecord> records {
            { "once", { "a", ReportedOutcome::Done } },
            { "lost", { "a", ReportedOutcome::Done } },
            { "doubled", { "a", ReportedOutcome::Done } },
            { "untrue", { "a", ReportedOutcome::NotRun } },
            { "refused", { "a", ReportedOutcome::NotRun } },
            { "unknown", { "a", ReportedOutcome::Unknown } },
            { "mixed", { "a", ReportedOutcome::Done } },
        };
        const RecordCounts counts = compareRecords(records,
            { { "once", "a" }, { "doubled", "a" }, { "doubled", "a" }, { "untrue", "a" }, { "unknown", "a" },
                { "mixed", "b" }, { "another run's", "a" } });
        // The record "mixed" was executed once, so it is included in this count.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), counts.writtenOnce);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.doubled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.untrueRefusals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.mixed);
    }

    void runWithAnyDefectFails()
    {
        Results good;
        good.planned = 2;
        good.finished = 2;
        good.records["key"] = {};
        good.ledgersRead = true;
        CPPUNIT_ASSERT(isGood(good));
        const auto assertFails = [&](const std::function<void(Results&)>& change) {
            Results defective = good;
            change(defective);
            CPPUNIT_ASSERT(!isGood(defective));
        };
        assertFails([](Results& results) { results.finished = 1; });
        assertFails([](Results& results) { results.ledgersRead = false; });
        assertFails([](Results& results) { results.recordCounts.lost = 1; });
        assertFails([](Results& results) { results.recordCounts.doubled = 1; });
        assertFails([](Results& results) { results.recordCounts.untrueRefusals = 1; });
        assertFails([](Results& results) { results.recordCounts.mixed = 1; });
        assertFails([](Results& results) { results.recordCounts.unknown = 1; });
        assertFails([](Results& results) { results.violations.emplace_back("mixed"); });
        assertFails([](Results& results) { results.planned = results.finished = 0; });
    }

    static std::string firstInput(const ProgramPlan& plan) { return std::get<ModelTurn>(plan.steps.front()).input; }

    void sameSeedGivesTheSamePlans()
    {
        const WorkloadOptions options { "mizani", 7, 5, Milliseconds(1000) };
        const auto first = planWorkload(options);
        const auto second = planWorkload(options);
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), first->size());
        for (std::size_t i = 0; i < first->size(); ++i)
            CPPUNIT_ASSERT_EQUAL(firstInput(first->at(i).plan), firstInput(second->at(i).plan));
        CPPUNIT_ASSERT(firstInput(first->at(0).plan) != firstInput(first->at(1).plan));
        CPPUNIT_ASSERT(!planWorkload({ "another", 7, 5, Milliseconds(1000) }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ResultsTest);
