#include "RattandeckNet/http.h"

#include "testloop.h"

#include <algorithm>
#include <optional>
#include <vector>

using namespace RattandeckNet;

/// Answers of a server in trouble, which must not pass for whole ones.
class HttpAnswersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpAnswersTest);
    CPPUNIT_TEST(answerThatIsResetDuringTheUploadIsNotWhole);
    CPPUNIT_TEST(answerThatEndsWithItsConnectionIsWhole);
    CPPUNIT_TEST(statusThatIsNoneFailsTheCall);
    CPPUNIT_TEST(copyOfAnEarlierRefusalIsSkipped);
    CPPUNIT_TEST(copyOfAnEarlierRefusalWithoutANameIsNotDelivered);
    CPPUNIT_TEST_SUITE_END();

    struct Outcome {
        int status = 0;
        std::string body;
        std::optional<tl::expected<void, NetError>> end;
    };

    TestLoop test;
    RawListener listener;
    std::vector<std::unique_ptr<Outcome>> outcomes;

    HttpClient client { this->test.loop, { "127.0.0.1", this->listener.port } };

    /// Starts a call that takes answers that name it, or name none.
    Outcome& start(const std::string& name, std::size_t bodyBytes = 0)
    {
        this->outcomes.push_back(std::make_unique<Outcome>());
        Outcome& outcome = *this->outcomes.back();
        HttpCallbacks callbacks;
        callbacks.isOwn = [name](const HttpHeaders& headers) {
            const auto named = headers.find("name");
            return named == headers.end() || named->second == name;
        };
        callbacks.isNamed = [](const HttpHeaders& headers) { return headers.contains("name"); };
        callbacks.onHead = [&outcome](int status, const HttpHeaders&) { outcome.status = status; };
        callbacks.onData = [&outcome](std::string_view bytes) { outcome.body += bytes; };
        callbacks.onEnd = [&outcome](tl::expected<void, NetError> end) { outcome.end = end; };
        HttpRequest request;
        request.method = "POST";
        request.path = "/" + name;
        request.body.assign(bodyBytes, 'x');
        this->client.start(std::move(request), std::chrono::seconds(20), std::move(callbacks));
        return outcome;
    }

    std::unique_ptr<RawSocket> accept()
    {
        std::unique_ptr<RawSocket> socket;
        this->test.runUntil("connected", [&] { return socket || (socket = this->listener.accept()); });
        return socket;
    }

    void waitForEnd(const Outcome& outcome)
    {
        this->test.runUntil("the call ends", [&] { return outcome.end.has_value(); });
    }

    /// Waits until the request that ends with `end` has arrived.
    void read(RawSocket& socket, const std::string& end)
    {
        this->test.runUntil("the request arrives", [&] {
            socket.readUntilClosed();
            return socket.received.ends_with(end);
        });
        socket.received.clear();
    }

    /// Guards against a part of an answer that is taken for the whole: the server answers a long upload at once,
    /// without a length, and resets the connection. The failed write takes the error, and the read then sees an orderly
    /// end.
    void answerThatIsResetDuringTheUploadIsNotWhole()
    {
        constexpr std::size_t longBody = 32UL << 20U;
        Outcome& outcome = this->start("upload", longBody);
        std::unique_ptr<RawSocket> socket = this->accept();
        // The connection takes no more: what is left of the request waits.
        int checks = 0;
        this->test.runUntil("the upload stalls", [&] { return ++checks > 50; });
        socket->write("HTTP/1.1 200 OK\r\nName: upload\r\n\r\nbegin");
        // Closing with unread data resets the connection.
        socket.reset();
        this->waitForEnd(outcome);
        CPPUNIT_ASSERT(!outcome.end->has_value());
        CPPUNIT_ASSERT(outcome.end->error() == NetError::Broken);
    }

    void answerThatEndsWithItsConnectionIsWhole()
    {
        Outcome& outcome = this->start("short");
        std::unique_ptr<RawSocket> socket = this->accept();
        this->read(*socket, "\r\n\r\n");
        socket->write("HTTP/1.1 200 OK\r\nName: short\r\n\r\nall");
        socket.reset();
        this->waitForEnd(outcome);
        CPPUNIT_ASSERT(outcome.end->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("all"), outcome.body);
    }

    /// Guards against a status that the protocol doesn't know and that is passed on as an answer.
    void statusThatIsNoneFailsTheCall()
    {
        for (const char* status : { "000", "001", "099", "600", "999" }) {
            Outcome& outcome = this->start("s");
            const std::unique_ptr<RawSocket> socket = this->accept();
            this->read(*socket, "\r\n\r\n");
            socket->write("HTTP/1.1 " + std::string(status) + " Text\r\nName: s\r\nContent-Length: 2\r\n\r\nno");
            this->waitForEnd(outcome);
            CPPUNIT_ASSERT_MESSAGE(status, !outcome.end->has_value() && outcome.status == 0 && outcome.body.empty());
            CPPUNIT_ASSERT(outcome.end->error() == NetError::Malformed);
        }
    }

    static std::string refusalOf(const std::string& name)
    {
        const std::string field = name.empty() ? "" : "Name: " + name + "\r\n";
        return "HTTP/1.1 503 Full\r\nRefusal: 1\r\n" + field + "Content-Length: 0\r\n\r\n";
    }

    /// Guards against a call that is taken for refused, though it runs, by a second copy of the refusal of an earlier
    /// one.
    void copyOfAnEarlierRefusalIsSkipped()
    {
        Outcome& first = this->start("first");
        const std::unique_ptr<RawSocket> socket = this->accept();
        this->read(*socket, "\r\n\r\n");
        socket->write(refusalOf("first"));
        this->waitForEnd(first);
        CPPUNIT_ASSERT_EQUAL(503, first.status);
        Outcome& second = this->start("second");
        this->read(*socket, "\r\n\r\n");
        socket->write(refusalOf("first"));
        socket->write("HTTP/1.1 200 OK\r\nName: second\r\nContent-Length: 3\r\n\r\nran");
        this->waitForEnd(second);
        CPPUNIT_ASSERT_EQUAL(200, second.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), second.body);
    }

    void copyOfAnEarlierRefusalWithoutANameIsNotDelivered()
    {
        Outcome& first = this->start("first");
        const std::unique_ptr<RawSocket> socket = this->accept();
        this->read(*socket, "\r\n\r\n");
        socket->write(refusalOf(""));
        this->waitForEnd(first);
        CPPUNIT_ASSERT_EQUAL(503, first.status);
        Outcome& second = this->start("second");
        const std::unique_ptr<RawSocket> other = this->accept();
        socket->write(refusalOf(""));
        this->read(*other, "\r\n\r\n");
        other->write("HTTP/1.1 200 OK\r\nName: second\r\nContent-Length: 3\r\n\r\nran");
        this->waitForEnd(second);
        CPPUNIT_ASSERT_EQUAL(200, second.status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpAnswersTest);
