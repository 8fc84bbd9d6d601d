#include "Rattandeck/policy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class PolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PolicyTest);
    CPPUNIT_TEST(drainingPolicyExcludesTheEndpoint);
    CPPUNIT_TEST(selectingPolicyRestrictsProgramsToItsEndpoints);
    CPPUNIT_TEST(weightsFollowProgramLabels);
    CPPUNIT_TEST(malformedObjectLeavesThePreviousValueInEffect);
    CPPUNIT_TEST(checkReportsTheField);
    CPPUNIT_TEST_SUITE_END();

    PolicySet policies;

    void apply(const std::string& kind, const std::string& name, const std::string& value)
    {
        this->policies.apply({ kind, name, ObjectVersion(1), false, value });
    }

    bool admits(const std::string& organisation, const std::string& node)
    {
        const ServiceName service("agent-llm");
        return this->policies.admits(this->policies.programLabels(OrganisationId(organisation), service),
            this->policies.endpointLabels(NodeId(node), FailureDomain("por"), service));
    }

    void drainingPolicyExcludesTheEndpoint()
    {
        this->apply("policy", "drain-r1", R"({"endpoints": "node=r1", "admit": false})");
        CPPUNIT_ASSERT(!this->admits("a", "r1"));
        CPPUNIT_ASSERT(this->admits("a", "r2"));
        this->policies.apply({ "policy", "drain-r1", ObjectVersion(2), true, "" });
        CPPUNIT_ASSERT(this->admits("a", "r1"));
    }

    void selectingPolicyRestrictsProgramsToItsEndpoints()
    {
        this->apply("endpoint", "r1", R"({"labels": {"tier": "fast"}})");
        this->apply("program", "desks", R"({"match": "organisation=gate", "labels": {"urgent": "yes"}})");
        this->apply("policy", "urgent", R"({"programs": "urgent=yes", "endpoints": "tier=fast"})");
        CPPUNIT_ASSERT(this->admits("gate", "r1"));
        CPPUNIT_ASSERT(!this->admits("gate", "r2"));
        CPPUNIT_ASSERT(this->admits("other", "r2"));
    }

    void weightsFollowProgramLabels()
    {
        this->apply("policy", "cache", R"({"programs": "organisation=m", "missing_prefix_weight": 2.5})");
        const ServiceName service("s");
        const auto weight = [&](const char* organisation) {
            return this->policies.placementFor(this->policies.programLabels(OrganisationId(organisation), service), {})
                .missingPrefixWeight;
        };
        CPPUNIT_ASSERT_EQUAL(2.5, weight("m"));
        CPPUNIT_ASSERT_EQUAL(PlacementSettings {}.missingPrefixWeight, weight("v"));
    }

    void malformedObjectLeavesThePreviousValueInEffect()
    {
        this->apply("policy", "drain", R"({"endpoints": "node=r1", "admit": false})");
        this->apply("policy", "drain", R"({"endpoints": "node=", "admit": false})");
        CPPUNIT_ASSERT(!this->admits("a", "r1"));
    }

    void checkReportsTheField()
    {
        CPPUNIT_ASSERT(!checkConfigObject("policy", R"({"programs": "a=b", "wait_weight": 1})"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("unknown field 'wait_wait'"), describe(*checkConfigObject("policy", R"({"wait_wait": 1})")));
        CPPUNIT_ASSERT_EQUAL(std::string("field 'wait_weight' is out of range"),
            describe(*checkConfigObject("policy", R"({"wait_weight": -1})")));
        CPPUNIT_ASSERT(checkConfigObject("policy", "[]")->kind == PolicyErrorKind::NotJson);
        CPPUNIT_ASSERT(checkConfigObject("polcy", "{}")->kind == PolicyErrorKind::UnknownKind);
        CPPUNIT_ASSERT(checkConfigObject("endpoint", R"({"labels": {"a": 1}})")->kind == PolicyErrorKind::WrongType);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);
