#include "configreport.h"

#include "objectcodec.h"
#include "Rattandeck/routing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>

using namespace Platform;
using namespace Rattandeck;
using Json = nlohmann::json;

/// Documents that differ from a sound one in random places. Each passes the checks or is rejected by the product, and
/// the two must agree.
class ConfigPropertyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigPropertyTest);
    CPPUNIT_TEST(onlyErrorsAreRejected);
    CPPUNIT_TEST(whatHasNoFindingsTakesEffect);
    CPPUNIT_TEST(comparisonWithItselfFindsNothing);
    CPPUNIT_TEST_SUITE_END();

    static Json sound()
    {
        return Json::parse(R"({ "version": 7,
            "routes": [
                { "name": "chat", "host": "h", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 30000,
                  "goal_ms": 900, "priority": 1, "attempts": 2, "retain": true, "retain_s": 60, "can_resume": true,
                  "split": [ { "service": "llm", "weight": 9 }, { "service": "new", "weight": 1 } ] },
                { "name": "plain", "host": "h", "path_prefix": "/", "kind": "safe", "service": "web", "public": false } ],
            "services": [
                { "name": "llm", "max_conns": 64, "engine": { "slots": 16, "kv_capacity_tokens": 9, "tokens_per_event": 8 } },
                { "name": "new" }, { "name": "web" } ],
            "limits": { "max_header_bytes": 10, "max_body_bytes": 1000, "header_timeout_ms": 1, "idle_timeout_ms": 15000 },
            "tenants": [ { "name": "north", "api_keys": ["n1", "n2"], "priority": 0 },
                { "name": "south", "api_keys": ["s1"], "rate_per_s": 3, "burst": 9.5 } ] })");
    }

    /// Values that fields of this document have, and some that they don't.
    static Json drawValue()
    {
        static const std::vector<Json> values { nullptr, true, false, 0, 1, -1, 2.5, -0.5, 65536, 4294967295,
            4294967296, 9007199254740992, 1e300, -1e300, "", "h", "/", "/chat/", "/chat", "safe", "save", "streaming",
            "llm", "web", "north", "n1", "s1", Json::array(), Json::object(), Json::array({ 5 }),
            Json::array({ "n1", "", 3 }), Json::array({ Json::object() }), Json::array({ { { "service", "llm" } } }),
            Json::array({ { { "service", "llm" }, { "weight", 0 } } }) };
        // An index, since RapidCheck shows what it drew, and can't show a `Json` that is no string.
        return values[*rc::gen::inRange<std::size_t>(0, values.size())];
    }

    /// Changes one value at a random depth: replaces, removes, copies or adds it.
    static void change(Json& value)
    {
        const bool goesDeeper = value.is_structured() && !value.empty() && *rc::gen::inRange(0, 10) != 0;
        if (!goesDeeper) {
            value = drawValue();
            return;
        }
        auto member = value.begin();
        std::advance(member, *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(value.size())));
        const int choice = *rc::gen::inRange(0, 10);
        if (choice == 0)
            value.erase(member);
        else if (choice == 1 && value.is_array())
            value.push_back(Json(*member));
        else if (choice == 1)
            value["added"] = drawValue();
        else
            change(*member);
    }

    static bool hasError(const ConfigReport& report)
    {
        return !report.findings.empty() && report.findings.front().severity == FindingSeverity::Error;
    }

    /// Changes a sound document step by step and calls `check` for each one. A change after which `check` returns false
    /// is taken back. The walk begins anew now and then, since few fields are left after many changes.
    static void walk(const std::function<bool(const Json&, const ConfigReport&)>& check)
    {
        Json document = sound();
        constexpr int changes = 200;
        constexpr int changesOfOneDocument = 5;
        for (int number = 0; number < changes; ++number) {
            if (number % changesOfOneDocument == 0)
                document = sound();
            Json changed = document;
            change(changed);
            if (check(changed, checkConfigDocument(changed)))
                document = std::move(changed);
        }
    }

    static void expectEffect(const RoutingConfig& config)
    {
        const RouteTable table(config);
        for (const Route& route : config.routes) {
            const Route* found = table.find(route.host, route.pathPrefix + "x");
            RC_ASSERT(found && *found == route && !found->services.empty());
            RC_ASSERT(table.service(chooseService(*found, "x")) != nullptr);
        }
        if (!table.organisations())
            return;
        for (const Organisation& organisation : table.organisations()->organisations()) {
            RC_ASSERT(!organisation.keys.empty());
            for (const KeyDigest& key : organisation.keys)
                RC_ASSERT(table.organisations()->findByKey(key)->id == organisation.id);
        }
    }

    /// Guards against a configuration that passes and is not adopted, and against one that is stopped although gateways
    /// adopt it as it is.
    void onlyErrorsAreRejected()
    {
        CPPUNIT_ASSERT(rc::check([] {
            walk([](const Json& document, const ConfigReport& report) {
                std::vector<DecodeError> skipped;
                const auto config = readConfig(document, &skipped);
                const bool isAccepted = config.has_value() && skipped.empty();
                RC_ASSERT(isAccepted == !hasError(report));
                RC_ASSERT(report.config.has_value() == config.has_value());
                return isAccepted;
            });
        }));
    }

    void whatHasNoFindingsTakesEffect()
    {
        CPPUNIT_ASSERT(rc::check([] {
            walk([](const Json&, const ConfigReport& report) {
                if (hasCountedFinding(report.findings))
                    return false;
                expectEffect(*report.config);
                return true;
            });
        }));
    }

    void comparisonWithItselfFindsNothing()
    {
        CPPUNIT_ASSERT(rc::check([] {
            walk([](const Json& document, const ConfigReport& report) {
                // Compared with another version, it must only end.
                checkConfigDocumentAgainst(document, sound());
                if (!report.config)
                    return false;
                checkConfigDocumentAgainst(sound(), document);
                RC_ASSERT(checkConfigDocumentAgainst(document, document).findings == report.findings);
                return true;
            });
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigPropertyTest);
