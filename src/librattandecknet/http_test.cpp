#include "RattandeckNet/http.h"

#include "testloop.h"

#include <algorithm>
#include <ctime>
#include <map>
#include <vector>

using namespace RattandeckNet;

using Outcome = std::optional<tl::expected<HttpResponse, NetError>>;

constexpr std::chrono::milliseconds longTime { 15000 };
constexpr std::chrono::milliseconds connectTimeout { 250 };

class HttpTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(handlerSeesCurrentTimeAfterAPause);
    CPPUNIT_TEST(timeWithoutAGapInTheConnectionsIsKnown);
    CPPUNIT_TEST(lossOfAllConnectionsIsReportedIfTheServerIsGone);
    CPPUNIT_TEST(lossOfAllConnectionsIsNotReportedIfTheServerAcceptsANewOne);
    CPPUNIT_TEST(announcedEndOfTheLastConnectionIsNotReported);
    CPPUNIT_TEST(lossIsReportedOnceIfNewConnectionsEndAtOnce);
    CPPUNIT_TEST(requestsReuseOneConnection);
    CPPUNIT_TEST(responseIsStreamed);
    CPPUNIT_TEST(abortedResponseFailsTheCall);
    CPPUNIT_TEST(droppedResponderAnswers500);
    CPPUNIT_TEST(exceededLimitsGetErrorStatus);
    CPPUNIT_TEST(incompleteRequestTimesOut);
    CPPUNIT_TEST(tooManyConnectionsGet503);
    CPPUNIT_TEST(cancelledCallIsReportedToTheServer);
    CPPUNIT_TEST(slowReaderIsDisconnected);
    CPPUNIT_TEST(errorTellsWhetherTheRequestWasSent);
    CPPUNIT_TEST(requestOfATimedOutCallMayArriveLater);
    CPPUNIT_TEST(callStartedLongAfterTheLastHandlerHasItsWholeTimeout);
    CPPUNIT_TEST(closedIdleConnectionIsReplaced);
    CPPUNIT_TEST(unsolicitedResponseIsNotDeliveredToALaterCall);
    CPPUNIT_TEST(answerToAnotherCallIsSkipped);
    CPPUNIT_TEST(connectionIsNotReusedAfterAResponseWithoutAName);
    CPPUNIT_TEST(idleConnectionIsNotReusedNearItsKeepAliveTimeout);
    CPPUNIT_TEST(connectionAttemptTimesOut);
    CPPUNIT_TEST(rawTargetIsForwardedUnchanged);
    CPPUNIT_TEST(malformedAndOversizedResponsesFail);
    CPPUNIT_TEST(stopCompletesRequestsInFlight);
    CPPUNIT_TEST(requestThatCrossesTheCloseIsNotRead);
    CPPUNIT_TEST_SUITE_END();

    TestLoop test;
    std::unique_ptr<HttpServer> server;

    std::uint16_t serve(HttpServer::Handler handler, HttpLimits limits = {}, std::uint16_t port = 0)
    {
        this->server = std::make_unique<HttpServer>(this->test.loop, limits, std::move(handler));
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", port }).has_value());
        return this->server->port();
    }

    tl::expected<HttpResponse, NetError> fetch(HttpClient& client, const HttpRequest& request,
        std::chrono::milliseconds timeout = longTime, std::size_t maxBody = 1 << 20U)
    {
        Outcome outcome;
        client.fetch(
            request, timeout, [&](auto result) { outcome = std::move(result); }, maxBody);
        CPPUNIT_ASSERT(!outcome);
        this->test.runUntil("the call ends", [&] { return outcome.has_value(); });
        return *outcome;
    }

    static HttpRequest post(std::string path, std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = std::move(path);
        request.body = std::move(body);
        return request;
    }

    void handlerSeesCurrentTimeAfterAPause()
    {
        const auto clock = [] {
            timespec time {};
            clock_gettime(CLOCK_BOOTTIME, &time);
            return Rattandeck::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
        };
        Rattandeck::TimePoint end;
        Rattandeck::TimePoint seen;
        this->test.loop.post([&] {
            const auto begin = clock();
            while (clock() - begin < std::chrono::milliseconds(2)) { }
            end = clock();
            this->test.loop.post([&] { seen = this->test.loop.timers().now(); });
        });
        this->test.runUntil("the task runs", [&] { return seen != Rattandeck::TimePoint(); });
        CPPUNIT_ASSERT(seen >= end);
    }

    void timeWithoutAGapInTheConnectionsIsKnown()
    {
        const auto port = this->serve([](const HttpRequest&, const HttpResponder& responder) {
            responder.send({ 200, {}, "body" });
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        CPPUNIT_ASSERT(!client.connectedSince());
        CPPUNIT_ASSERT(this->fetch(client, post("/", "")).has_value());
        const auto since = client.connectedSince();
        CPPUNIT_ASSERT(since.has_value());
        CPPUNIT_ASSERT(this->fetch(client, post("/", "")).has_value());
        CPPUNIT_ASSERT(client.connectedSince() == since);
        // The process ends, and another one starts at its address.
        this->server.reset();
        this->test.runUntil("the connection is closed", [&] { return !client.connectedSince(); });
        this->serve(
            [](const HttpRequest&, const HttpResponder& responder) {
                responder.send({ 200, {}, "body" });
            },
            {}, port);
        CPPUNIT_ASSERT(this->fetch(client, post("/", "")).has_value());
        CPPUNIT_ASSERT(client.connectedSince() > since);
    }

    enum class ConnectionEnd { ProcessEnded, BrokenAnswer, IdleTimeout };

    /// Runs a call and waits until its connection has ended. Returns how often a loss was reported by then and in the
    /// time that a new connection may take.
    int lossesAfterACall(ConnectionEnd end)
    {
        HttpLimits limits;
        limits.idleTimeout = std::chrono::milliseconds(end == ConnectionEnd::IdleTimeout ? 600 : 20000);
        HttpHeaders headers;
        if (end != ConnectionEnd::IdleTimeout)
            headers["keep-alive"] = "timeout=20";
        const auto port = this->serve(
            [&](const HttpRequest&, const HttpResponder& responder) {
                if (end == ConnectionEnd::BrokenAnswer)
                    responder.abort();
                else
                    responder.send({ 200, headers, "body" });
            },
            limits);
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        client.setConnectTimeout(connectTimeout);
        int losses = 0;
        client.onLost([&losses] { ++losses; });
        CPPUNIT_ASSERT(this->fetch(client, post("/", "")).has_value() == (end != ConnectionEnd::BrokenAnswer));
        if (end == ConnectionEnd::ProcessEnded)
            this->server.reset();
        if (end != ConnectionEnd::BrokenAnswer)
            this->test.runUntil("the connection is closed", [&] { return !client.connectedSince(); });
        this->waitFor(2 * connectTimeout);
        return losses;
    }

    void waitFor(std::chrono::milliseconds duration)
    {
        bool isOver = false;
        this->test.loop.timers().subscribeAfter(duration, [&] { isOver = true; });
        this->test.runUntil("time has passed", [&] { return isOver; });
    }

    void lossOfAllConnectionsIsReportedIfTheServerIsGone()
    {
        CPPUNIT_ASSERT_EQUAL(1, this->lossesAfterACall(ConnectionEnd::ProcessEnded));
    }

    void lossOfAllConnectionsIsNotReportedIfTheServerAcceptsANewOne()
    {
        CPPUNIT_ASSERT_EQUAL(0, this->lossesAfterACall(ConnectionEnd::BrokenAnswer));
    }

    void announcedEndOfTheLastConnectionIsNotReported()
    {
        CPPUNIT_ASSERT_EQUAL(0, this->lossesAfterACall(ConnectionEnd::IdleTimeout));
    }

    /// The server accepts connections and ends them at once: it is tried once.
    void lossIsReportedOnceIfNewConnectionsEndAtOnce()
    {
        const RawListener listener;
        HttpClient client(this->test.loop, { "127.0.0.1", listener.port });
        client.setConnectTimeout(connectTimeout);
        int losses = 0;
        client.onLost([&losses] { ++losses; });
        Outcome outcome;
        client.fetch({}, longTime, [&](auto result) { outcome = result; });
        int accepted = 0;
        this->test.runUntil("a loss is reported", [&] {
            if (listener.accept())
                ++accepted;
            return losses > 0;
        });
        this->waitFor(2 * connectTimeout);
        CPPUNIT_ASSERT_EQUAL(1, losses);
        CPPUNIT_ASSERT_EQUAL(2, accepted);
        CPPUNIT_ASSERT(!listener.accept());
    }

    void requestsReuseOneConnection()
    {
        HttpRequest seen;
        const auto port = this->serve([&](const HttpRequest& request, const HttpResponder& responder) {
            seen = request;
            responder.send({ 201, { { "x-answer", "a\r\nb" } }, request.body + "!" });
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        HttpRequest request = post("/a b/c", std::string(100000, 'x'));
        request.query["q"] = "1&2=ü";
        request.headers["X-Test"] = "yes";
        for (int i = 0; i < 3; ++i) {
            const auto response = this->fetch(client, request);
            CPPUNIT_ASSERT(response.has_value());
            CPPUNIT_ASSERT_EQUAL(201, response->status);
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), response->headers.at("x-answer"));
            CPPUNIT_ASSERT(response->body == request.body + "!");
        }
        CPPUNIT_ASSERT_EQUAL(request.path, seen.path);
        CPPUNIT_ASSERT_EQUAL(request.query["q"], seen.query["q"]);
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), seen.headers["x-test"]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->server->openConnections());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->inFlight());
    }

    void responseIsStreamed()
    {
        std::optional<HttpResponder> streaming;
        const auto port = this->serve([&](const HttpRequest&, const HttpResponder& responder) {
            responder.begin(200, { { "content-type", "text/plain" } });
            responder.write("one");
            streaming = responder;
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        std::string body;
        std::optional<tl::expected<void, NetError>> end;
        HttpCallbacks callbacks;
        callbacks.onData = [&](std::string_view chunk) { body += chunk; };
        callbacks.onEnd = [&](auto outcome) { end = outcome; };
        client.start({}, longTime, std::move(callbacks));
        this->test.runUntil("the first part arrives alone", [&] { return body == "one"; });
        CPPUNIT_ASSERT(!end);
        streaming->write("");
        streaming->write("two");
        streaming->end();
        streaming->write("ignored");
        this->test.runUntil("the answer ends", [&] { return end.has_value(); });
        CPPUNIT_ASSERT(end->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("onetwo"), body);
    }

    void abortedResponseFailsTheCall()
    {
        const auto port = this->serve([&](const HttpRequest& request, const HttpResponder& responder) {
            if (request.path == "/half") {
                responder.begin(200, {});
                responder.write("part");
            }
            responder.abort();
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        CPPUNIT_ASSERT(this->fetch(client, post("/half", "")).error() == NetError::Broken);
        CPPUNIT_ASSERT(this->fetch(client, post("/none", "")).error() == NetError::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->inFlight());
    }

    void droppedResponderAnswers500()
    {
        const auto port = this->serve([](const HttpRequest&, const HttpResponder&) {});
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        CPPUNIT_ASSERT_EQUAL(500, this->fetch(client, {})->status);
    }

    void exceededLimitsGetErrorStatus()
    {
        HttpLimits limits;
        limits.maxHeaderBytes = 2048;
        limits.maxBodyBytes = 1000;
        int handled = 0;
        const auto port = this->serve(
            [&](const HttpRequest&, const HttpResponder& responder) {
                ++handled;
                responder.send({});
            },
            limits);
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        HttpRequest longHeader;
        longHeader.headers["x-long"] = std::string(5000, 'a');
        CPPUNIT_ASSERT_EQUAL(431, this->fetch(client, longHeader)->status);
        CPPUNIT_ASSERT_EQUAL(413, this->fetch(client, post("/", std::string(1001, 'a')))->status);
        CPPUNIT_ASSERT_EQUAL(0, handled);
        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, post("/", std::string(1000, 'a')))->status);

        const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        this->expectRawResponse(port, "no such thing\r\n\r\n", "HTTP/1.1 400");
        this->expectRawResponse(port, chunked + "1;" + std::string(60000, 'e'), "HTTP/1.1 431");
        this->expectRawResponse(port, chunked + "ffffffffffffffff\r\n", "HTTP/1.1 413");
        this->expectRawResponse(port, "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 413");
        CPPUNIT_ASSERT_EQUAL(1, handled);
    }

    void expectRawResponse(std::uint16_t port, const std::string& request, const std::string& answer)
    {
        RawSocket socket(port);
        socket.write(request);
        this->test.runUntil("the server closes", [&] { return socket.readUntilClosed(); });
        CPPUNIT_ASSERT_EQUAL(answer, socket.received.substr(0, answer.size()));
    }

    void incompleteRequestTimesOut()
    {
        HttpLimits limits;
        limits.readTimeout = std::chrono::seconds(1);
        const auto port
            = this->serve([](const HttpRequest&, const HttpResponder& responder) { responder.send({}); }, limits);
        this->expectRawResponse(port, "GET / HTT", "HTTP/1.1 408");
        this->test.runUntil("the connection is closed", [&] { return this->server->openConnections() == 0; });
    }

    void tooManyConnectionsGet503()
    {
        HttpLimits limits;
        limits.maxConnections = 1;
        const auto port
            = this->serve([](const HttpRequest&, const HttpResponder& responder) { responder.send({}); }, limits);
        RawSocket first(port);
        this->test.runUntil("the first is accepted", [&] { return this->server->openConnections() == 1; });
        this->expectRawResponse(port, "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 503");
        first.write("GET / HTTP/1.1\r\n\r\n");
        this->test.runUntil("the first is served", [&] {
            first.readUntilClosed();
            return first.received.starts_with("HTTP/1.1 200");
        });
    }

    void cancelledCallIsReportedToTheServer()
    {
        std::optional<HttpResponder> open;
        bool isClientClosed = false;
        const auto port = this->serve([&](const HttpRequest&, const HttpResponder& responder) {
            open = responder;
            responder.onClosed([&] { isClientClosed = true; });
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        bool isEnded = false;
        HttpCallbacks callbacks;
        callbacks.onEnd = [&](auto) { isEnded = true; };
        const auto call = client.start({}, longTime, std::move(callbacks));
        this->test.runUntil("the request arrives", [&] { return open.has_value(); });
        client.cancel(call);
        this->test.runUntil("the server notices", [&] { return isClientClosed; });
        CPPUNIT_ASSERT(!isEnded);
        open->send({});
    }

    void slowReaderIsDisconnected()
    {
        HttpLimits limits;
        limits.maxUnsentBytes = 1 << 20U;
        bool isClientClosed = false;
        std::size_t written = 0;
        const auto port = this->serve(
            [&](const HttpRequest&, const HttpResponder& responder) {
                responder.begin(200, {});
                responder.onClosed([&] { isClientClosed = true; });
                // Far more than the socket buffers hold.
                for (int i = 0; i < 1000; ++i) {
                    responder.write(std::string(1 << 16U, 'x'));
                    written += 1 << 16U;
                }
            },
            limits);
        RawSocket socket(port, 4096);
        socket.write("GET / HTTP/1.1\r\n\r\n");
        this->test.runUntil("the reader is disconnected", [&] { return isClientClosed; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->openConnections());
    }

    /// Answers `/answered` and keeps the responders of all other requests. The client may reuse the connection of the
    /// answered call for as long as a test can last.
    static HttpServer::Handler keepUnanswered(std::map<std::string, HttpResponder>& unanswered)
    {
        return [&unanswered](const HttpRequest& request, const HttpResponder& responder) {
            if (request.path == "/answered")
                responder.send({ 200, { { "keep-alive", "timeout=3600" } }, "" });
            else
                unanswered.emplace(request.path, responder);
        };
    }

    static HttpRequest get(std::string path)
    {
        HttpRequest request;
        request.path = std::move(path);
        return request;
    }

    void errorTellsWhetherTheRequestWasSent()
    {
        std::map<std::string, HttpResponder> unanswered;
        const auto port = this->serve(keepUnanswered(unanswered));
        HttpClient client(this->test.loop, { "127.0.0.1", port }, 1);
        const auto held = client.fetch(get("/held"), longTime, [](const auto&) {});
        this->test.runUntil("the first arrives", [&] { return unanswered.contains("/held"); });
        const auto waiting = this->fetch(client, get("/waiting"), std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(waiting.error() == NetError::NotSent);
        client.cancel(held);

        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, get("/answered"))->status);
        // A call on an open connection is sent at once, so that it can't time out before.
        const auto sent = this->fetch(client, get("/sent"), std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(sent.error() == NetError::TimedOut);
        // The server may read the request later than the client gives it up.
        this->test.runUntil("the sent one arrives", [&] { return unanswered.contains("/sent"); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), unanswered.size());

        this->server.reset();
        CPPUNIT_ASSERT(this->fetch(client, {}).error() == NetError::ConnectFailed);
        HttpClient nowhere(this->test.loop, { "not-a-number", 1 });
        CPPUNIT_ASSERT(this->fetch(nowhere, {}).error() == NetError::BadAddress);
    }

    void requestOfATimedOutCallMayArriveLater()
    {
        std::map<std::string, HttpResponder> unanswered;
        TestLoop serverLoop;
        HttpServer slowServer(serverLoop.loop, {}, keepUnanswered(unanswered));
        CPPUNIT_ASSERT(slowServer.listen({ "127.0.0.1", 0 }).has_value());
        HttpClient client(this->test.loop, { "127.0.0.1", slowServer.port() }, 1);
        Outcome answered;
        client.fetch(get("/answered"), longTime, [&](auto result) { answered = std::move(result); });
        this->test.runUntil("the connection is open", [&] {
            serverLoop.loop.post([&] { serverLoop.loop.stop(); });
            serverLoop.loop.run();
            return answered.has_value();
        });

        // The server's loop doesn't run until the call has timed out.
        const auto sent = this->fetch(client, get("/sent"), std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(sent.error() == NetError::TimedOut);
        CPPUNIT_ASSERT(unanswered.empty());
        serverLoop.runUntil("the request arrives", [&] { return unanswered.contains("/sent"); });
    }

    void callStartedLongAfterTheLastHandlerHasItsWholeTimeout()
    {
        constexpr std::chrono::milliseconds timeout { 100 };
        std::vector<HttpResponder> unanswered;
        const auto port
            = this->serve([&](const HttpRequest&, const HttpResponder& responder) { unanswered.push_back(responder); });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        // The loop doesn't run meanwhile.
        const auto pauseEnd = std::chrono::steady_clock::now() + 2 * timeout;
        while (std::chrono::steady_clock::now() < pauseEnd) { }
        const auto startedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(!this->fetch(client, {}, timeout).has_value());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt >= timeout);
    }

    void closedIdleConnectionIsReplaced()
    {
        const auto answer = [](const HttpRequest&, const HttpResponder& responder) { responder.send({}); };
        const auto port = this->serve(answer);
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, {})->status);
        // The loop doesn't run between the close and the next call, so the client must check the connection itself.
        this->server.reset();
        this->serve(answer, {}, port);
        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, {})->status);
    }

    /// Waits for a request on the next connection to `listener` and answers it with `bytes`.
    std::unique_ptr<RawSocket> respondRaw(const RawListener& listener, std::string_view bytes)
    {
        std::unique_ptr<RawSocket> socket;
        this->test.runUntil("a connection is accepted", [&] {
            socket = listener.accept();
            return socket != nullptr;
        });
        this->test.runUntil("a request arrives", [&] {
            socket->readUntilClosed();
            return socket->received.ends_with("\r\n\r\n");
        });
        socket->write(bytes);
        return socket;
    }

    void unsolicitedResponseIsNotDeliveredToALaterCall()
    {
        const RawListener listener;
        HttpClient client(this->test.loop, { "127.0.0.1", listener.port });
        Outcome first;
        client.fetch({}, longTime, [&](auto result) { first = result; });
        const auto socket = this->respondRaw(listener, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
        this->test.runUntil("the first ends", [&] { return first.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), first.value()->body);

        // The client's loop doesn't run between the unsolicited response and the next call.
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        Outcome second;
        client.fetch({}, longTime, [&](auto result) { second = result; });
        const auto next = this->respondRaw(
            listener, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        this->test.runUntil("the second ends", [&] { return second.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), second.value()->body);
    }

    void answerToAnotherCallIsSkipped()
    {
        RawListener listener;
        HttpClient client(this->test.loop, { "127.0.0.1", listener.port });
        std::string body;
        std::optional<tl::expected<void, NetError>> outcome;
        HttpCallbacks callbacks;
        callbacks.isOwn = [](const HttpHeaders& headers) { return headers.at("name") == "mine"; };
        callbacks.onData = [&](std::string_view bytes) { body += bytes; };
        callbacks.onEnd = [&](tl::expected<void, NetError> result) { outcome = result; };
        client.start({}, std::chrono::seconds(5), callbacks);
        std::unique_ptr<RawSocket> socket;
        this->test.runUntil("connected", [&] { return socket || (socket = listener.accept()); });
        socket->write("HTTP/1.1 200 OK\r\nName: other\r\nContent-Length: 5\r\n\r\nwrong");
        socket->write("HTTP/1.1 200 OK\r\nName: mine\r\nContent-Length: 5\r\n\r\nright");
        this->test.runUntil("answered", [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("right"), body);
    }

    /// Guards against review/2: a second copy of a refusal that names no request was taken for the response to the next
    /// request on the connection, which had run and was sent elsewhere again.
    void connectionIsNotReusedAfterAResponseWithoutAName()
    {
        for (const bool isNamed : { true, false }) {
            RawListener listener;
            HttpClient client(this->test.loop, { "127.0.0.1", listener.port });
            int answered = 0;
            HttpCallbacks callbacks;
            callbacks.isNamed = [](const HttpHeaders& headers) { return headers.contains("name"); };
            callbacks.onEnd = [&](const auto& result) { answered += result ? 1 : 0; };
            client.start({}, std::chrono::seconds(5), callbacks);
            std::unique_ptr<RawSocket> first;
            this->test.runUntil("connected", [&] { return first || (first = listener.accept()); });
            const std::string name = isNamed ? "Name: x\r\n" : "";
            first->write("HTTP/1.1 503 Busy\r\nKeep-Alive: timeout=20\r\n" + name + "Content-Length: 0\r\n\r\n");
            this->test.runUntil("answered", [&] { return answered == 1; });
            client.start({}, std::chrono::seconds(5), callbacks);
            std::unique_ptr<RawSocket> second;
            this->test.runUntil("the next request is sent", [&] {
                first->readUntilClosed();
                second = second ? std::move(second) : listener.accept();
                return second || std::ranges::count(first->received, 'G') == 2;
            });
            CPPUNIT_ASSERT_EQUAL(isNamed, !second);
        }
    }

    void idleConnectionIsNotReusedNearItsKeepAliveTimeout()
    {
        RawListener listener;
        HttpClient client(this->test.loop, { "127.0.0.1", listener.port });
        int answered = 0;
        const auto fetch = [&] {
            client.fetch({}, std::chrono::seconds(5), [&](const auto& result) { answered += result ? 1 : 0; });
        };
        fetch();
        std::unique_ptr<RawSocket> first;
        this->test.runUntil("connected", [&] { return first || (first = listener.accept()); });
        first->write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n");
        this->test.runUntil("answered", [&] { return answered == 1; });
        // After this time the client no longer reuses the connection, although the server would still keep it.
        const auto until = this->test.loop.timers().now() + std::chrono::milliseconds(700);
        this->test.runUntil("waited", [&] { return this->test.loop.timers().now() >= until; });
        fetch();
        std::unique_ptr<RawSocket> second;
        this->test.runUntil("connected anew", [&] { return second || (second = listener.accept()); });
        second->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        this->test.runUntil("answered again", [&] { return answered == 2; });
    }

    void connectionAttemptTimesOut()
    {
        RawListener listener;
        // A listener ignores connections beyond its backlog, as a machine without power does.
        std::vector<std::unique_ptr<HttpClient>> others;
        std::optional<NetError> error;
        for (int i = 0; i < 12 && !error; ++i) {
            others.push_back(std::make_unique<HttpClient>(this->test.loop, Address { "127.0.0.1", listener.port }));
            others.back()->setConnectTimeout(std::chrono::milliseconds(300));
            others.back()->fetch({}, std::chrono::seconds(20), [&error](const auto& result) {
                if (!result)
                    error = result.error();
            });
        }
        this->test.runUntil("the connection attempt times out", [&] { return error.has_value(); });
        CPPUNIT_ASSERT(error == NetError::NotSent);
    }

    void rawTargetIsForwardedUnchanged()
    {
        std::string target;
        const std::uint16_t port = this->serve([&](const HttpRequest& request, const HttpResponder& responder) {
            target = request.target;
            responder.send({ 200, {}, {} });
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        HttpRequest request;
        request.target = "/a%2Fb/~x?z=1&y&z=%20";
        bool isDone = false;
        client.fetch(request, std::chrono::seconds(5), [&](const auto&) { isDone = true; });
        this->test.runUntil("answered", [&] { return isDone; });
        CPPUNIT_ASSERT_EQUAL(request.target, target);
    }

    void malformedAndOversizedResponsesFail()
    {
        const RawListener listener;
        HttpClient raw(this->test.loop, { "127.0.0.1", listener.port });
        const auto expect = [&](std::string_view answer, NetError error) {
            Outcome outcome;
            raw.fetch({}, longTime, [&](auto result) { outcome = result; });
            // The connection is closed after the response.
            this->respondRaw(listener, answer).reset();
            this->test.runUntil("the call ends", [&] { return outcome.has_value(); });
            CPPUNIT_ASSERT(outcome->error() == error);
        };
        expect("SMTP ready\r\n\r\n", NetError::Malformed);
        expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", NetError::Malformed);
        expect("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", NetError::Broken);
        expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", NetError::Broken);
        expect("", NetError::Broken);

        const auto port = this->serve([](const HttpRequest&, const HttpResponder& responder) {
            responder.send({ 200, {}, std::string(5000, 'x') });
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        CPPUNIT_ASSERT(this->fetch(client, {}, longTime, 4999).error() == NetError::TooLarge);
        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, {}, longTime, 5000)->status);
    }

    /// Guards against a request that is read and dropped: its client can't know that it may be sent again, as it can if
    /// the connection is reset.
    void requestThatCrossesTheCloseIsNotRead()
    {
        int handled = 0;
        const auto port = this->serve([&handled](const HttpRequest&, const HttpResponder& responder) {
            ++handled;
            responder.send({ 200, {}, "body" });
        });
        this->server->closeAfterAnswers(true);
        RawSocket socket(port);
        socket.write("GET / HTTP/1.1\r\n\r\n");
        this->test.runUntil("the answer arrives", [&] { return socket.readUntilClosed(); });
        CPPUNIT_ASSERT(socket.received.ends_with("body"));
        socket.write("GET / HTTP/1.1\r\n\r\n");
        this->test.runUntil("the connection is reset", [&] { return socket.wasReset(); });
        CPPUNIT_ASSERT_EQUAL(1, handled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->openConnections());
    }

    void stopCompletesRequestsInFlight()
    {
        std::optional<HttpResponder> open;
        const auto port = this->serve([&](const HttpRequest& request, const HttpResponder& responder) {
            if (request.path == "/slow")
                open = responder;
            else
                responder.send({});
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        Outcome slow;
        client.fetch(post("/slow", ""), longTime, [&](auto result) { slow = result; });
        CPPUNIT_ASSERT_EQUAL(200, this->fetch(client, {})->status);
        this->test.runUntil("the slow one arrives", [&] { return open.has_value(); });
        this->server->stopAccepting();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->server->inFlight());
        this->test.runUntil("idle ones close", [&] { return this->server->openConnections() == 1; });
        CPPUNIT_ASSERT(this->fetch(client, {}).error() == NetError::ConnectFailed);
        open->send({});
        this->test.runUntil("the slow one ends", [&] { return slow.has_value(); });
        CPPUNIT_ASSERT_EQUAL(200, slow.value()->status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), slow.value()->headers.at("connection"));
        this->test.runUntil("all are closed", [&] { return this->server->openConnections() == 0; });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
