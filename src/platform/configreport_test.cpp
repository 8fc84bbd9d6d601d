#include "configreport.h"

#include "objectcodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Platform;
using namespace Rattandeck;
using Json = nlohmann::json;

class ConfigReportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigReportTest);
    CPPUNIT_TEST(soundDocumentHasNoFindings);
    CPPUNIT_TEST(errorsHaveAPlaceAndTheNearestName);
    CPPUNIT_TEST(valuesThatAreNotReadAreFound);
    CPPUNIT_TEST(unknownFieldsDoNotCount);
    CPPUNIT_TEST(placesOfOrganisationsAreThoseOfTheDocument);
    CPPUNIT_TEST(keysAreNeverShown);
    CPPUNIT_TEST(findingsAreBounded);
    CPPUNIT_TEST(differencesHaveThePlacesOfTheNewDocument);
    CPPUNIT_TEST(keysOfTheVersionInForceAreNeverShown);
    CPPUNIT_TEST(everyKindHasAText);
    CPPUNIT_TEST_SUITE_END();

    static Json document()
    {
        return Json::parse(R"({ "version": 7,
            "routes": [
                { "name": "chat", "host": "h", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 30000,
                  "goal_ms": 900, "priority": 1, "attempts": 2, "retain": true, "retain_s": 60, "can_resume": true,
                  "gap_target_ms": 80, "split": [ { "service": "llm", "weight": 9 }, { "service": "new", "weight": 1 } ] },
                { "name": "plain", "host": "h", "path_prefix": "/", "kind": "safe", "service": "web", "sticky": true } ],
            "services": [
                { "name": "llm", "health_path": "/health", "max_conns": 64, "protocol": "http/1.1", "tls": false,
                  "engine": { "slots": 16, "kv_capacity_tokens": 1000, "tokens_per_event": 8 } },
                { "name": "new" }, { "name": "web" } ],
            "limits": { "max_body_bytes": 1000, "idle_timeout_ms": 15000 },
            "tenants": [ { "name": "north", "api_keys": ["secret-north-1"], "priority": 0 },
                { "name": "south", "api_keys": ["secret-south-1"], "rate_per_s": 3, "burst": 9.5 } ] })");
    }

    /// The findings as text, one line each.
    static std::string lines(const Json& json)
    {
        std::string text;
        for (const ConfigFinding& finding : checkConfigDocument(json).findings)
            text += std::string(severityName(finding.severity)) + " " + describePlace(finding) + " "
                + std::string(kindName(finding.kind)) + (finding.suggestion ? " " + *finding.suggestion : "") + "\n";
        return text;
    }

    void soundDocumentHasNoFindings()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), lines(document()));
        CPPUNIT_ASSERT(checkConfigDocument(document()).config == *readConfig(document()));
    }

    void errorsHaveAPlaceAndTheNearestName()
    {
        Json json = document();
        json["routes"][1]["kind"] = "save";
        json["routes"][0].erase("host");
        json["tenants"][1]["rate_per_s"] = "many";
        CPPUNIT_ASSERT_EQUAL(std::string("error routes[0].host missing-field\nerror routes[1].kind invalid-value safe\n"
                                         "error tenants[1].rate_per_s wrong-type\n"),
            lines(json));
        CPPUNIT_ASSERT(!checkConfigDocument(json).config);
        for (const Json& broken : { Json(), Json(5), Json::array() })
            CPPUNIT_ASSERT_EQUAL(std::string("error document wrong-type\n"), lines(broken));
        CPPUNIT_ASSERT_EQUAL(
            std::string("error version missing-field\nerror routes missing-field\n"), lines(Json::object()));
        json = document();
        json["tenants"] = nullptr;
        CPPUNIT_ASSERT_EQUAL(std::string("error tenants wrong-type\n"), lines(json));
        json["tenants"] = Json::array({ 5 });
        json["routes"][0] = "chat";
        CPPUNIT_ASSERT_EQUAL(std::string("error routes[0] wrong-type\nerror tenants[0] wrong-type\n"), lines(json));
    }

    /// Guards against values that are replaced by a default without a word.
    void valuesThatAreNotReadAreFound()
    {
        Json json = document();
        json["routes"][0]["split"][1]["weight"] = -1;
        json["routes"][0]["attempts"] = 0;
        json["routes"][1]["sticky"] = "yes";
        json["services"][0]["engine"]["slots"] = 1.5;
        json["limits"]["max_body_bytes"] = 0;
        json["tenants"][0]["priority"] = 4294967296;
        json["tenants"][0]["api_keys"].push_back(5);
        CPPUNIT_ASSERT_EQUAL(std::string("warning routes[0].attempts ignored-value\n"
                                         "warning routes[0].split[1].weight ignored-value\n"
                                         "warning routes[1].sticky wrong-type\n"
                                         "warning services[0].engine.slots ignored-value\n"
                                         "warning limits.max_body_bytes ignored-value\n"
                                         "warning tenants[0].priority ignored-value\n"
                                         "warning tenants[0].api_keys[1] ignored-value\n"
                                         "warning services[1] service-without-route\n"),
            lines(json));
        CPPUNIT_ASSERT(checkConfigDocument(json).config);
        json = document();
        json["tenants"][1]["rate_per_s"] = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("warning tenants[1].burst burst-without-rate\n"), lines(json));
    }

    /// Guards against a tool that fails when the platform adds a field.
    void unknownFieldsDoNotCount()
    {
        Json json = document();
        json["routes"][0]["stickey"] = true;
        json["bounds"] = Json::object();
        json["services"][0]["engine"]["speed"] = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("notice document unknown-field\nnotice routes[0] unknown-field sticky\n"
                                         "notice services[0].engine unknown-field\n"),
            lines(json));
        CPPUNIT_ASSERT(!hasCountedFinding(checkConfigDocument(json).findings));
    }

    /// Guards against a place that is shifted by the entries that are left out.
    void placesOfOrganisationsAreThoseOfTheDocument()
    {
        Json json = document();
        json["tenants"].insert(json["tenants"].begin(), Json { { "name", "" }, { "api_keys", Json::array() } });
        json["tenants"].push_back({ { "name", "west" }, { "api_keys", Json::array() } });
        CPPUNIT_ASSERT_EQUAL(
            std::string("error tenants[0].name invalid-value\nwarning tenants[3].api_keys organisation-without-keys\n"),
            lines(json));
    }

    /// Guards against keys in the output, also those that were written in a wrong place.
    void keysAreNeverShown()
    {
        Json json = document();
        const std::string key = "secret-north-1";
        json[key] = 1;
        json["routes"][0][key] = 1;
        json["routes"][0]["name"] = key;
        json["routes"][0]["kind"] = key;
        json["routes"][1]["service"] = "x" + key;
        json["services"].push_back({ { "name", key } });
        json["tenants"].push_back({ { "name", key }, { "api_keys", Json::array({ key }) } });
        json["tenants"].push_back({ { "name", "west" }, { "api_kyes", Json::array({ "Other-Secret" }) } });
        json["tenants"].push_back({ { "name", "Other-Secret" }, { "api_keys", { { "Third-Secret", 1 } } } });
        json["tenants"].push_back({ { "name", "Third-Secret" }, { "api_keys", 5 }, { "Fourth-Secret", true } });
        std::string text;
        for (const bool hasKind : { true, false }) {
            if (!hasKind)
                json["routes"][0]["kind"] = "streaming";
            const ConfigReport report = checkConfigDocument(json);
            CPPUNIT_ASSERT(report.findings.size() > 5);
            for (const ConfigFinding& finding : report.findings)
                text += describePlace(finding) + describeFinding(finding) + writeFinding(finding).dump();
        }
        CPPUNIT_ASSERT(text.find("ecret") == std::string::npos);
        CPPUNIT_ASSERT(text.find("(hidden)") != std::string::npos);
    }

    void findingsAreBounded()
    {
        Json json = document();
        for (int count = 0; count < 30; ++count)
            json["routes"][0]["unknown" + std::to_string(count)] = 1;
        json["routes"][1].erase("kind");
        const ConfigReport report = checkConfigDocument(json, {}, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), report.findings.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), report.leftOut);
        CPPUNIT_ASSERT(report.findings[0].severity == FindingSeverity::Error);
    }

    void differencesHaveThePlacesOfTheNewDocument()
    {
        Json next = document();
        next["version"] = 8;
        next["tenants"].insert(next["tenants"].begin(), 5);
        next["tenants"][2]["rate_per_s"] = 2;
        next["routes"].erase(1);
        const auto report = checkConfigDocumentAgainst(next, document());
        std::vector<std::string> found;
        for (const ConfigFinding& finding : report.findings)
            found.push_back(describePlace(finding) + " " + std::string(kindName(finding.kind)));
        CPPUNIT_ASSERT((found
            == std::vector<std::string> { "tenants[0] wrong-type", "services[2] service-without-route",
                "routes path-unreachable", "services service-unreachable", "tenants[2].rate_per_s rate-lowered" }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("the rate of organisation \"south\" falls from 3 to 2 calls a second; with its burst of 9.5, a "
                        "caller that goes on at the former rate is refused after 9.5 s"),
            describeFinding(report.findings.back()));
    }

    /// Guards against a former key that is shown since the new document doesn't have it.
    void keysOfTheVersionInForceAreNeverShown()
    {
        Json inForce = document();
        inForce["tenants"].push_back({ { "name", "secret-north-1" }, { "api_keys", Json::array({ "k" }) } });
        Json next = document();
        next["version"] = 8;
        next["tenants"][0]["api_keys"][0] = "secret-new";
        const auto report = checkConfigDocumentAgainst(next, inForce);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), report.findings.size());
        for (const ConfigFinding& finding : report.findings)
            CPPUNIT_ASSERT(writeFinding(finding).dump().find("secret") == std::string::npos);
    }

    void everyKindHasAText()
    {
        std::set<std::string_view> names;
        constexpr auto kinds = static_cast<int>(FindingKind::IdleTimeoutLowered) + 1;
        for (int kind = 0; kind < kinds; ++kind)
            names.insert(kindName(static_cast<FindingKind>(kind)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(kinds), names.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReportTest);
