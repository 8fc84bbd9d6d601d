#include "Rattandeck/configchecks.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class ConfigChecksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigChecksTest);
    CPPUNIT_TEST(soundConfigurationHasNoFindings);
    CPPUNIT_TEST(routeBehindAnEqualOneIsHidden);
    CPPUNIT_TEST(prefixWithoutSlashesMatchesNothing);
    CPPUNIT_TEST(servicesAndRoutesBelongTogether);
    CPPUNIT_TEST(routesWithoutWeightOrServiceAreFound);
    CPPUNIT_TEST(organisationsNeedKeysOfTheirOwn);
    CPPUNIT_TEST(configurationThatAdmitsNobodyIsFound);
    CPPUNIT_TEST(contradictoryLimitsOfRoutesAreFound);
    CPPUNIT_TEST(allowanceCoversAProgram);
    CPPUNIT_TEST(instancesCoverRoutesAndAllowances);
    CPPUNIT_TEST(nearestNameIsAMisspelling);
    CPPUNIT_TEST_SUITE_END();

    static RoutingConfig sound()
    {
        Route chat;
        chat.name = "chat";
        chat.host = "h";
        chat.pathPrefix = "/chat/";
        chat.services = { { ServiceName("llm"), 1 } };
        Route plain = chat;
        plain.name = "plain";
        plain.pathPrefix = "/";
        plain.safety = CallSafety::Safe;
        plain.maxRuns = 2;
        RoutingConfig config;
        config.version = 1;
        config.routes = { chat, plain };
        config.services = { { ServiceName("llm"), 64, EngineConfig { 16, 1000, TokenCount(1) } } };
        config.organisations = std::vector<Organisation> { { OrganisationId("north"), { digestOfKey("n") }, {}, {} },
            { OrganisationId("south"), { digestOfKey("s") }, {}, CallAllowance { CallRate(3), 20 } } };
        return config;
    }

    /// The findings as kinds with the entry that they concern.
    static std::vector<std::pair<FindingKind, std::optional<std::size_t>>> kinds(
        const RoutingConfig& config, const DeploymentFacts& facts = {})
    {
        std::vector<std::pair<FindingKind, std::optional<std::size_t>>> found;
        for (const ConfigFinding& finding : checkConfig(config, facts))
            found.emplace_back(finding.kind, finding.place.entry);
        return found;
    }

    using Kinds = std::vector<std::pair<FindingKind, std::optional<std::size_t>>>;

    void soundConfigurationHasNoFindings()
    {
        CPPUNIT_ASSERT(checkConfig(sound()).empty());
        CPPUNIT_ASSERT(checkConfig(RoutingConfig()).empty());
    }

    /// Guards against a route that is configured and never used, since the first one of host and prefix gets the calls.
    void routeBehindAnEqualOneIsHidden()
    {
        RoutingConfig config = sound();
        config.routes.push_back(config.routes[0]);
        config.routes.back().name = "second";
        const auto findings = checkConfig(config);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        CPPUNIT_ASSERT(findings[0].kind == FindingKind::HiddenRoute && findings[0].place.entry == 2U);
        CPPUNIT_ASSERT((findings[0].names == std::vector<std::string> { "second", "chat" }));
        // The product agrees.
        CPPUNIT_ASSERT_EQUAL(std::string("chat"), RouteTable(config).find("h", "/chat/x")->name);
        config.routes.back().host = "other";
        CPPUNIT_ASSERT(checkConfig(config).empty());
    }

    void prefixWithoutSlashesMatchesNothing()
    {
        for (const char* prefix : { "/open", "open/", "" }) {
            RoutingConfig config = sound();
            config.routes[0].pathPrefix = prefix;
            CPPUNIT_ASSERT((kinds(config) == Kinds { { FindingKind::UnmatchablePrefix, 0 } }));
            CPPUNIT_ASSERT_EQUAL(std::string("plain"), RouteTable(config).find("h", "/open/x")->name);
        }
    }

    void servicesAndRoutesBelongTogether()
    {
        RoutingConfig config = sound();
        config.routes[0].services[0].service = ServiceName("lm");
        config.services.push_back({ ServiceName("spare"), 8, {} });
        config.services.push_back({ ServiceName("llm"), 8, {} });
        const auto findings = checkConfig(config);
        CPPUNIT_ASSERT((kinds(config)
            == Kinds { { FindingKind::UnknownService, 0 }, { FindingKind::ServiceWithoutRoute, 1 },
                { FindingKind::DuplicateService, 2 } }));
        CPPUNIT_ASSERT(findings[0].suggestion == "llm");
        CPPUNIT_ASSERT((findings[0].names == std::vector<std::string> { "chat", "lm" }));
    }

    void routesWithoutWeightOrServiceAreFound()
    {
        RoutingConfig config = sound();
        config.routes[0].services[0].weight = 0;
        config.routes[1].services.clear();
        CPPUNIT_ASSERT(
            (kinds(config) == Kinds { { FindingKind::NoWeight, 0 }, { FindingKind::RouteWithoutService, 1 } }));
    }

    /// Guards against organisations that are configured and get no access.
    void organisationsNeedKeysOfTheirOwn()
    {
        RoutingConfig config = sound();
        auto& organisations = *config.organisations;
        organisations[1].keys.push_back(digestOfKey("n"));
        organisations.push_back({ OrganisationId("north"), {}, {}, {} });
        const auto findings = checkConfig(config);
        CPPUNIT_ASSERT((kinds(config)
            == Kinds { { FindingKind::SharedKey, 1 }, { FindingKind::DuplicateOrganisation, 2 },
                { FindingKind::OrganisationWithoutKeys, 2 } }));
        CPPUNIT_ASSERT((findings[0].names == std::vector<std::string> { "north", "south" }));
    }

    void configurationThatAdmitsNobodyIsFound()
    {
        RoutingConfig config = sound();
        config.organisations->clear();
        CPPUNIT_ASSERT((kinds(config) == Kinds { { FindingKind::NobodyAdmitted, std::nullopt } }));
        config.routes[0].isPublic = true;
        CPPUNIT_ASSERT(checkConfig(config).empty());
    }

    void contradictoryLimitsOfRoutesAreFound()
    {
        RoutingConfig config = sound();
        config.routes[0].objective = Milliseconds(40000);
        config.routes[0].maxRuns = 2;
        config.routes[0].canResume = true;
        config.routes[1].retainsTurns = true;
        config.services[0].engine->slots = 65;
        const auto findings = checkConfig(config);
        CPPUNIT_ASSERT((kinds(config)
            == Kinds { { FindingKind::ObjectiveAboveTimeout, 0 }, { FindingKind::UnusedAttempts, 0 },
                { FindingKind::ResumeWithoutStream, 0 }, { FindingKind::RetentionNotPositive, 1 },
                { FindingKind::SlotsAboveConnections, 0 } }));
        CPPUNIT_ASSERT((findings[0].numbers == std::vector<double> { 40000, 30000 }));

        config = sound();
        config.routes[0].timeout = Milliseconds(0);
        config.routes[1].turnRetention = Milliseconds(5);
        CPPUNIT_ASSERT((kinds(config)
            == Kinds { { FindingKind::TimeoutNotPositive, 0 }, { FindingKind::ObjectiveAboveTimeout, 0 },
                { FindingKind::UnusedRetention, 1 } }));
        DeploymentFacts facts;
        facts.callerDeadline = Milliseconds(20000);
        facts.retryBurst = 1;
        config = sound();
        config.routes[1].maxRuns = 3;
        CPPUNIT_ASSERT((kinds(config, facts)
            == Kinds { { FindingKind::TimeoutAboveDeadline, 0 }, { FindingKind::TimeoutAboveDeadline, 1 },
                { FindingKind::AttemptsAboveRetryBudget, 1 } }));
    }

    void allowanceCoversAProgram()
    {
        RoutingConfig config = sound();
        DeploymentFacts facts;
        facts.programCalls = 23;
        CPPUNIT_ASSERT(checkConfig(config, facts).empty());
        facts.programCalls = 24;
        CPPUNIT_ASSERT((kinds(config, facts) == Kinds { { FindingKind::AllowanceBelowNeed, 1 } }));
        // Without the facts there is no need to compare with.
        CPPUNIT_ASSERT(checkConfig(config).empty());
    }

    void instancesCoverRoutesAndAllowances()
    {
        RoutingConfig config = sound();
        config.routes[0].services.push_back({ ServiceName("llm"), 0 });
        DeploymentFacts facts;
        facts.slots = { { ServiceName("llm"), 2 } };
        CPPUNIT_ASSERT(checkConfig(config, facts).empty());
        // All organisations have a limit, and together more calls than 2 slots serve at 1 s each.
        (*config.organisations)[0].allowance = CallAllowance { CallRate(1), 0 };
        const auto findings = checkConfig(config, facts);
        CPPUNIT_ASSERT((kinds(config, facts) == Kinds { { FindingKind::AllowancesAboveCapacity, std::nullopt } }));
        CPPUNIT_ASSERT((findings[0].numbers == std::vector<double> { 4, 2 }));
        facts.slots->at(ServiceName("llm")) = 4;
        CPPUNIT_ASSERT(checkConfig(config, facts).empty());
        config.organisations.reset();
        facts.slots = { { ServiceName("web"), 2 } };
        CPPUNIT_ASSERT((kinds(config, facts)
            == Kinds { { FindingKind::ServiceWithoutInstances, 0 }, { FindingKind::ServiceWithoutInstances, 1 } }));
    }

    void nearestNameIsAMisspelling()
    {
        const std::vector<std::string> known { "path_prefix", "host", "kind" };
        CPPUNIT_ASSERT(nearestName("path_prefx", known) == "path_prefix");
        CPPUNIT_ASSERT(!nearestName("colour", known));
        CPPUNIT_ASSERT(!nearestName(std::string(100, 'k'), known));
        CPPUNIT_ASSERT(!nearestName("kind", {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigChecksTest);
