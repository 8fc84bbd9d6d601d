#include "Rattandeck/labels.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class LabelsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LabelsTest);
    CPPUNIT_TEST(eachOperatorMatches);
    CPPUNIT_TEST(allTermsMustHold);
    CPPUNIT_TEST(malformedSelectorsReportKindAndPosition);
    CPPUNIT_TEST_SUITE_END();

    const Labels labels { { "domain", "savli" }, { "service", "agent-llm" }, { "index", "3" } };

    bool selects(const std::string& text) { return matches(parseSelector(text).value(), this->labels); }

    void eachOperatorMatches()
    {
        CPPUNIT_ASSERT(this->selects(""));
        CPPUNIT_ASSERT(this->selects("domain=savli"));
        CPPUNIT_ASSERT(!this->selects("domain==por"));
        CPPUNIT_ASSERT(this->selects("domain!=por"));
        CPPUNIT_ASSERT(this->selects("absent!=por"));
        CPPUNIT_ASSERT(this->selects("domain in (por, savli)"));
        CPPUNIT_ASSERT(!this->selects("domain notin (por, savli)"));
        CPPUNIT_ASSERT(this->selects("index"));
        CPPUNIT_ASSERT(this->selects("!absent"));
        CPPUNIT_ASSERT(!this->selects("!index"));
    }

    void allTermsMustHold()
    {
        CPPUNIT_ASSERT(this->selects("domain=savli, service=agent-llm,!gpu"));
        CPPUNIT_ASSERT(!this->selects("domain=savli,service=jobcard-app"));
    }

    void malformedSelectorsReportKindAndPosition()
    {
        const auto kindOf = [](const char* text) { return parseSelector(text).error().kind; };
        CPPUNIT_ASSERT(kindOf("a=") == SelectorErrorKind::MissingValue);
        CPPUNIT_ASSERT(kindOf("a in (b") == SelectorErrorKind::UnclosedList);
        CPPUNIT_ASSERT(kindOf("a b") == SelectorErrorKind::MissingComma);
        CPPUNIT_ASSERT(kindOf("a,") == SelectorErrorKind::MissingLabel);
        CPPUNIT_ASSERT(kindOf("?") == SelectorErrorKind::BadCharacter);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, parseSelector("a ?").error().position);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LabelsTest);
