#include "Rattandeck/placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace Rattandeck;

namespace {

SidecarView sidecar(int number, std::uint32_t credits, std::uint32_t running = 0)
{
    SidecarView view;
    view.node = NodeId("r" + std::to_string(number));
    view.domain = FailureDomain("por");
    view.creditsLeft = credits;
    view.report.running = running;
    view.report.limit = 16;
    return view;
}

std::vector<SidecarView> equalSidecars(int count)
{
    std::vector<SidecarView> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        fleet.push_back(sidecar(i, 1));
    return fleet;
}

CallShape call(std::int64_t promptTokens)
{
    CallShape shape;
    shape.promptTokens = TokenCount(promptTokens);
    shape.expectedOutputTokens = TokenCount(100);
    return shape;
}

}

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(neverChoosesASidecarWithoutCredit);
    CPPUNIT_TEST(numberOfCandidatesDoesNotDependOnTheFleetSize);
    CPPUNIT_TEST(prefixHolderIsChosenUntilItsWaitOutweighsThePrefix);
    CPPUNIT_TEST(ordersSinceTheReportCorrectItsLoad);
    CPPUNIT_TEST(ownDomainIsPreferredAmongEqualSidecars);
    CPPUNIT_TEST(allEqualSidecarsAreChosen);
    CPPUNIT_TEST_SUITE_END();

    void neverChoosesASidecarWithoutCredit()
    {
        CPPUNIT_ASSERT(rc::check("choice has a credit, and is made if a small fleet has one", [] {
            const auto credits = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 2U));
            std::vector<SidecarView> fleet;
            for (std::size_t i = 0; i < credits.size(); ++i)
                fleet.push_back(sidecar(static_cast<int>(i), credits[i], *rc::gen::inRange(0U, 40U)));
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            std::vector<PrefixHolder> holders;
            if (!fleet.empty())
                holders.push_back({ *rc::gen::inRange(0U, static_cast<std::uint32_t>(fleet.size())), TokenCount(900) });
            const PlacementDecision decision = choosePlacement(fleet, call(1000), {}, seed, holders);
            const bool any = std::ranges::any_of(credits, [](std::uint32_t credit) { return credit > 0; });
            RC_ASSERT(any == !decision.choice.value.empty());
            for (const SidecarView& view : fleet)
                RC_ASSERT(view.node != decision.choice || view.creditsLeft > 0);
        }));
    }

    void numberOfCandidatesDoesNotDependOnTheFleetSize()
    {
        const std::vector<SidecarView> fleet = equalSidecars(4500);
        const std::vector<PrefixHolder> holders { PrefixHolder { 4321, TokenCount(5000) } };
        const PlacementDecision decision = choosePlacement(fleet, call(5200), {}, 7, holders);
        CPPUNIT_ASSERT(decision.candidates.size() <= PlacementSettings().candidateCount + holders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r4321"), decision.choice.value);
    }

    void prefixHolderIsChosenUntilItsWaitOutweighsThePrefix()
    {
        std::vector<SidecarView> fleet { sidecar(0, 1, 10), sidecar(1, 1, 0) };
        fleet[0].heldTokens = TokenCount(6000);
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), choosePlacement(fleet, call(6200), {}, 1).choice.value);
        fleet[0].report.waiting = 400;
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), choosePlacement(fleet, call(6200), {}, 1).choice.value);
    }

    void ordersSinceTheReportCorrectItsLoad()
    {
        std::vector<SidecarView> fleet { sidecar(0, 1, 4), sidecar(1, 1, 6) };
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), choosePlacement(fleet, call(500), {}, 1).choice.value);
        fleet[0].placedSinceReport = 4;
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), choosePlacement(fleet, call(500), {}, 1).choice.value);
        fleet[0].endedSinceReport = 4;
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), choosePlacement(fleet, call(500), {}, 1).choice.value);
    }

    void ownDomainIsPreferredAmongEqualSidecars()
    {
        std::vector<SidecarView> fleet { sidecar(0, 1), sidecar(1, 1) };
        fleet[1].domain = FailureDomain("savli");
        PlacementSettings settings;
        settings.ownDomain = FailureDomain("savli");
        for (std::uint64_t seed = 0; seed < 10; ++seed)
            CPPUNIT_ASSERT_EQUAL(std::string("r1"), choosePlacement(fleet, call(500), settings, seed).choice.value);
    }

    void allEqualSidecarsAreChosen()
    {
        const std::vector<SidecarView> fleet = equalSidecars(5);
        std::set<std::string> chosen;
        for (std::uint64_t seed = 0; seed < 100; ++seed)
            chosen.insert(choosePlacement(fleet, call(500), {}, seed).choice.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), chosen.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
