#include "objectcodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Platform;
using namespace Rattandeck;
using Json = nlohmann::json;

class ObjectCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ObjectCodecTest);
    CPPUNIT_TEST(endpointIsDecoded);
    CPPUNIT_TEST(invalidEndpointIsRejectedWithTheFieldName);
    CPPUNIT_TEST(entryOfAnotherWriterNamesNoInstance);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(invalidConfigurationIsRejectedWithTheFieldName);
    CPPUNIT_TEST(organisationsAreDecodedOneByOne);
    CPPUNIT_TEST(journalSetIsEqualAfterARoundTrip);
    CPPUNIT_TEST(retirementStatusContainsThePhase);
    CPPUNIT_TEST_SUITE_END();

    static StoredObject endpoint(const Json& changes = Json::object())
    {
        StoredObject object;
        object.name = "i-1";
        object.spec = { { "service", "llm" }, { "address", "10.0.0.1:80" }, { "zone", "a" }, { "slots", 16 },
            { "phase", "ready" }, { "cold_left_ms", 0 }, { "sequence", 4 }, { "born", 1780325645028 },
            { "version", "v1.2" } };
        object.spec.update(changes);
        return object;
    }

    void endpointIsDecoded()
    {
        const auto instance = readEndpoint(endpoint());
        CPPUNIT_ASSERT(instance.has_value());
        CPPUNIT_ASSERT(instance->id == EndpointId("i-1") && instance->slots == 16 && !instance->isDraining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1780325645028), instance->startedAt);
        CPPUNIT_ASSERT(instance->version == SoftwareVersion("v1.2"));
        CPPUNIT_ASSERT(readEndpoint(endpoint({ { "phase", "draining" } }))->isDraining);
    }

    void invalidEndpointIsRejectedWithTheFieldName()
    {
        const auto fieldOf = [](const Json& changes) { return readEndpoint(endpoint(changes)).error().field; };
        CPPUNIT_ASSERT_EQUAL(std::string("service"), fieldOf({ { "service", 5 } }));
        CPPUNIT_ASSERT_EQUAL(std::string("address"), fieldOf({ { "address", "nowhere" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("slots"), fieldOf({ { "slots", "many" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("slots"), fieldOf({ { "slots", -1 } }));
        CPPUNIT_ASSERT_EQUAL(std::string("phase"), fieldOf({ { "phase", "asleep" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("version"), fieldOf({ { "version", 1.1 } }));
        StoredObject empty;
        CPPUNIT_ASSERT_EQUAL(std::string("spec"), readEndpoint(empty).error().field);
    }

    /// Guards against reports of other operators: a port out of range, numbers too large, fields missing.
    void entryOfAnotherWriterNamesNoInstance()
    {
        const auto fieldOf = [](const Json& changes) { return readEndpoint(endpoint(changes)).error().field; };
        for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
                 "10.0.0.1:80x", "10.0.0.1:", "10.0.0:80", "here:80", "10.0.0.1" })
            CPPUNIT_ASSERT_EQUAL(std::string("address"), fieldOf({ { "address", address } }));
        for (const Json& number : { Json(1e300), Json(-1e300), Json(65536), Json(2.5), Json(nullptr), Json::array() })
            CPPUNIT_ASSERT_EQUAL(std::string("slots"), fieldOf({ { "slots", number } }));
        for (const Json& number : { Json(1e300), Json(UINT64_MAX), Json(-5), Json(2.5), Json("1780325645028") })
            CPPUNIT_ASSERT_EQUAL(std::string("born"), fieldOf({ { "born", number } }));
        for (const char* field :
            { "service", "address", "zone", "version", "slots", "phase", "cold_left_ms", "sequence" }) {
            StoredObject object = endpoint();
            object.spec.erase(field);
            CPPUNIT_ASSERT_EQUAL(std::string(field), readEndpoint(object).error().field);
        }
    }

    static Json configuration()
    {
        const Json route { { "name", "r" }, { "host", "h" }, { "path_prefix", "/p/" }, { "kind", "streaming" },
            { "timeout_ms", 3000 }, { "goal_ms", 300 }, { "priority", 1 }, { "attempts", 2 }, { "retain", true },
            { "retain_s", 60.0 }, { "sticky", true }, { "can_resume", true },
            { "split", { { { "service", "a" }, { "weight", 90 } }, { { "service", "b" }, { "weight", 10 } } } } };
        const Json service { { "name", "a" }, { "max_conns", 170 },
            { "engine", { { "slots", 16 }, { "kv_capacity_tokens", 1000 }, { "tokens_per_event", 22 } } } };
        return { { "version", 7 }, { "routes", Json::array({ route }) }, { "services", Json::array({ service }) },
            { "limits", { { "max_body_bytes", 100 }, { "idle_timeout_ms", 15000 } } } };
    }

    void configurationIsDecoded()
    {
        const auto config = readConfig(configuration());
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), config->version);
        const Route& route = config->routes.front();
        CPPUNIT_ASSERT(route.safety == CallSafety::Stream && route.retainsTurns && route.canResume && route.isSticky);
        CPPUNIT_ASSERT(route.maxRuns == 2 && route.rank == 1 && route.turnRetention == Milliseconds(60000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), route.services.size());
        CPPUNIT_ASSERT(config->services.front().engine->tokensPerEvent == TokenCount(22));
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), config->limits.maxBodyBytes);
        CPPUNIT_ASSERT(config->limits.headerTimeout == Milliseconds(3000));
    }

    void invalidConfigurationIsRejectedWithTheFieldName()
    {
        Json json = configuration();
        json["version"] = "seven";
        CPPUNIT_ASSERT_EQUAL(std::string("version"), readConfig(json).error().field);
        json = configuration();
        json["routes"][0]["kind"] = "odd";
        CPPUNIT_ASSERT_EQUAL(std::string("routes.kind"), readConfig(json).error().field);
        CPPUNIT_ASSERT_EQUAL(std::string("routes"), readConfig(Json(5)).error().field);
    }

    /// Guards against one faulty entry that costs other organisations their access.
    void organisationsAreDecodedOneByOne()
    {
        CPPUNIT_ASSERT(!readConfig(configuration())->organisations);
        Json json = configuration();
        json["tenants"] = Json::array();
        CPPUNIT_ASSERT(readConfig(json)->organisations->empty());
        json["tenants"] = Json::parse(R"([
            { "name": "north", "api_keys": ["n1", "n2", 5, ""], "priority": 3, "rate_per_s": 7.5, "burst": 20, "more": 1 },
            { "name": "", "api_keys": ["e"] }, { "api_keys": ["x"] }, { "name": "keyless" }, 7,
            { "name": "odd", "api_keys": ["o"], "rate_per_s": "many" }, { "name": "odd", "api_keys": "o" },
            { "name": "south", "api_keys": [], "priority": -1, "rate_per_s": 0 }])");
        std::vector<DecodeError> skipped;
        const auto config = readConfig(json, &skipped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), skipped.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), config->organisations->size());
        const Organisation& north = config->organisations->front();
        CPPUNIT_ASSERT(north.id == OrganisationId("north") && north.rank == 3U);
        CPPUNIT_ASSERT((north.keys == std::vector { digestOfKey("n1"), digestOfKey("n2") }));
        CPPUNIT_ASSERT((north.allowance == CallAllowance { CallRate(7.5), 20 }));
        const Organisation& south = config->organisations->back();
        CPPUNIT_ASSERT(south.id == OrganisationId("south") && south.keys.empty() && !south.rank && !south.allowance);
        for (const DecodeError& error : skipped)
            CPPUNIT_ASSERT(error.field.starts_with("tenants.") || error.field == "rate_per_s");
    }

    void journalSetIsEqualAfterARoundTrip()
    {
        const JournalSet set { Epoch(3), { { NodeId("a"), "1:1" }, { NodeId("b"), "2:2" } }, NodeId("b") };
        CPPUNIT_ASSERT(*readJournalSet(writeJournalSet(set)) == set);
        CPPUNIT_ASSERT(!readJournalSet(Json::object()).has_value());
    }

    void retirementStatusContainsThePhase()
    {
        CPPUNIT_ASSERT(writeRetirementStatus(false) == Json::parse(R"({"phase": "running"})"));
        CPPUNIT_ASSERT(writeRetirementStatus(true) == Json::parse(R"({"phase": "completed"})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectCodecTest);
