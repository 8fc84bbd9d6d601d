#include "RattandeckApp/callerjson.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckApp;
using namespace Rattandeck;

class CallerJsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerJsonTest);
    CPPUNIT_TEST(callIsRead);
    CPPUNIT_TEST(errorsOfMalformedRequestsNameTheField);
    CPPUNIT_TEST(keyedCallNeedsAKey);
    CPPUNIT_TEST(problemTellsWhetherTheCallRan);
    CPPUNIT_TEST_SUITE_END();

    void callIsRead()
    {
        const auto call = readCall({ ShardId(1), Epoch(2), 3 }, R"({"input":"hello","turn":4,"idempotent":false})",
            { { "idempotency-key", "k" }, { "x-deadline-ms", "250" } });
        CPPUNIT_ASSERT(call);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), call->input);
        CPPUNIT_ASSERT(call->turn == TurnNumber(4) && !call->idempotent);
        CPPUNIT_ASSERT(call->key == IdempotencyKey("k") && call->timeLeft == Milliseconds(250));
    }

    void errorsOfMalformedRequestsNameTheField()
    {
        const auto field = [](const std::string& body) { return readOpening(body).error().field; };
        CPPUNIT_ASSERT_EQUAL(std::string(""), field("[]"));
        CPPUNIT_ASSERT_EQUAL(std::string("organisation"), field("{}"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("aim_ms"), field(R"({"organisation":"o","service":"s","aim_ms":-1,"budget_tokens":5})"));
        CPPUNIT_ASSERT_EQUAL(std::string("colour"),
            field(R"({"organisation":"o","service":"s","aim_ms":1,"budget_tokens":5,"colour":1})"));
        const auto call = readCall({}, R"({"input":"x"})", { { "x-deadline-ms", "soon" } });
        CPPUNIT_ASSERT_EQUAL(std::string("X-Deadline-Ms"), call.error().field);
    }

    void keyedCallNeedsAKey()
    {
        const std::string body = R"({"organisation":"o","service":"s","input":"x"})";
        CPPUNIT_ASSERT_EQUAL(std::string("Idempotency-Key"), readKeyedCall(body, {}).error().field);
        CPPUNIT_ASSERT(readKeyedCall(body, { { "idempotency-key", "k" } }));
    }

    void problemTellsWhetherTheCallRan()
    {
        const std::string json = toJson(Problem { ProblemKind::OutcomeUnknown, Ran::Unknown, Milliseconds(0), "" });
        CPPUNIT_ASSERT(json.find(R"("ran":"unknown")") != std::string::npos);
        CPPUNIT_ASSERT(json.find("urn:rattandeck:problem:outcome-unknown") != std::string::npos);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallerJsonTest);
