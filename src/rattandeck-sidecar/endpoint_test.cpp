#include "endpoint.h"

#include "../librattandecknet/testloop.h"

#include <nlohmann/json.hpp>

#include <map>

using namespace Rattandeck;
using namespace RattandeckNet;

namespace {

const HttpHeaders eventStream { { "content-type", "text/event-stream" } };

}

class EndpointTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndpointTest);
    CPPUNIT_TEST(engineStreamsTokensAndTotals);
    CPPUNIT_TEST(brokenStreamCountsAsCrash);
    CPPUNIT_TEST(incompleteStreamCountsAsError);
    CPPUNIT_TEST(malformedStreamCountsAsError);
    CPPUNIT_TEST(refusedConnectionAndStatus503CountAsNotStarted);
    CPPUNIT_TEST(hangingCompletionTimesOutAndIsCancelledAtEngine);
    CPPUNIT_TEST(cancelledCompletionIsCancelledAtEngine);
    CPPUNIT_TEST(failedReleaseIsRetried);
    CPPUNIT_TEST(releaseOfAllPrefixesNamesNoProgram);
    CPPUNIT_TEST(cacheEventsArePolledContinuously);
    CPPUNIT_TEST(plainServiceGetsIdempotencyKeyAndReturnsWholeAnswer);
    CPPUNIT_TEST(brokenPlainCallCountsAsCrash);
    CPPUNIT_TEST(fencingNumberIsSentOnlyIfEndpointChecksIt);
    CPPUNIT_TEST_SUITE_END();

    using Handler = std::function<void(const HttpRequest&, const HttpResponder&)>;

    TestLoop test;
    std::unique_ptr<HttpServer> server;
    std::map<std::string, Handler> pages;
    std::map<std::string, std::vector<HttpRequest>> requests;
    std::string tokens;
    std::optional<EndpointResult> result;
    std::optional<EndpointFailure> failure;
    std::vector<ProgramId> evicted;

    void serve()
    {
        this->server = std::make_unique<HttpServer>(
            this->test.loop, HttpLimits {}, [this](const HttpRequest& request, const HttpResponder& responder) {
                this->requests[request.path].push_back(request);
                const auto page = this->pages.find(request.path);
                if (page != this->pages.end())
                    page->second(request, responder);
            });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", 0 }).has_value());
    }

    EndpointSettings settings() const
    {
        EndpointSettings settings { { "127.0.0.1", this->server->port() } };
        settings.requestPrefix = "sidecar-1-7";
        settings.retryDelay = Milliseconds(1);
        return settings;
    }

    EndpointHandlers handlers()
    {
        EndpointHandlers handlers;
        handlers.onTokens = [this](OrderId, const std::string& text, TokenCount count) {
            this->tokens += text + "/" + std::to_string(count.value) + " ";
        };
        handlers.onFinished = [this](OrderId, const EndpointResult& finished) { this->result = finished; };
        handlers.onFailed = [this](OrderId, EndpointFailure failed) { this->failure = failed; };
        handlers.onPrefixEvicted = [this](ProgramId program) { this->evicted.push_back(program); };
        return handlers;
    }

    static EndpointCall call()
    {
        EndpointCall call { OrderId(5) };
        call.program = { ShardId(1), Epoch(2), 3 };
        call.prompt = "tank history";
        call.promptTokens = TokenCount(4);
        call.maxOutputTokens = TokenCount(20);
        call.timeLeft = Milliseconds(15000);
        call.epoch = Epoch(9);
        return call;
    }

    void awaitEnd()
    {
        this->test.runUntil("end of the call", [this] { return this->result || this->failure; });
    }

    /// Starts a call at an engine that answers completions with `page`, and waits for the end of the call.
    void complete(Handler page)
    {
        this->pages["/v1/completions"] = std::move(page);
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        engine.start(call());
        this->awaitEnd();
    }

    void engineStreamsTokensAndTotals()
    {
        this->complete([](const HttpRequest&, const HttpResponder& responder) {
            responder.begin(200, eventStream);
            responder.write("data: {\"text\":\"rack \",\"tokens\":1}\n\nda");
            responder.write("ta: {\"text\":\"7\",\"tokens\":2}\r\n\r\n");
            responder.write("data: {\"done\":true,\"output_tokens\":3,\"cached_tokens\":1,\"prefilled_tokens\":4}\n\n");
            responder.write("data: [DONE]\n\n");
            responder.end();
        });
        CPPUNIT_ASSERT_EQUAL(std::string("rack /1 7/2 "), this->tokens);
        CPPUNIT_ASSERT(this->result);
        CPPUNIT_ASSERT_EQUAL(std::string("rack 7"), this->result->output);
        CPPUNIT_ASSERT(this->result->outputTokens == TokenCount(3));
        CPPUNIT_ASSERT(this->result->cachedTokens == TokenCount(1));
        CPPUNIT_ASSERT(this->result->prefilledTokens == TokenCount(4));
        const auto body = nlohmann::json::parse(this->requests["/v1/completions"].front().body);
        const nlohmann::json expected { { "request_id", "sidecar-1-7-5" }, { "program", "s1.e2.n3" },
            { "prompt", "tank history" }, { "prompt_tokens", 4 }, { "max_tokens", 20 }, { "priority", 0.0 },
            { "stream", true } };
        CPPUNIT_ASSERT_EQUAL(expected, body);
    }

    void brokenStreamCountsAsCrash()
    {
        this->complete([](const HttpRequest&, const HttpResponder& responder) {
            responder.begin(200, eventStream);
            responder.write("data: {\"text\":\"rack \",\"tokens\":1}\n\n");
            responder.abort();
        });
        CPPUNIT_ASSERT(this->failure == EndpointFailure::Crashed);
    }

    void incompleteStreamCountsAsError()
    {
        this->complete([](const HttpRequest&, const HttpResponder& responder) {
            responder.begin(200, eventStream);
            responder.write("data: {\"text\":\"rack \",\"tokens\":1}\n\ndata: [DONE]\n\n");
            responder.end();
        });
        CPPUNIT_ASSERT(this->failure == EndpointFailure::Error);
    }

    void malformedStreamCountsAsError()
    {
        this->complete([](const HttpRequest&, const HttpResponder& responder) {
            responder.begin(200, eventStream);
            responder.write("data: {\"text\":\n\ndata: {\"done\":true,\"output_tokens\":0}\n\n");
            responder.end();
        });
        CPPUNIT_ASSERT(this->failure == EndpointFailure::Error);
    }

    void refusedConnectionAndStatus503CountAsNotStarted()
    {
        this->complete([](const HttpRequest&, const HttpResponder& responder) { responder.send({ 503 }); });
        CPPUNIT_ASSERT(this->failure == EndpointFailure::NotStarted);

        this->failure.reset();
        const EndpointSettings closed = this->settings();
        this->server.reset();
        const Endpoint engine = makeEngine(this->test.loop, closed, this->handlers());
        engine.start(call());
        this->awaitEnd();
        CPPUNIT_ASSERT(this->failure == EndpointFailure::NotStarted);
    }

    void hangingCompletionTimesOutAndIsCancelledAtEngine()
    {
        std::vector<HttpResponder> unanswered;
        this->pages["/v1/completions"]
            = [&](const HttpRequest&, const HttpResponder& responder) { unanswered.push_back(responder); };
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        EndpointCall urgent = call();
        urgent.timeLeft = Milliseconds(20);
        engine.start(urgent);
        this->awaitEnd();
        CPPUNIT_ASSERT(this->failure == EndpointFailure::TimedOut);
        this->test.runUntil("request at the engine", [this] { return !this->requests["/v1/cancel"].empty(); });
    }

    void cancelledCompletionIsCancelledAtEngine()
    {
        std::vector<HttpResponder> unanswered;
        this->pages["/v1/completions"]
            = [&](const HttpRequest&, const HttpResponder& responder) { unanswered.push_back(responder); };
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        engine.start(call());
        this->test.runUntil("start of the completion", [&] { return !unanswered.empty(); });
        engine.cancel(OrderId(5));
        this->test.runUntil("request at the engine", [this] { return !this->requests["/v1/cancel"].empty(); });
        const auto body = nlohmann::json::parse(this->requests["/v1/cancel"].front().body);
        CPPUNIT_ASSERT_EQUAL(std::string("sidecar-1-7-5"), body.at("request_id").get<std::string>());
        CPPUNIT_ASSERT(!this->result && !this->failure);
    }

    void failedReleaseIsRetried()
    {
        this->pages["/v1/release"] = [this](const HttpRequest&, const HttpResponder& responder) {
            responder.send({ this->requests["/v1/release"].size() < 3 ? 500 : 200 });
        };
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        engine.release({ ShardId(1), Epoch(2), 3 });
        this->test.runUntil("third release request", [this] { return this->requests["/v1/release"].size() == 3; });
    }

    void releaseOfAllPrefixesNamesNoProgram()
    {
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        engine.releaseAll();
        this->test.runUntil("request at the engine", [this] { return !this->requests["/v1/release"].empty(); });
        const auto body = nlohmann::json::parse(this->requests["/v1/release"].front().body);
        CPPUNIT_ASSERT_EQUAL(nlohmann::json({ { "all", true } }), body);
    }

    void cacheEventsArePolledContinuously()
    {
        this->pages["/v1/events"] = [](const HttpRequest& request, const HttpResponder& responder) {
            if (request.query.at("after") == "0")
                responder.send({ 200, {}, R"({"next":2,"dropped":["s1.e2.n3","not a program"]})" });
            else if (request.query.at("after") == "2")
                responder.send({ 200, {}, R"({"next":3,"dropped":["s1.e2.n4"]})" });
        };
        this->serve();
        const Endpoint engine = makeEngine(this->test.loop, this->settings(), this->handlers());
        this->test.runUntil("two evicted prefixes", [this] { return this->evicted.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), this->evicted[1].serial);
    }

    void plainServiceGetsIdempotencyKeyAndReturnsWholeAnswer()
    {
        this->pages["/call"] = [](const HttpRequest&, const HttpResponder& responder) {
            responder.send({ 200, {}, "slip 12" });
        };
        this->serve();
        const Endpoint service = makePlainService(this->test.loop, this->settings(), this->handlers());
        EndpointCall keyed = call();
        keyed.key = IdempotencyKey("invoice-7");
        service.start(keyed);
        this->awaitEnd();
        CPPUNIT_ASSERT(this->result && this->result->output == "slip 12");
        const HttpRequest& seen = this->requests["/call"].front();
        CPPUNIT_ASSERT_EQUAL(std::string("invoice-7"), seen.headers.at("idempotency-key"));
        CPPUNIT_ASSERT_EQUAL(std::string("tank history"), seen.body);
    }

    void brokenPlainCallCountsAsCrash()
    {
        this->pages["/call"] = [](const HttpRequest&, const HttpResponder& responder) { responder.abort(); };
        this->serve();
        const Endpoint service = makePlainService(this->test.loop, this->settings(), this->handlers());
        service.start(call());
        this->awaitEnd();
        CPPUNIT_ASSERT(this->failure == EndpointFailure::Crashed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests["/call"].size());
    }

    void fencingNumberIsSentOnlyIfEndpointChecksIt()
    {
        for (const bool checks : { false, true }) {
            EndpointSettings settings { { "127.0.0.1", 1 } };
            settings.sendFence = checks;
            const HttpHeaders headers = fenceHeaders(settings, call());
            CPPUNIT_ASSERT_EQUAL(checks, headers.contains("fencing-number"));
            CPPUNIT_ASSERT(!checks || headers.at("fencing-number") == "9");
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);
