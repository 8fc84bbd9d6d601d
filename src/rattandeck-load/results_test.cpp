#include "results.h"

#include "plan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckLoad;

class ResultsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResultsTest);
    CPPUNIT_TEST(recordsAreComparedWithTheLedger);
    CPPUNIT_TEST(eachFaultSpoilsTheRun);
    CPPUNIT_TEST(plansRepeatForASeed);
    CPPUNIT_TEST_SUITE_END();

    void recordsAreComparedWithTheLedger()
    {
        const std::map<std::string, IssuedRecord> records {
            { "once", { "a", RecordTold::Done } },
            { "lost", { "a", RecordTold::Done } },
            { "doubled", { "a", RecordTold::Done } },
            { "untrue", { "a", RecordTold::NotRun } },
            { "refused", { "a", RecordTold::NotRun } },
            { "unknown", { "a", RecordTold::Unknown } },
            { "mixed", { "a", RecordTold::Done } },
        };
        const RecordCounts counts = compareRecords(records,
            { { "once", "a" }, { "doubled", "a" }, { "doubled", "a" }, { "untrue", "a" }, { "unknown", "a" },
                { "mixed", "b" }, { "another run's", "a" } });
        // The mixed one was also written once.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), counts.writtenOnce);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.doubled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.untrueRefusals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.mixed);
    }

    void eachFaultSpoilsTheRun()
    {
        Results good;
        good.planned = 2;
        good.finished = 2;
        good.records["key"] = {};
        good.ledgersRead = true;
        CPPUNIT_ASSERT(isGood(good));
        const auto spoil = [&](const std::function<void(Results&)>& change) {
            Results spoilt = good;
            change(spoilt);
            CPPUNIT_ASSERT(!isGood(spoilt));
        };
        spoil([](Results& results) { results.finished = 1; });
        spoil([](Results& results) { results.ledgersRead = false; });
        spoil([](Results& results) { results.recordCounts.lost = 1; });
        spoil([](Results& results) { results.recordCounts.doubled = 1; });
        spoil([](Results& results) { results.recordCounts.untrueRefusals = 1; });
        spoil([](Results& results) { results.recordCounts.mixed = 1; });
        spoil([](Results& results) { results.recordCounts.unknown = 1; });
        spoil([](Results& results) { results.violations.emplace_back("mixed"); });
        spoil([](Results& results) { results.planned = results.finished = 0; });
    }

    static std::string firstInput(const ProgramPlan& plan) { return std::get<ModelTurn>(plan.steps.front()).input; }

    void plansRepeatForASeed()
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
