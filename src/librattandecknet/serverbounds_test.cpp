#include "RattandeckNet/http.h"

#include "testloop.h"

#include <optional>
#include <vector>

using namespace RattandeckNet;
using std::chrono::milliseconds;

/// Clients that misbehave: what a server holds for them, and what it does to others.
class ServerBoundsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerBoundsTest);
    CPPUNIT_TEST(unneededBodyIsAnsweredOnItsHead);
    CPPUNIT_TEST(connectionIsReusedAfterAnUnneededBody);
    CPPUNIT_TEST(unneededBodyIsNotAskedFor);
    CPPUNIT_TEST(unneededBodyThatStopsEndsTheConnection);
    CPPUNIT_TEST(tooManyFieldsGet431);
    CPPUNIT_TEST(aLimitOfBytesAloneAllowsAsManyFieldsAsFit);
    CPPUNIT_TEST(tooManyFieldsInAHeadWithoutEndGet431);
    CPPUNIT_TEST(tooManyFieldsInTrailersGet431);
    CPPUNIT_TEST(bodyWithManyLinesIsAccepted);
    CPPUNIT_TEST(slowBodyIsServed);
    CPPUNIT_TEST(stalledBodyGets408);
    CPPUNIT_TEST(largestBodyIsServedInCalm);
    CPPUNIT_TEST(bodyBeyondTheBudgetGets503AndDoesNotRun);
    CPPUNIT_TEST(chunkedBodyBeyondTheBudgetGets503AndDoesNotRun);
    CPPUNIT_TEST(stalledBodyMakesRoomForAnother);
    CPPUNIT_TEST(smallRequestIsServedWhenLargeOnesHaveTakenAll);
    CPPUNIT_TEST(nothingStaysCountedAfterTheEnd);
    CPPUNIT_TEST(unusedConnectionMakesRoomForANewOne);
    CPPUNIT_TEST(writerIsToldWhenTheReaderFallsBehindAndCatchesUp);
    CPPUNIT_TEST(pausedAnswerIsReadOnAfterIt);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024UL * 1024;

    // Outlives the connections, which end with the loop.
    MemoryBudget budget { 16 * megabyte };
    TestLoop test;
    std::unique_ptr<HttpServer> server;
    std::vector<HttpRequest> requests;

    /// Serves every request with an empty answer.
    std::uint16_t serve(HttpLimits limits = {}, HttpServer::NeedsBody needsBody = nullptr)
    {
        return this->serveWith(
            [this](HttpRequest request, const HttpResponder& responder) {
                this->requests.push_back(std::move(request));
                responder.send({});
            },
            limits, std::move(needsBody));
    }

    std::uint16_t serveWith(
        HttpServer::Handler handler, HttpLimits limits = {}, HttpServer::NeedsBody needsBody = nullptr)
    {
        this->server = std::make_unique<HttpServer>(this->test.loop, limits, this->budget, std::move(handler));
        if (needsBody)
            this->server->setNeedsBody(std::move(needsBody));
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", 0 }).has_value());
        return this->server->port();
    }

    static bool needsNone(const HttpRequest&) { return false; }

    /// Sends all of `text`, also if the socket takes only a part at a time.
    void send(RawSocket& socket, const std::string& text)
    {
        constexpr std::size_t piece = 64UL * 1024;
        for (std::size_t sent = 0; sent < text.size(); sent += piece) {
            socket.write(std::string_view(text).substr(sent, piece));
            this->pass(milliseconds(1));
        }
    }

    void pass(milliseconds time)
    {
        bool isOver = false;
        this->test.loop.timers().subscribeAfter(time, [&isOver] { isOver = true; });
        this->test.runUntil("time passes", [&] { return isOver; });
    }

    void expectAnswer(RawSocket& socket, const std::string& start, std::size_t count = 1)
    {
        this->test.runUntil("answer " + start, [&] {
            const bool isClosed = socket.readUntilClosed();
            std::size_t found = 0;
            for (std::size_t at = 0; (at = socket.received.find(start, at)) != std::string::npos; ++at)
                ++found;
            CPPUNIT_ASSERT_MESSAGE(socket.received, found >= count || !isClosed);
            return found >= count;
        });
    }

    static std::string head(std::size_t length, const std::string& fields = "")
    {
        return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n" + fields + "\r\n";
    }

    // Bodies that are not needed ---------------------------------------------------------------------------------

    void unneededBodyIsAnsweredOnItsHead()
    {
        RawSocket socket(this->serve({}, needsNone));
        socket.write(head(4 * megabyte) + "begin");
        this->expectAnswer(socket, "HTTP/1.1 200");
        CPPUNIT_ASSERT(this->requests.at(0).isBodyOmitted);
        CPPUNIT_ASSERT(this->requests.at(0).body.empty());
        CPPUNIT_ASSERT(this->budget.used() < megabyte / 4);
    }

    void connectionIsReusedAfterAnUnneededBody()
    {
        RawSocket socket(this->serve({}, needsNone));
        socket.write(head(100000));
        this->expectAnswer(socket, "HTTP/1.1 200");
        this->send(socket, std::string(100000, 'x') + head(5) + "whole");
        this->expectAnswer(socket, "HTTP/1.1 200", 2);
        // A body that has arrived with its head is kept: that costs nothing more.
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), this->requests.at(1).body);
    }

    void unneededBodyIsNotAskedFor()
    {
        RawSocket socket(this->serve({}, needsNone));
        socket.write(head(100000, "Expect: 100-continue\r\n"));
        this->test.runUntil("the connection is closed", [&] { return socket.readUntilClosed(); });
        CPPUNIT_ASSERT(socket.received.starts_with("HTTP/1.1 200"));
    }

    void unneededBodyThatStopsEndsTheConnection()
    {
        RawSocket socket(this->serve({}, needsNone));
        socket.write(head(100000) + "begin");
        this->test.runUntil("the connection is closed", [&] { return socket.readUntilClosed(); });
        CPPUNIT_ASSERT(socket.received.starts_with("HTTP/1.1 200"));
    }

    // Heads --------------------------------------------------------------------------------------------------------

    static std::string fields(std::size_t count)
    {
        std::string text;
        for (std::size_t i = 0; i < count; ++i)
            text += "a:\r\n";
        return text;
    }

    void tooManyFieldsGet431()
    {
        const auto port = this->serve();
        RawSocket fine(port);
        fine.write("GET / HTTP/1.1\r\n" + fields(256) + "\r\n");
        this->expectAnswer(fine, "HTTP/1.1 200");
        RawSocket excessive(port);
        excessive.write("GET / HTTP/1.1\r\n" + fields(257) + "\r\n");
        this->expectAnswer(excessive, "HTTP/1.1 431");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->budget.refused(RefusalCause::TooManyFields));
    }

    /// Guards against a head that is refused for its fields although its bytes are within the limit.
    void aLimitOfBytesAloneAllowsAsManyFieldsAsFit()
    {
        constexpr std::size_t minFieldBytes = 4;
        HttpLimits limits;
        limits.maxHeaderFields = limits.maxHeaderBytes / minFieldBytes;
        RawSocket socket(this->serve(limits));
        socket.write("GET / HTTP/1.1\r\n" + fields(4000) + "\r\n");
        this->expectAnswer(socket, "HTTP/1.1 200");
    }

    void tooManyFieldsInAHeadWithoutEndGet431()
    {
        RawSocket socket(this->serve());
        socket.write("GET / HTTP/1.1\r\n" + fields(300));
        this->expectAnswer(socket, "HTTP/1.1 431");
    }

    void tooManyFieldsInTrailersGet431()
    {
        RawSocket socket(this->serve());
        socket.write("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + fields(300) + "\r\n");
        this->expectAnswer(socket, "HTTP/1.1 431");
        CPPUNIT_ASSERT(this->requests.empty());
    }

    void bodyWithManyLinesIsAccepted()
    {
        RawSocket socket(this->serve());
        socket.write(head(5000) + std::string(5000, '\n'));
        this->expectAnswer(socket, "HTTP/1.1 200");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5000), this->requests.at(0).body.size());
    }

    // Slow bodies --------------------------------------------------------------------------------------------------

    void slowBodyIsServed()
    {
        HttpLimits limits;
        limits.readTimeout = milliseconds(100);
        RawSocket socket(this->serve(limits));
        socket.write(head(5));
        for (const char* letter : { "a", "b", "c", "d", "e" }) {
            this->pass(milliseconds(60));
            socket.write(letter);
        }
        this->expectAnswer(socket, "HTTP/1.1 200");
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), this->requests.at(0).body);
    }

    void stalledBodyGets408()
    {
        HttpLimits limits;
        limits.bodyStallTimeout = milliseconds(100);
        RawSocket socket(this->serve(limits));
        socket.write(head(5) + "abc");
        this->expectAnswer(socket, "HTTP/1.1 408");
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->budget.refused(RefusalCause::Stalled));
    }

    // Budget -------------------------------------------------------------------------------------------------------

    void largestBodyIsServedInCalm()
    {
        RawSocket socket(this->serve());
        this->send(socket, head(4 * megabyte) + std::string(4 * megabyte, 'x'));
        this->expectAnswer(socket, "HTTP/1.1 200");
        RawSocket chunked(this->server->port());
        std::string body = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 64; ++i)
            body += "10000\r\n" + std::string(65536, 'x') + "\r\n";
        this->send(chunked, body + "0\r\n\r\n");
        this->expectAnswer(chunked, "HTTP/1.1 200");
        CPPUNIT_ASSERT_EQUAL(4 * megabyte, this->requests.at(0).body.size());
        CPPUNIT_ASSERT_EQUAL(4 * megabyte, this->requests.at(1).body.size());
    }

    /// Connections that have sent all but the last byte of 4 MB: as many as the part for large requests takes.
    std::vector<std::unique_ptr<RawSocket>> fill(std::uint16_t port)
    {
        std::vector<std::unique_ptr<RawSocket>> sockets;
        for (std::size_t i = 0; i < 2; ++i) {
            sockets.push_back(std::make_unique<RawSocket>(port));
            this->send(*sockets.back(), head(5 * megabyte) + std::string(5 * megabyte - 1, 'x'));
        }
        return sockets;
    }

    static HttpLimits largeBodies()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 5 * megabyte;
        return limits;
    }

    void bodyBeyondTheBudgetGets503AndDoesNotRun()
    {
        const auto port = this->serve(largeBodies());
        const auto sockets = this->fill(port);
        sockets.at(0)->write("x");
        this->expectAnswer(*sockets.at(0), "HTTP/1.1 200");
        this->requests.clear();
        RawSocket first(port);
        this->send(first, head(5 * megabyte) + std::string(100, 'x'));
        RawSocket second(port);
        second.write(head(5 * megabyte));
        this->expectAnswer(second, "HTTP/1.1 503");
        CPPUNIT_ASSERT(second.received.find("retry-after: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(this->requests.empty());
    }

    void chunkedBodyBeyondTheBudgetGets503AndDoesNotRun()
    {
        const auto port = this->serve(largeBodies());
        const auto sockets = this->fill(port);
        RawSocket socket(port);
        std::string body = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 48; ++i)
            body += "10000\r\n" + std::string(65536, 'x') + "\r\n";
        this->send(socket, body + "0\r\n\r\n");
        this->expectAnswer(socket, "HTTP/1.1 503");
        CPPUNIT_ASSERT(this->requests.empty());
    }

    void stalledBodyMakesRoomForAnother()
    {
        const auto port = this->serve(largeBodies());
        const auto sockets = this->fill(port);
        this->pass(milliseconds(1100));
        RawSocket socket(port);
        this->send(socket, head(5 * megabyte) + std::string(5 * megabyte, 'x'));
        this->expectAnswer(socket, "HTTP/1.1 200");
        this->expectAnswer(*sockets.at(0), "HTTP/1.1 503");
    }

    void smallRequestIsServedWhenLargeOnesHaveTakenAll()
    {
        const auto port = this->serve(largeBodies());
        const auto sockets = this->fill(port);
        RawSocket socket(port);
        this->send(socket, head(10000) + std::string(10000, 'x'));
        this->expectAnswer(socket, "HTTP/1.1 200");
    }

    void nothingStaysCountedAfterTheEnd()
    {
        const auto port = this->serve(largeBodies(), [](const HttpRequest& request) { return request.path != "/no"; });
        {
            const auto sockets = this->fill(port);
            RawSocket omitted(port);
            omitted.write("POST /no HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx");
            RawSocket served(port);
            served.write(head(5) + "whole");
            this->expectAnswer(served, "HTTP/1.1 200");
            RawSocket rejected(port);
            rejected.write("no request\r\n\r\n");
            this->expectAnswer(rejected, "HTTP/1.1 400");
        }
        this->test.runUntil("all are closed", [&] { return this->server->openConnections() == 0; });
        this->pass(milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->budget.used());
    }

    void unusedConnectionMakesRoomForANewOne()
    {
        HttpLimits limits;
        limits.maxConnections = 2;
        limits.unusedTime = milliseconds(50);
        const auto port = this->serve(limits);
        RawSocket used(port);
        used.write("GET / HTTP/1.1\r\n\r\n");
        this->expectAnswer(used, "HTTP/1.1 200");
        RawSocket unused(port);
        this->test.runUntil("both are accepted", [&] { return this->server->openConnections() == 2; });
        this->pass(milliseconds(60));
        RawSocket newcomer(port);
        newcomer.write("GET / HTTP/1.1\r\n\r\n");
        this->expectAnswer(newcomer, "HTTP/1.1 200");
        this->test.runUntil("the unused one is closed", [&] { return unused.readUntilClosed(); });
        used.write("GET / HTTP/1.1\r\n\r\n");
        this->expectAnswer(used, "HTTP/1.1 200", 2);
    }

    // Slow readers -------------------------------------------------------------------------------------------------

    void writerIsToldWhenTheReaderFallsBehindAndCatchesUp()
    {
        std::optional<HttpResponder> writer;
        bool isRelieved = false;
        RawSocket reader(this->serveWith([&](const HttpRequest&, const HttpResponder& responder) {
            writer = responder;
            responder.begin(200, {});
            responder.onRelieved([&isRelieved] { isRelieved = true; });
        }),
            4096);
        reader.write("GET / HTTP/1.1\r\n\r\n");
        this->test.runUntil("the request arrives", [&] { return writer.has_value(); });
        CPPUNIT_ASSERT(!writer->isCongested());
        const std::string block(65536, 'x');
        for (int i = 0; i < 200 && !writer->isCongested(); ++i) {
            writer->write(block);
            this->pass(milliseconds(1));
        }
        CPPUNIT_ASSERT(writer->isCongested());
        CPPUNIT_ASSERT(!isRelieved);
        this->test.runUntil("the reader catches up", [&] {
            reader.readUntilClosed();
            return isRelieved;
        });
        CPPUNIT_ASSERT(!writer->isCongested());
        writer->end();
        writer.reset();
    }

    void pausedAnswerIsReadOnAfterIt()
    {
        std::optional<HttpResponder> writer;
        const auto port = this->serveWith([&](const HttpRequest&, const HttpResponder& responder) {
            writer = responder;
            responder.begin(200, {});
        });
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        std::size_t received = 0;
        bool hasEnded = false;
        HttpCallbacks callbacks;
        callbacks.onData = [&received](std::string_view bytes) { received += bytes.size(); };
        callbacks.onEnd = [&hasEnded](tl::expected<void, NetError> outcome) { hasEnded = outcome.has_value(); };
        const auto call = client.start({}, std::chrono::seconds(20), callbacks);
        this->test.runUntil("the request arrives", [&] { return writer.has_value(); });
        writer->write("first");
        this->test.runUntil("the answer begins", [&] { return received == 5; });
        client.pause(call);
        const std::string block(65536, 'x');
        for (int i = 0; i < 200 && !writer->isCongested(); ++i) {
            writer->write(block);
            this->pass(milliseconds(1));
        }
        CPPUNIT_ASSERT(writer->isCongested());
        // What the pending read brought.
        CPPUNIT_ASSERT(received < 100000);
        client.resume(call);
        writer->end();
        this->test.runUntil("the answer ends", [&] { return hasEnded; });
        CPPUNIT_ASSERT(received > 256 * 1024);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerBoundsTest);
