#include "callerapi.h"

#include "../librattandecknet/testloop.h"

#include <optional>

using namespace RattandeckLoad;
using namespace RattandeckNet;

class CallerApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerApiTest);
    CPPUNIT_TEST(refusalWithRetryTimeIsRetried);
    CPPUNIT_TEST(lostAnswerIsRetriedAtTheNextEntryWithTheSameKey);
    CPPUNIT_TEST(refusalWithoutRetryTimeIsNotRetried);
    CPPUNIT_TEST(streamWithoutFinalEventIsIncomplete);
    CPPUNIT_TEST_SUITE_END();

    using Handler = HttpServer::Handler;

    TestLoop test;
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<Address> entries;
    std::optional<ApiOutcome> outcome;

    void addEntry(Handler handler)
    {
        this->servers.push_back(std::make_unique<HttpServer>(this->test.loop, HttpLimits {}, std::move(handler)));
        CPPUNIT_ASSERT(this->servers.back()->listen({ "127.0.0.1", 0 }).has_value());
        this->entries.push_back({ "127.0.0.1", this->servers.back()->port() });
    }

    static void refuse(const HttpResponder& responder, const std::string& ran, int retryAfterMs)
    {
        const Json body { { "type", "urn:rattandeck:problem:overloaded" }, { "ran", ran },
            { "retry_after_ms", retryAfterMs } };
        responder.send({ 429, { { "content-type", "application/problem+json" } }, body.dump() });
    }

    void call(CallerApi& api, const ApiCall& call)
    {
        api.call(call, [this](const ApiOutcome& result) { this->outcome = result; });
        this->test.runUntil("the call ends", [this] { return this->outcome.has_value(); });
    }

    void refusalWithRetryTimeIsRetried()
    {
        int requests = 0;
        this->addEntry([&](const HttpRequest&, const HttpResponder& responder) {
            if (++requests < 3)
                refuse(responder, "no", 1);
            else
                responder.send({ 200, {}, "{\"turn\":1}" });
        });
        CallerApi api(this->test.loop, this->entries);
        this->call(api, {});
        CPPUNIT_ASSERT(std::get<Json>(*this->outcome) == Json({ { "turn", 1 } }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), api.statistics().refusals.at("overloaded"));
    }

    void lostAnswerIsRetriedAtTheNextEntryWithTheSameKey()
    {
        std::vector<std::string> keys;
        this->addEntry([&](const HttpRequest& request, const HttpResponder& responder) {
            keys.push_back("first " + request.headers.at("idempotency-key"));
            responder.abort();
        });
        this->addEntry([&](const HttpRequest& request, const HttpResponder& responder) {
            keys.push_back("second " + request.headers.at("idempotency-key"));
            responder.send({ 200, {}, "{}" });
        });
        CallerApi api(this->test.loop, this->entries);
        ApiCall call;
        call.key = "k";
        this->call(api, call);
        CPPUNIT_ASSERT(std::holds_alternative<Json>(*this->outcome));
        CPPUNIT_ASSERT((std::vector<std::string> { "first k", "second k" }) == keys);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), api.statistics().brokenConnections);
    }

    void refusalWithoutRetryTimeIsNotRetried()
    {
        int requests = 0;
        this->addEntry([&](const HttpRequest&, const HttpResponder& responder) {
            ++requests;
            refuse(responder, "no", 0);
        });
        CallerApi api(this->test.loop, this->entries);
        this->call(api, {});
        CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), std::get<ApiProblem>(*this->outcome).name);
        CPPUNIT_ASSERT_EQUAL(1, requests);
    }

    void streamWithoutFinalEventIsIncomplete()
    {
        const std::string tokens = "event: tokens\ndata: {\"text\":\"a\",\"tokens\":1}\n\n";
        std::string stream = tokens;
        this->addEntry([&](const HttpRequest& request, const HttpResponder& responder) {
            CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), request.headers.at("accept"));
            responder.send({ 200, { { "content-type", "text/event-stream" } }, stream });
        });
        CallerApi api(this->test.loop, this->entries);
        api.stopRetries();
        ApiCall call;
        call.streamed = true;
        this->call(api, call);
        CPPUNIT_ASSERT(std::holds_alternative<GaveUp>(*this->outcome));

        this->outcome.reset();
        stream = tokens + "event: done\ndata: {\"output\":\"a\"}\n\n";
        this->call(api, call);
        CPPUNIT_ASSERT(std::get<Json>(*this->outcome) == Json({ { "output", "a" } }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallerApiTest);
