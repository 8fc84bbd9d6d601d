#include "RattandeckApp/settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckApp;
using Rattandeck::Milliseconds;

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(validValuesAreAssigned);
    CPPUNIT_TEST(allErrorsAreReportedAndNothingIsAssigned);
    CPPUNIT_TEST(unknownKeySuggestsTheNearestKey);
    CPPUNIT_TEST(syntaxErrorHasItsPosition);
    CPPUNIT_TEST(missingRequiredKeyIsAnError);
    CPPUNIT_TEST(printedSettingsCanBeLoaded);
    CPPUNIT_TEST(differencesListChangedKeys);
    CPPUNIT_TEST_SUITE_END();

    std::int64_t limit = 5;
    std::string level = "info";
    std::string node;
    std::vector<std::string> peers;
    Milliseconds lease { 6000 };
    double ratio = 0.1;
    SettingsSchema schema;

public:
    void setUp() override
    {
        this->schema.addRequiredString("node", this->node, "name of this instance");
        this->schema.addInteger("limits.calls", this->limit, 1, 10, "calls at once");
        this->schema.addChoice("log.level", this->level, { "info", "debug" }, "lowest level written");
        this->schema.addStringList("peers", this->peers, "addresses of peers");
        this->schema.addMilliseconds("lease.duration_ms", this->lease, Milliseconds(100), Milliseconds(60000), "lease");
        this->schema.addNumber("limits.retry_ratio", this->ratio, 0, 1, "retries per first attempt");
    }

private:
    std::vector<std::string> errorsOf(const std::string& text)
    {
        std::vector<std::string> texts;
        const auto result = this->schema.load(text, "x.toml");
        CPPUNIT_ASSERT(!result);
        for (const SettingsError& error : result.error())
            texts.push_back(describe(error));
        return texts;
    }

    void validValuesAreAssigned()
    {
        const char* text = "node = 'a'\npeers = ['b:1', 'c:2']\n[limits]\ncalls = 7\n[lease]\nduration_ms = 900\n";
        CPPUNIT_ASSERT(this->schema.load(text, "x.toml"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, this->limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->peers.size());
        CPPUNIT_ASSERT(this->lease == Milliseconds(900));
    }

    void allErrorsAreReportedAndNothingIsAssigned()
    {
        const auto errors
            = this->errorsOf("node = 'a'\n[limits]\ncalls = 11\nretry_ratio = 'x'\n[log]\nlevel = 'loud'\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string("x.toml:3:9: 'limits.calls' must be between 1 and 10"), errors[0]);
        CPPUNIT_ASSERT(this->node.empty());
    }

    void unknownKeySuggestsTheNearestKey()
    {
        const auto errors = this->errorsOf("node = 'a'\n[lease]\nduration = 5\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, errors.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("x.toml:3:12: unknown key 'lease.duration'; did you mean 'lease.duration_ms'?"), errors[0]);
    }

    void syntaxErrorHasItsPosition()
    {
        const auto errors = this->errorsOf("node = 'a'\nlimits = \n");
        CPPUNIT_ASSERT(errors[0].starts_with("x.toml:2:"));
    }

    void missingRequiredKeyIsAnError()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("x.toml: 'node' is missing"), this->errorsOf("peers = []")[0]);
    }

    void printedSettingsCanBeLoaded()
    {
        CPPUNIT_ASSERT(this->schema.load("node = 'a \"quoted\" name'\n[limits]\nretry_ratio = 1", "x.toml"));
        const std::string printed = this->schema.print();
        CPPUNIT_ASSERT(this->schema.load(printed, "printed.toml"));
        CPPUNIT_ASSERT_EQUAL(printed, this->schema.print());
    }

    void differencesListChangedKeys()
    {
        std::int64_t otherLimit = 5;
        SettingsSchema one;
        SettingsSchema other;
        one.addInteger("limits.calls", this->limit, 1, 10, "calls at once");
        other.addInteger("limits.calls", otherLimit, 1, 10, "calls at once");
        CPPUNIT_ASSERT(one.differences(other).empty());
        otherLimit = 6;
        CPPUNIT_ASSERT(one.differences(other) == std::vector<std::string> { "limits.calls" });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
