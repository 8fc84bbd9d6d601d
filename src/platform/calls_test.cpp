#include "calls.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Platform;
using namespace Rattandeck;
using namespace RattandeckNet;

class CallsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallsTest);
    CPPUNIT_TEST(turnIsDecoded);
    CPPUNIT_TEST(malformedFieldsAreLeftEmpty);
    CPPUNIT_TEST(requestToTheInstanceKeepsTheCallersFields);
    CPPUNIT_TEST(memoryControlHeadersOfCallersAreRemoved);
    CPPUNIT_TEST(keyIsDecoded);
    CPPUNIT_TEST(malformedKeysAreNone);
    CPPUNIT_TEST(keyIsRemovedAndOrganisationSet);
    CPPUNIT_TEST(withoutOrganisationsTheRequestIsAsBefore);
    CPPUNIT_TEST(answerHeadersAreDecoded);
    CPPUNIT_TEST(loadWithPaceIsDecoded);
    CPPUNIT_TEST(loadWithFurtherFiguresIsDecoded);
    CPPUNIT_TEST(unreadableLoadIsReported);
    CPPUNIT_TEST(furtherFiguresOfACallAreIgnored);
    CPPUNIT_TEST(limitIsDecoded);
    CPPUNIT_TEST(valuesThatAreNoLimitAreIgnored);
    CPPUNIT_TEST(answerToAnotherRequestIsDetected);
    CPPUNIT_TEST(refusalStatusMatchesItsReason);
    CPPUNIT_TEST(leaveOfAnInstanceIsDecoded);
    CPPUNIT_TEST(startTimeOfAProcessIsDecoded);
    CPPUNIT_TEST_SUITE_END();

    static HttpRequest request()
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/p/x%20y?q=1";
        request.headers = { { "host", "h" }, { "request-id", "r1" }, { "deadline-ms", "3000" },
            { "token-counts", "1840,572" }, { "length-hint", "240" }, { "token-budget", "4576" }, { "program-id", "p" },
            { "session-id", "s" }, { "prompt-prefix", "5c1e:800, 91bd:410" }, { "previous-turn", "r0" },
            { "cookie", "other=1; Affinity-Key=17" }, { "connection", "close, x-hop" }, { "x-hop", "1" },
            { "x-kept", "2" }, { "last-event-id", "4" }, { "resumes", "r-1" } };
        request.body = "body";
        return request;
    }

    void leaveOfAnInstanceIsDecoded()
    {
        CPPUNIT_ASSERT(!readAnswer(200, {}).isLeaving && readAnswer(200, {}).invalidLeaving.empty());
        for (const int status : { 200, 421, 503 })
            CPPUNIT_ASSERT(readAnswer(status, { { "server-leaving", "1" } }).isLeaving);
        for (const char* text : { "0", "yes", "1, 1" }) {
            const EndpointAnswer answer = readAnswer(200, { { "server-leaving", text } });
            CPPUNIT_ASSERT(!answer.isLeaving);
            CPPUNIT_ASSERT_EQUAL(std::string(text), answer.invalidLeaving);
        }
        CPPUNIT_ASSERT(readAnswer(421, { { "instance-id", "i-2" } }).answeredBy == EndpointId("i-2"));
    }

    void startTimeOfAProcessIsDecoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/api/report"), writeReportRequest().path);
        CPPUNIT_ASSERT(readStartTime({ 200, {}, R"({"sequence":2,"born":1789651618728})" }) == 1789651618728);
        CPPUNIT_ASSERT(!readStartTime({ 400, {}, R"({"born":1})" }));
        for (const char* body : { "", "born", "[1]", "{}", R"({"born":"1"})", R"({"born":1.5})", R"({"born":null})" })
            CPPUNIT_ASSERT(!readStartTime({ 200, {}, body }));
    }

    void turnIsDecoded()
    {
        const GatewayCall call = readCall(request());
        CPPUNIT_ASSERT(call.request == TurnId("r1") && call.previousTurn == TurnId("r0"));
        CPPUNIT_ASSERT_EQUAL(std::string("/p/x%20y"), call.path);
        CPPUNIT_ASSERT(call.timeLeft == Milliseconds(3000) && call.tokenLimit == TokenCount(4576));
        CPPUNIT_ASSERT(call.maxOutputTokens == TokenCount(572));
        CPPUNIT_ASSERT(call.expectedOutputTokens == TokenCount(240));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), call.prompt.size());
        CPPUNIT_ASSERT(call.prompt[1].id == PromptPartId("91bd") && call.prompt[1].tokens == TokenCount(410));
        CPPUNIT_ASSERT_EQUAL(std::string("17"), call.subject);
        CPPUNIT_ASSERT_EQUAL(std::string("4"), call.resumeAfter);
        CPPUNIT_ASSERT(call.resumedRequest == TurnId("r-1"));
    }

    void malformedFieldsAreLeftEmpty()
    {
        HttpRequest bad;
        bad.target = "/";
        bad.headers = { { "deadline-ms", "soon" }, { "token-budget", "1e3" }, { "prompt-prefix", "a:1,b" },
            { "token-counts", "5" }, { "length-hint", "long" } };
        const GatewayCall call = readCall(bad);
        CPPUNIT_ASSERT(!call.timeLeft && !call.tokenLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), call.prompt.size());
        CPPUNIT_ASSERT(call.maxOutputTokens == TokenCount(0));
        CPPUNIT_ASSERT(!call.expectedOutputTokens);
    }

    static EndpointSend send()
    {
        EndpointSend send;
        send.endpoint = EndpointId("i-1");
        send.timeLeft = Milliseconds(1234);
        return send;
    }

    void requestToTheInstanceKeepsTheCallersFields()
    {
        const HttpRequest written = writeCall(request(), send());
        CPPUNIT_ASSERT_EQUAL(std::string("/p/x%20y?q=1"), written.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), written.body);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), written.headers.at("expect-instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("1234"), written.headers.at("deadline-ms"));
        CPPUNIT_ASSERT(written.headers.contains("x-kept") && !written.headers.contains("x-hop"));
        CPPUNIT_ASSERT(!written.headers.contains("request-priority"));
        EndpointSend changed = send();
        changed.body = "whole prompt";
        changed.resumeAfter = "7";
        changed.priority = 3;
        const HttpRequest resumed = writeCall(request(), changed);
        CPPUNIT_ASSERT_EQUAL(std::string("whole prompt"), resumed.body);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), resumed.headers.at("last-event-id"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), resumed.headers.at("request-priority"));
    }

    static std::optional<KeyDigest> keyIn(const std::string& authorization)
    {
        HttpRequest withKey = request();
        withKey.headers["authorization"] = authorization;
        return readCall(withKey).key;
    }

    void keyIsDecoded()
    {
        CPPUNIT_ASSERT(!readCall(request()).key);
        for (const char* text : { "Token k-1", "Token   k-1", "Token k-1 ", "token k-1", "TOKEN k-1" })
            CPPUNIT_ASSERT(keyIn(text) == digestOfKey("k-1"));
        CPPUNIT_ASSERT(keyIn("Token k-1") != keyIn("Token K-1"));
        // Hidden from the instance by the caller, but read before that.
        HttpRequest hopByHop = request();
        hopByHop.headers["authorization"] = "Token k-1";
        hopByHop.headers["connection"] = "authorization";
        CPPUNIT_ASSERT(readCall(hopByHop).key == digestOfKey("k-1"));
    }

    void malformedKeysAreNone()
    {
        for (const char* text : { "", " ", "Token", "Token ", "Token  ", "k-1", "Bearer k-1", "Tokenk-1", "Token\tk-1",
                 "Basic dG9rZW4=", "Tokens k-1", "Toke k-1", ",Token k-1" })
            CPPUNIT_ASSERT(!keyIn(text));
        // Two keys are none that an organisation holds.
        CPPUNIT_ASSERT(keyIn("Token k-1, Token k-1") != digestOfKey("k-1"));
    }

    /// Guards against a key, or an organisation of the caller's choice, that reaches an instance.
    void keyIsRemovedAndOrganisationSet()
    {
        HttpRequest withKey = request();
        withKey.headers["authorization"] = "Token k-1";
        withKey.headers["tenant"] = "forged";
        EndpointSend known = send();
        known.hasOrganisations = true;
        known.organisation = OrganisationId("north");
        const HttpRequest written = writeCall(withKey, known);
        CPPUNIT_ASSERT(!written.headers.contains("authorization"));
        CPPUNIT_ASSERT_EQUAL(std::string("north"), written.headers.at("tenant"));
        known.organisation.reset();
        const HttpRequest ofNobody = writeCall(withKey, known);
        CPPUNIT_ASSERT(!ofNobody.headers.contains("authorization") && !ofNobody.headers.contains("tenant"));
        // A caller can't have the organisation removed as a header of its connection.
        withKey.headers["connection"] = "tenant";
        known.organisation = OrganisationId("north");
        CPPUNIT_ASSERT_EQUAL(std::string("north"), writeCall(withKey, known).headers.at("tenant"));
    }

    /// Guards against a change for deployments without organisations.
    void withoutOrganisationsTheRequestIsAsBefore()
    {
        HttpRequest withKey = request();
        withKey.headers["authorization"] = "Token k-1";
        withKey.headers["tenant"] = "any";
        const HttpRequest written = writeCall(withKey, send());
        HttpHeaders expected = withKey.headers;
        expected.erase("connection");
        expected.erase("x-hop");
        expected["expect-instance"] = "i-1";
        expected["deadline-ms"] = "1234";
        CPPUNIT_ASSERT(written.headers == expected);
        CPPUNIT_ASSERT_EQUAL(withKey.body, written.body);
        CPPUNIT_ASSERT_EQUAL(withKey.target, written.target);
    }

    void memoryControlHeadersOfCallersAreRemoved()
    {
        HttpRequest withControlHeaders = request();
        for (const char* name : { "hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "expect-version" })
            withControlHeaders.headers[name] = "1";
        withControlHeaders.headers["expect-instance"] = "other";
        const HttpRequest written = writeCall(withControlHeaders, send());
        for (const char* name : { "hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "expect-version" })
            CPPUNIT_ASSERT(!written.headers.contains(name));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), written.headers.at("expect-instance"));
    }

    void answerHeadersAreDecoded()
    {
        const EndpointAnswer answer
            = readAnswer(200, { { "content-type", "text/event-stream" }, { "server-load", "3,1,8" } });
        CPPUNIT_ASSERT(answer.isEventStream && !answer.isNotRun);
        CPPUNIT_ASSERT(answer.load && answer.load->running == 3 && answer.load->waiting == 1);
        CPPUNIT_ASSERT(!answer.isSigned && readAnswer(200, { { "response-seal", "3e1b" } }).isSigned);
        CPPUNIT_ASSERT(!answer.statesItsEnd && readAnswer(200, { { "content-length", "0" } }).statesItsEnd);
        CPPUNIT_ASSERT(readAnswer(200, { { "transfer-encoding", "chunked" } }).statesItsEnd);
        CPPUNIT_ASSERT(readAnswer(503, { { "not-run", "1" } }).isNotRun);
        CPPUNIT_ASSERT(!readAnswer(503, {}).isNotRun);
        CPPUNIT_ASSERT(readAnswer(421, {}).isNotRun);
        for (const int status : { 408, 421, 429, 503 })
            CPPUNIT_ASSERT(readAnswer(status, {}).meaning == StatusMeaning::NotRun);
        CPPUNIT_ASSERT(readAnswer(402, {}).meaning == StatusMeaning::BudgetSpent);
        for (const int status : { 404, 410 })
            CPPUNIT_ASSERT(readAnswer(status, {}).meaning == StatusMeaning::UnknownTurn);
        for (const int status : { 200, 400, 401, 403, 413, 500, 502, 504 })
            CPPUNIT_ASSERT(readAnswer(status, {}).meaning == StatusMeaning::None);
        CPPUNIT_ASSERT(!readAnswer(200, { { "server-load", "a,b" } }).load);
    }

    static void checkLoad(const std::string& text, std::uint32_t running, std::optional<double> pace)
    {
        const EndpointAnswer answer = readAnswer(200, { { "server-load", text } });
        CPPUNIT_ASSERT_MESSAGE(text, answer.load.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, running, answer.load->running);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint32_t(16), answer.load->slots);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, pace.has_value(), answer.load->pace.has_value());
        if (pace)
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(text, *pace, answer.load->pace->value, 1e-9);
        CPPUNIT_ASSERT_MESSAGE(text, answer.invalidLoad.empty());
    }

    /// Guards against reports that are discarded whole because they state the pace, so that no load is known.
    void loadWithPaceIsDecoded()
    {
        checkLoad("3,1,16", 3, std::nullopt);
        checkLoad("3,1,16,100", 3, 100);
        checkLoad("5, 0, 16, 250", 5, 250);
        checkLoad("5,0,16,87.5", 5, 87.5);
    }

    /// Guards against the same fault with the next figure that instances state.
    void loadWithFurtherFiguresIsDecoded()
    {
        checkLoad("3,1,16,100,7", 3, 100);
        checkLoad("3,1,16,100,x=1,2", 3, 100);
        checkLoad("3,1,16,", 3, std::nullopt);
    }

    void unreadableLoadIsReported()
    {
        CPPUNIT_ASSERT(readAnswer(200, {}).invalidLoad.empty());
        for (const char* text : { "", "a,b", "3,1", "-1,0,16", "3;1;16", "3,1,16.5", "99999999999,0,16" }) {
            const EndpointAnswer answer = readAnswer(200, { { "server-load", text } });
            CPPUNIT_ASSERT_MESSAGE(text, !answer.load);
            CPPUNIT_ASSERT_MESSAGE(text, !answer.invalidLoad.empty());
        }
        // The load counts although the pace can't be read.
        for (const char* text : { "3,1,16,0", "3,1,16,-5", "3,1,16,nan", "3,1,16,fast", "3,1,16,1e9", "3,1,16,inf" }) {
            const EndpointAnswer answer = readAnswer(200, { { "server-load", text } });
            CPPUNIT_ASSERT_MESSAGE(text, answer.load && answer.load->running == 3 && !answer.load->pace);
            CPPUNIT_ASSERT_EQUAL(std::string(text), answer.invalidLoad);
        }
    }

    /// Guards against calls whose token counts or prompt parts say more than is known here: their claims were lost.
    void furtherFiguresOfACallAreIgnored()
    {
        HttpRequest extended = request();
        extended.headers["token-counts"] = "1840,572,64";
        extended.headers["length-hint"] = "240, 80";
        extended.headers["prompt-prefix"] = "5c1e:800:1, 91bd:410";
        const GatewayCall call = readCall(extended);
        CPPUNIT_ASSERT(call.maxOutputTokens == TokenCount(572));
        CPPUNIT_ASSERT(call.expectedOutputTokens == TokenCount(240));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), call.prompt.size());
        CPPUNIT_ASSERT(call.prompt[0].tokens == TokenCount(800));
    }

    void limitIsDecoded()
    {
        CPPUNIT_ASSERT(!readAnswer(200, {}).limit && readAnswer(200, {}).invalidLimit.empty());
        CPPUNIT_ASSERT_EQUAL(6.5, readAnswer(200, { { "server-limit", "6.5" } }).limit->value);
        CPPUNIT_ASSERT_EQUAL(0.0, readAnswer(200, { { "server-limit", "0" } }).limit->value);
        CPPUNIT_ASSERT_EQUAL(120.0, readAnswer(200, { { "server-limit", " 120 " } }).limit->value);
    }

    void valuesThatAreNoLimitAreIgnored()
    {
        const std::string huge(400, '9');
        for (const std::string& text :
            { std::string("-3"), std::string("nan"), std::string("inf"), std::string("1e400"), std::string(""),
                std::string("6, 6"), std::string("6 a second"), std::string("1.2.3"), std::string("."), huge }) {
            const EndpointAnswer answer = readAnswer(200, { { "server-limit", text } });
            CPPUNIT_ASSERT_MESSAGE(text, !answer.limit);
            CPPUNIT_ASSERT_MESSAGE(text, !answer.invalidLimit.empty());
        }
    }

    void answerToAnotherRequestIsDetected()
    {
        CPPUNIT_ASSERT(isAnswerTo({ { "request-id", "r1" } }, TurnId("r1")));
        CPPUNIT_ASSERT(!isAnswerTo({ { "request-id", "r2" } }, TurnId("r1")));
        CPPUNIT_ASSERT(isAnswerTo({}, TurnId("r1")));
    }

    static int statusOf(RejectionReason reason, bool mayHaveRun)
    {
        return writeRefusal({ reason, mayHaveRun, Milliseconds(250) }, TurnId("r")).status;
    }

    void refusalStatusMatchesItsReason()
    {
        CPPUNIT_ASSERT_EQUAL(404, statusOf(RejectionReason::NoRoute, false));
        CPPUNIT_ASSERT_EQUAL(404, statusOf(RejectionReason::UnknownTurn, false));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(RejectionReason::KeyUnknown, false));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(RejectionReason::TurnOwnerUnknown, false));
        CPPUNIT_ASSERT_EQUAL(402, statusOf(RejectionReason::BudgetSpent, false));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(RejectionReason::Overloaded, false));
        CPPUNIT_ASSERT_EQUAL(502, statusOf(RejectionReason::Overloaded, true));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(RejectionReason::TimedOut, false));
        CPPUNIT_ASSERT_EQUAL(504, statusOf(RejectionReason::TimedOut, true));
        CPPUNIT_ASSERT_EQUAL(502, statusOf(RejectionReason::AnswerLost, true));
        const HttpResponse response
            = writeRefusal({ RejectionReason::Overloaded, false, Milliseconds(250) }, TurnId("r"));
        CPPUNIT_ASSERT_EQUAL(std::string("0.250"), response.headers.at("retry-after"));
        CPPUNIT_ASSERT_EQUAL(std::string("r"), response.headers.at("request-id"));
        CPPUNIT_ASSERT(!response.headers.contains("www-authenticate"));
        const HttpResponse unauthorized = writeRefusal({ RejectionReason::KeyUnknown, false, {} }, TurnId("r"));
        CPPUNIT_ASSERT(!unauthorized.headers.contains("retry-after"));
        // Required with 401 (RFC 9110, 15.5.2).
        CPPUNIT_ASSERT_EQUAL(std::string("Token"), unauthorized.headers.at("www-authenticate"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallsTest);
