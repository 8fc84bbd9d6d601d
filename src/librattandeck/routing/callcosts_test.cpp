#include "Rattandeck/callcosts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

using namespace Rattandeck;

class CallCostsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallCostsTest);
    CPPUNIT_TEST(newRouteBeginsWithTheHint);
    CPPUNIT_TEST(boundIsNeverExceeded);
    CPPUNIT_TEST(hintsThatAreRightInTheMedianAreShrunk);
    CPPUNIT_TEST(biasOfARouteIsCorrected);
    CPPUNIT_TEST(wrongHintsMisleadOnlyForAWhile);
    CPPUNIT_TEST(heavyOrganisationDoesNotDetermineTheOthers);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(unitTimeFollowsObservations);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937 random { 3 };
    CallCosts costs;

    static CallSize call(std::int64_t hint, const std::string& organisation = {})
    {
        CallSize size;
        size.route = "r";
        size.organisation = OrganisationId(organisation);
        size.hint = TokenCount(hint);
        return size;
    }

    double drawn(double median, double spread)
    {
        return median * std::exp(std::normal_distribution<double>(0, spread)(this->random));
    }

    void observe(std::int64_t hint, double output, const std::string& organisation = {})
    {
        this->costs.onOutput(call(hint, organisation), TokenCount(static_cast<std::int64_t>(output)));
    }

    void newRouteBeginsWithTheHint()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(240, *this->costs.expectedOutput(call(240)), 1e-6);
        CallSize unhinted;
        CPPUNIT_ASSERT(!this->costs.expectedOutput(unhinted));
        unhinted.maxOutput = TokenCount(500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, *this->costs.expectedOutput(unhinted), 1e-6);
        // A restart that observes one call doesn't trust it.
        this->observe(240, 1900);
        CPPUNIT_ASSERT(*this->costs.expectedOutput(call(240)) < 320);
    }

    void boundIsNeverExceeded()
    {
        CallSize bounded = call(900);
        bounded.maxOutput = TokenCount(300);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, *this->costs.expectedOutput(bounded), 1e-6);
    }

    /// Outputs hardly depend on the hints, which are right in the median.
    void hintsThatAreRightInTheMedianAreShrunk()
    {
        double hintError = 0;
        double error = 0;
        for (int i = 0; i < 600; ++i) {
            const double output = this->drawn(250, 0.4);
            const auto hint = static_cast<std::int64_t>(this->drawn(output, 1));
            if (i >= 100) {
                error += std::abs(std::log(*this->costs.expectedOutput(call(hint)) / output));
                hintError += std::abs(std::log(double(hint) / output));
            }
            this->observe(hint, output);
        }
        CPPUNIT_ASSERT(error < 0.6 * hintError);
    }

    void biasOfARouteIsCorrected()
    {
        for (int i = 0; i < 64; ++i)
            this->observe(static_cast<std::int64_t>(this->drawn(200, 0.5)), this->drawn(600, 0.2));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600, *this->costs.expectedOutput(call(200)), 120);
    }

    void wrongHintsMisleadOnlyForAWhile()
    {
        for (int i = 0; i < 200; ++i)
            this->observe(100, 800);
        for (int i = 0; i < 128; ++i)
            this->observe(100, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *this->costs.expectedOutput(call(100)), 40);
    }

    void heavyOrganisationDoesNotDetermineTheOthers()
    {
        // Nine of ten calls are of one organisation whose outputs are eight times as long.
        for (int i = 0; i < 300; ++i)
            this->observe(100, i % 10 == 0 ? 100 : 800, i % 10 == 0 ? "small" : "heavy");
        CPPUNIT_ASSERT(*this->costs.expectedOutput(call(100, "heavy")) > 600);
        CPPUNIT_ASSERT(*this->costs.expectedOutput(call(100, "small")) < 220);
        CPPUNIT_ASSERT(*this->costs.expectedOutput(call(100, "other")) < 600);
    }

    void memoryIsBounded()
    {
        CallCostPolicy policy;
        policy.maxEntries = 16;
        CallCosts bounded(policy);
        for (int i = 0; i < 1000; ++i)
            bounded.onFirstUnitTime("w" + std::to_string(i), 20);
        CPPUNIT_ASSERT(!bounded.unitTime("w0"));
        CPPUNIT_ASSERT(bounded.unitTime("w999").has_value());
    }

    void unitTimeFollowsObservations()
    {
        this->costs.onFirstUnitTime("w", 10);
        for (int i = 0; i < 300; ++i)
            this->costs.onUnitTime("w", std::log(this->drawn(30, 0.3) / *this->costs.unitTime("w")));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, *this->costs.unitTime("w"), 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallCostsTest);
