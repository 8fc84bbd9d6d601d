#include "Rattandeck/admission.h"
#include "Rattandeck/fairness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <numeric>

using namespace Rattandeck;

class FairnessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FairnessTest);
    CPPUNIT_TEST(sharesAreMaxMinFair);
    CPPUNIT_TEST(shareGrowsWithGrantedUse);
    CPPUNIT_TEST(useDecaysWithItsHalfLife);
    CPPUNIT_TEST(refusalIsMonotonic);
    CPPUNIT_TEST(refusalHasPositiveRetryTime);
    CPPUNIT_TEST_SUITE_END();

    void sharesAreMaxMinFair()
    {
        CPPUNIT_ASSERT(rc::check("shares don't exceed demands, use all capacity and are equal where limited", [] {
            const auto randomDemands = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
            const std::vector<double> demands(randomDemands.begin(), randomDemands.end());
            const double capacity = *rc::gen::inRange(0, 1000);
            const std::vector<double> shares = fairShares(demands, capacity);
            const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
            const double allocated = std::accumulate(shares.begin(), shares.end(), 0.0);
            RC_ASSERT(std::abs(allocated - std::min(total, capacity)) < 1e-6);
            for (std::size_t i = 0; i < shares.size(); ++i) {
                RC_ASSERT(shares[i] <= demands[i]);
                const bool isLimited = shares[i] < demands[i] - 1e-9;
                for (const double other : shares)
                    RC_ASSERT(!isLimited || other <= shares[i] + 1e-9);
            }
        }));
    }

    void shareGrowsWithGrantedUse()
    {
        const std::vector<OrganisationUse> little { { 100, 10 }, { 100, 50 } };
        const std::vector<OrganisationUse> more { { 100, 30 }, { 100, 30 } };
        CPPUNIT_ASSERT(organisationShare(little, 0) < organisationShare(more, 0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, organisationShare(more, 0), 1e-9);
        // An organisation that was granted its whole demand has its fair share, however small the demand is.
        const std::vector<OrganisationUse> small { { 2, 2 }, { 100, 50 } };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, organisationShare(small, 0), 1e-9);
    }

    void useDecaysWithItsHalfLife()
    {
        const OrganisationUse use = decayed({ 8, 4 }, 20, 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, use.demand, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, use.granted, 1e-9);
    }

    void refusalIsMonotonic()
    {
        CPPUNIT_ASSERT(rc::check("more pressure or a larger share never turns a refusal into an admission", [] {
            const auto tenth = [] { return *rc::gen::inRange(0, 20) / 10.0; };
            const AdmissionView view { tenth(), tenth(), tenth(), 1 };
            const AdmissionView worse { view.loadPressure + tenth(), view.cachePressure + tenth(),
                view.organisationShare + tenth(), 1 };
            RC_ASSERT(!refuseOpening(view, {}, 1) || refuseOpening(worse, {}, 1));
        }));
    }

    void refusalHasPositiveRetryTime()
    {
        CPPUNIT_ASSERT(!refuseOpening({ 0.2, 0.2, 1, 0 }, {}, 1));
        const auto refused = refuseOpening({ 5, 1, 0, 0 }, {}, 1);
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT(*refused > Milliseconds(0));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FairnessTest);
