#include "RattandeckNet/http.h"

#include "testloop.h"

#include <optional>

using namespace RattandeckNet;

/// Answers of a server that never end.
class HttpBoundsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpBoundsTest);
    CPPUNIT_TEST(statusLineWithoutEndFailsTheCall);
    CPPUNIT_TEST(headerFieldWithoutEndFailsTheCall);
    CPPUNIT_TEST(headerFieldsWithoutEndFailTheCall);
    CPPUNIT_TEST(chunkExtensionWithoutEndFailsTheCall);
    CPPUNIT_TEST(chunkExtensionsWithoutEndFailTheCall);
    CPPUNIT_TEST(trailerWithoutEndFailsTheCall);
    CPPUNIT_TEST(interimAnswersWithoutEndFailTheCall);
    CPPUNIT_TEST(answerToAnotherCallWithoutEndFailsTheCall);
    CPPUNIT_TEST(bytesThatAreNoAnswerFailTheCall);
    CPPUNIT_TEST(oneByteNowAndThenEndsAtTheTimeout);
    CPPUNIT_TEST(longStreamOfSmallChunksIsNotCut);
    CPPUNIT_TEST(callPastItsWriteTimeIsNotWritten);
    CPPUNIT_TEST_SUITE_END();

    /// More than the client may read of an answer that brings nothing.
    static constexpr std::size_t maxBytes = 4UL << 20U;

    TestLoop test;
    RawListener listener;
    std::optional<tl::expected<void, NetError>> outcome;
    std::size_t bodyBytes = 0;

    std::unique_ptr<RawSocket> start(HttpClient& client, std::chrono::milliseconds timeout)
    {
        HttpCallbacks callbacks;
        callbacks.isOwn = [](const HttpHeaders& headers) { return !headers.contains("other"); };
        callbacks.onData = [this](std::string_view bytes) { this->bodyBytes += bytes.size(); };
        callbacks.onEnd = [this](tl::expected<void, NetError> result) { this->outcome = result; };
        client.start({}, timeout, std::move(callbacks));
        std::unique_ptr<RawSocket> socket;
        this->test.runUntil("connected", [&] { return socket || (socket = this->listener.accept()); });
        return socket;
    }

    /// Sends `head`, then `part` again and again, until the call ends.
    void expectMalformed(const std::string& head, const std::string& part)
    {
        HttpClient client(this->test.loop, { "127.0.0.1", this->listener.port });
        const auto socket = this->start(client, std::chrono::seconds(20));
        socket->write(head);
        std::string block;
        while (block.size() < 8192)
            block += part;
        std::size_t sent = 0;
        this->test.runUntil("the call ends", [&] {
            socket->write(block);
            sent += block.size();
            return this->outcome.has_value() || sent > maxBytes;
        });
        CPPUNIT_ASSERT(this->outcome.has_value());
        CPPUNIT_ASSERT(this->outcome->error() == NetError::Malformed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->bodyBytes);
        this->test.runUntil("the connection is closed", [&] { return socket->readUntilClosed(); });
    }

    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    void statusLineWithoutEndFailsTheCall() { this->expectMalformed("HTTP/1.1 200 O", "K"); }
    void headerFieldWithoutEndFailsTheCall() { this->expectMalformed("HTTP/1.1 200 OK\r\nName: ", "x"); }
    void headerFieldsWithoutEndFailTheCall() { this->expectMalformed("HTTP/1.1 200 OK\r\n", "Name: x\r\n"); }
    void chunkExtensionWithoutEndFailsTheCall() { this->expectMalformed(this->chunkedHead + "5;", "x"); }
    void chunkExtensionsWithoutEndFailTheCall() { this->expectMalformed(this->chunkedHead + "5", ";a=b"); }
    void trailerWithoutEndFailsTheCall() { this->expectMalformed(this->chunkedHead + "0\r\n", "Name: x\r\n"); }
    void interimAnswersWithoutEndFailTheCall() { this->expectMalformed("", "HTTP/1.1 100 Continue\r\n\r\n"); }
    void answerToAnotherCallWithoutEndFailsTheCall()
    {
        this->expectMalformed("HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n", "x");
    }
    void bytesThatAreNoAnswerFailTheCall() { this->expectMalformed("", "x"); }

    void oneByteNowAndThenEndsAtTheTimeout()
    {
        HttpClient client(this->test.loop, { "127.0.0.1", this->listener.port });
        const auto socket = this->start(client, std::chrono::milliseconds(300));
        socket->write("HTTP/1.1 200 OK\r\nName: ");
        int checks = 0;
        this->test.runUntil("the call ends", [&] {
            if (++checks % 20 == 0)
                socket->write("x");
            return this->outcome.has_value();
        });
        CPPUNIT_ASSERT(this->outcome->error() == NetError::TimedOut);
    }

    void longStreamOfSmallChunksIsNotCut()
    {
        HttpClient client(this->test.loop, { "127.0.0.1", this->listener.port });
        const auto socket = this->start(client, std::chrono::seconds(20));
        socket->write(this->chunkedHead);
        constexpr std::size_t blockChunks = 1024;
        std::string block;
        for (std::size_t i = 0; i < blockChunks; ++i)
            block += "1\r\nx\r\n";
        constexpr std::size_t blocks = 500;
        std::size_t sentBlocks = 0;
        // Waits for each block, so that the socket takes all of it.
        this->test.runUntil("the stream arrives", [&] {
            if (this->bodyBytes < sentBlocks * blockChunks)
                return false;
            if (sentBlocks < blocks) {
                socket->write(block);
                ++sentBlocks;
                return false;
            }
            socket->write("0\r\n\r\n");
            return true;
        });
        this->test.runUntil("the call ends", [&] { return this->outcome.has_value(); });
        CPPUNIT_ASSERT(this->outcome->has_value());
        CPPUNIT_ASSERT_EQUAL(blocks * blockChunks, this->bodyBytes);
    }

    void callPastItsWriteTimeIsNotWritten()
    {
        HttpClient client(this->test.loop, { "127.0.0.1", this->listener.port });
        HttpCallbacks callbacks;
        callbacks.onEnd = [this](tl::expected<void, NetError> result) { this->outcome = result; };
        client.start({}, std::chrono::seconds(20), std::move(callbacks), Rattandeck::TimePoint());
        CPPUNIT_ASSERT(!this->outcome);
        std::unique_ptr<RawSocket> socket;
        this->test.runUntil("the call ends", [&] {
            socket = socket ? std::move(socket) : this->listener.accept();
            return this->outcome.has_value() && socket;
        });
        CPPUNIT_ASSERT(this->outcome->error() == NetError::NotSent);
        this->test.runUntil("the connection is closed", [&] { return socket->readUntilClosed(); });
        CPPUNIT_ASSERT(socket->received.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBoundsTest);
