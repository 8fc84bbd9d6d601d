#include "Rattandeck/configchecks.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class ConfigDifferencesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigDifferencesTest);
    CPPUNIT_TEST(wideningIsNoLoss);
    CPPUNIT_TEST(versionMustRise);
    CPPUNIT_TEST(pathsThatNoRouteTakesAreFound);
    CPPUNIT_TEST(hiddenEntryIsNoLoss);
    CPPUNIT_TEST(servicesThatNoCallReachesAreFound);
    CPPUNIT_TEST(callsThatNeedAKeyAreFound);
    CPPUNIT_TEST(organisationsThatLoseAccessAreFound);
    CPPUNIT_TEST(keysThatChangeHandsAreFound);
    CPPUNIT_TEST(allowancesTellWhenTheyBind);
    CPPUNIT_TEST(limitsThatFallAreFound);
    CPPUNIT_TEST_SUITE_END();

    static Route route(const std::string& prefix, const std::string& service)
    {
        Route made;
        made.host = "h";
        made.pathPrefix = prefix;
        made.services = { { ServiceName(service), 1 } };
        return made;
    }

    static RoutingConfig inForce()
    {
        RoutingConfig config;
        config.version = 4;
        config.routes = { route("/", "web"), route("/chat/", "llm") };
        config.services = { { ServiceName("web"), 64, {} }, { ServiceName("llm"), 64, {} } };
        config.organisations
            = std::vector<Organisation> { { OrganisationId("north"), { digestOfKey("n1"), digestOfKey("n2") }, 1, {} },
                  { OrganisationId("south"), { digestOfKey("s") }, {}, CallAllowance { CallRate(7), 20 } } };
        return config;
    }

    static RoutingConfig next()
    {
        RoutingConfig config = inForce();
        config.version = 5;
        return config;
    }

    static std::vector<FindingKind> kinds(const RoutingConfig& config)
    {
        std::vector<FindingKind> found;
        for (const ConfigFinding& finding : compareConfigs(inForce(), config))
            found.push_back(finding.kind);
        return found;
    }

    using Kinds = std::vector<FindingKind>;

    static ConfigFinding only(const RoutingConfig& config)
    {
        const auto findings = compareConfigs(inForce(), config);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        return findings.front();
    }

    void wideningIsNoLoss()
    {
        RoutingConfig config = next();
        config.routes.push_back(route("/new/", "web"));
        config.routes[0].timeout *= 2;
        config.routes[1].isPublic = true;
        config.limits.maxBodyBytes *= 2;
        auto& organisations = *config.organisations;
        organisations[0].keys.push_back(digestOfKey("n3"));
        organisations[0].rank = 0;
        organisations[1].allowance.reset();
        CPPUNIT_ASSERT(compareConfigs(inForce(), config).empty());
        config = next();
        config.organisations.reset();
        CPPUNIT_ASSERT(compareConfigs(inForce(), config).empty());
    }

    /// Guards against a configuration that gateways ignore without a word.
    void versionMustRise()
    {
        CPPUNIT_ASSERT(compareConfigs(inForce(), inForce()).empty());
        RoutingConfig config = next();
        config.version = 4;
        config.routes[0].timeout *= 2;
        const ConfigFinding finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::VersionNotHigher && finding.severity == FindingSeverity::Error);
        CPPUNIT_ASSERT((finding.numbers == std::vector<double> { 4, 4 }));
    }

    void pathsThatNoRouteTakesAreFound()
    {
        RoutingConfig config = next();
        config.routes[0].host = "other";
        ConfigFinding finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::PathUnreachable && finding.names.front() == "h/");
        config = next();
        config.routes[1].services.clear();
        CPPUNIT_ASSERT((kinds(config) == Kinds { FindingKind::PathUnreachable, FindingKind::ServiceUnreachable }));
        // The shorter prefix takes the calls.
        config = next();
        config.routes.pop_back();
        finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::ServiceUnreachable && finding.names.front() == "llm");
    }

    /// Guards against a comparison with entries that have no effect.
    void hiddenEntryIsNoLoss()
    {
        RoutingConfig before = inForce();
        before.routes.push_back(route("/chat/", "web"));
        CPPUNIT_ASSERT(compareConfigs(before, next()).empty());
        RoutingConfig after = next();
        after.services.push_back({ ServiceName("web"), 1, {} });
        CPPUNIT_ASSERT(compareConfigs(before, after).empty());
    }

    void servicesThatNoCallReachesAreFound()
    {
        RoutingConfig config = next();
        config.routes[1].services = { { ServiceName("llm"), 0 }, { ServiceName("web"), 1 } };
        CPPUNIT_ASSERT((kinds(config) == Kinds { FindingKind::ServiceUnreachable }));
        // Without any weight, the first service gets the calls.
        config.routes[1].services = { { ServiceName("llm"), 0 }, { ServiceName("web"), 0 } };
        CPPUNIT_ASSERT(kinds(config).empty());
    }

    /// Guards against calls without a key that are refused after a change, also where a new route takes them.
    void callsThatNeedAKeyAreFound()
    {
        RoutingConfig before = inForce();
        before.organisations.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), compareConfigs(before, next()).size());
        before = inForce();
        before.routes[0].isPublic = true;
        RoutingConfig after = next();
        after.routes[0].isPublic = true;
        CPPUNIT_ASSERT(compareConfigs(before, after).empty());
        after.routes.push_back(route("/part/", "web"));
        const auto findings = compareConfigs(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
        CPPUNIT_ASSERT(findings[0].kind == FindingKind::KeyNeeded && findings[0].names.front() == "h/part/");
        CPPUNIT_ASSERT(findings[0].place.entry == 2U);
    }

    void organisationsThatLoseAccessAreFound()
    {
        RoutingConfig config = next();
        config.organisations->pop_back();
        ConfigFinding finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::OrganisationRemoved && finding.names.front() == "south");
        config = next();
        config.organisations->front().keys.pop_back();
        finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::KeysRemoved && finding.numbers.front() == 1);
        CPPUNIT_ASSERT(finding.place.entry == 0U);
    }

    void keysThatChangeHandsAreFound()
    {
        RoutingConfig config = next();
        auto& organisations = *config.organisations;
        organisations[1].keys.push_back(organisations[0].keys.back());
        organisations[0].keys.pop_back();
        const ConfigFinding finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::KeyMoved);
        CPPUNIT_ASSERT((finding.names == std::vector<std::string> { "north", "south" }));
    }

    void allowancesTellWhenTheyBind()
    {
        RoutingConfig config = next();
        (*config.organisations)[1].allowance = CallAllowance { CallRate(3), 20 };
        ConfigFinding finding = only(config);
        CPPUNIT_ASSERT(finding.kind == FindingKind::RateLowered);
        CPPUNIT_ASSERT((finding.numbers == std::vector<double> { 7, 3, 20, 5 }));
        (*config.organisations)[1].allowance = CallAllowance { CallRate(8), 10 };
        CPPUNIT_ASSERT((kinds(config) == Kinds { FindingKind::BurstLowered }));
        config = next();
        (*config.organisations)[0].allowance = CallAllowance { CallRate(8), 10 };
        CPPUNIT_ASSERT((kinds(config) == Kinds { FindingKind::RateAdded }));
    }

    void limitsThatFallAreFound()
    {
        RoutingConfig before = inForce();
        before.routes[0].retainsTurns = true;
        before.routes[0].turnRetention = Milliseconds(60000);
        before.routes[0].canResume = true;
        before.routes[0].maxRuns = 2;
        RoutingConfig after = before;
        after.version = 5;
        after.routes[0] = route("/", "web");
        after.routes[0].timeout = Milliseconds(1);
        after.routes[0].rank = 1;
        after.services[0].maxConnections = 1;
        after.limits = { 1, 1, Milliseconds(1), Milliseconds(1) };
        (*after.organisations)[0].rank = 2;
        std::vector<FindingKind> found;
        for (const ConfigFinding& finding : compareConfigs(before, after))
            found.push_back(finding.kind);
        CPPUNIT_ASSERT((found
            == Kinds { FindingKind::RouteLessUrgent, FindingKind::TimeoutLowered, FindingKind::AttemptsLowered,
                FindingKind::RetentionLowered, FindingKind::ResumeRemoved, FindingKind::ConnectionsLowered,
                FindingKind::HeaderLimitLowered, FindingKind::BodyLimitLowered, FindingKind::HeaderTimeoutLowered,
                FindingKind::IdleTimeoutLowered, FindingKind::OrganisationLessUrgent }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDifferencesTest);
