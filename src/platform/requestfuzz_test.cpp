#include "calls.h"

#include "librattandecknet/testloop.h"
#include "RattandeckNet/http.h"

#include <random>
#include <vector>

using namespace RattandeckNet;

namespace {

using Random = std::mt19937_64;

std::size_t draw(Random& random, std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

template <typename Value> const Value& choose(Random& random, const std::vector<Value>& values)
{
    return values[draw(random, values.size())];
}

/// One request as a client sends it, and what the server must make of it if it is valid.
struct Sent {
    std::string bytes;
    std::string body;
    bool isValid = true;
};

/// Makes requests that are valid, or at or beyond an edge of the format.
class RequestMaker {
public:
    explicit RequestMaker(std::uint64_t seed)
        : random(seed)
    {
    }

    Sent make()
    {
        Sent sent;
        sent.bytes = choose<std::string>(this->random, { "POST", "GET", "PUT", "HEAD", "X" }) + " " + this->target()
            + " HTTP/1.1\r\n" + this->fields();
        // Leaves room for the fields that tell where the body ends.
        sent.isValid = sent.bytes.size() < HttpLimits().maxHeaderBytes - 100;
        this->addBody(sent);
        if (draw(this->random, 3) == 0)
            this->spoil(sent);
        return sent;
    }

    Random random;

private:
    std::string target()
    {
        return choose<std::string>(this->random,
            { "/", "/a/b?x=1", "/%2f%", "/%zz?%", "*", "http://h/x", "/?" + std::string(3000, '&'),
                "/" + std::string(4000, 'a') });
    }

    /// Fields that the server knows, among others of any name; at most as many as are allowed.
    std::string fields()
    {
        const std::vector<std::string> known { "Host: h", "Deadline-Ms: 20000", "Deadline-Ms: -9", "Token-Counts: 1,2",
            "Token-Counts: ,,,,", "Token-Budget: 99999999999999999999", "Prompt-Prefix: a:1, :, b",
            "Cookie: =;;=", "Request-Id: " + std::string(500, 'r'), "Previous-Turn:", "Last-Event-Id: \x80\xff",
            "Length-Hint: 1e9" };
        std::string text;
        const std::size_t count = draw(this->random, draw(this->random, 5) == 0 ? 200 : 12);
        for (std::size_t i = 0; i < count; ++i)
            text += draw(this->random, 2) == 0 ? choose(this->random, known) + "\r\n"
                                               : "f" + std::to_string(draw(this->random, 300)) + ":\r\n";
        return text;
    }

    void addBody(Sent& sent)
    {
        sent.body = std::string(choose<std::size_t>(this->random, { 0, 1, 100, 16383, 16384, 70000 }), 'x');
        if (draw(this->random, 2) == 0) {
            sent.bytes += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
            return;
        }
        sent.bytes += "Transfer-Encoding: chunked\r\n\r\n";
        const std::size_t size = choose<std::size_t>(this->random, { 1, 7, 1000, 65536 });
        // Very many chunks would take most of the time.
        const std::size_t least = sent.body.size() / 200 + 1;
        for (std::size_t start = 0; start < sent.body.size();) {
            const std::string part = sent.body.substr(start, std::max(size, least));
            sent.bytes += this->chunkHead(part.size()) + part + "\r\n";
            start += part.size();
        }
        sent.bytes += "0\r\n" + std::string(draw(this->random, 2) == 0 ? "" : "trailer: 1\r\n") + "\r\n";
    }

    std::string chunkHead(std::size_t size)
    {
        std::ostringstream text;
        text << std::hex << size;
        return text.str() + choose<std::string>(this->random, { "", ";a", ";a=b", ";a=\"b c\"" }) + "\r\n";
    }

    /// Breaks a rule of the format, or changes bytes anywhere.
    void spoil(Sent& sent)
    {
        sent.isValid = false;
        const std::vector<std::string> parts { "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: -1\r\n",
            "Content-Length: 18446744073709551616\r\n", "Content-Length: 99999999\r\n", "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", ": \r\n", "a b: c\r\n", "\n", " folded\r\n",
            std::string("x\0y: z\r\n", 8), std::string(20000, 'h'), "ffffffffffffffffff\r\n", "-1\r\n", "5;" };
        const std::size_t lineEnd = sent.bytes.find("\r\n") + 2;
        switch (draw(this->random, 4)) {
        case 0:
            sent.bytes.insert(lineEnd, choose(this->random, parts));
            return;
        case 1:
            sent.bytes.resize(draw(this->random, sent.bytes.size()));
            return;
        case 2: {
            std::string fields;
            for (std::size_t i = 0; i < 400; ++i)
                fields += "n:\r\n";
            sent.bytes.insert(lineEnd, fields);
            return;
        }
        default:
            for (std::size_t i = 0; i < 4; ++i)
                sent.bytes[draw(this->random, std::min<std::size_t>(sent.bytes.size(), 2000))]
                    = static_cast<char>(draw(this->random, 256));
        }
    }
};

}

/// Sends valid and broken requests to a server, in pieces and pipelined, and decodes what it accepts as a call. Seeds
/// are fixed, so that a failure can be repeated.
class RequestFuzzTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestFuzzTest);
    CPPUNIT_TEST(serverKeepsItsBounds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t limit = 1024UL * 1024;
    static constexpr std::uint64_t seeds = 8;
    static constexpr int connectionsPerSeed = 150;

    // Outlives the connections, which end with the loop.
    MemoryBudget budget { limit };
    TestLoop test;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> bodies;

    void serve()
    {
        HttpLimits limits;
        limits.maxBodyBytes = 100000;
        this->server = std::make_unique<HttpServer>(
            this->test.loop, limits, this->budget, [this](const HttpRequest& request, const HttpResponder& responder) {
                CPPUNIT_ASSERT(request.body.size() <= 100000);
                CPPUNIT_ASSERT(request.headers.size() <= HttpLimits().maxHeaderFields);
                Platform::readCall(request);
                this->bodies.push_back(request.body);
                responder.send({ 200, {}, "answer" });
            });
        this->server->setNeedsBody([](const HttpRequest& head) {
            Platform::readCall(head);
            return head.path != "*";
        });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", 0 }).has_value());
    }

    /// Sends requests on one connection, in pieces. Returns how many valid ones come before the first that is not.
    std::size_t play(RequestMaker& maker, RawSocket& socket, std::vector<std::string>& expected)
    {
        const std::size_t count = 1 + draw(maker.random, 3);
        std::string bytes;
        bool isValid = true;
        for (std::size_t i = 0; i < count; ++i) {
            const Sent sent = maker.make();
            isValid = isValid && sent.isValid && sent.bytes.find("* HTTP") == std::string::npos;
            if (isValid)
                expected.push_back(sent.body);
            bytes += sent.bytes;
        }
        const std::size_t piece = choose<std::size_t>(maker.random, { 16384, 4096, 1000 });
        for (std::size_t start = 0; start < bytes.size(); start += piece) {
            socket.write(std::string_view(bytes).substr(start, piece));
            this->turn();
            CPPUNIT_ASSERT(this->budget.used() <= this->budget.limit());
            socket.readUntilClosed();
        }
        return expected.size();
    }

    void turn()
    {
        bool hasRun = false;
        this->test.loop.post([&hasRun] { hasRun = true; });
        this->test.runUntil("a turn", [&] { return hasRun; });
    }

    void serverKeepsItsBounds()
    {
        this->serve();
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            RequestMaker maker(seed);
            for (int i = 0; i < connectionsPerSeed; ++i)
                this->check(maker, "seed " + std::to_string(seed) + ", connection " + std::to_string(i));
        }
    }

    void check(RequestMaker& maker, const std::string& name)
    {
        this->bodies.clear();
        std::vector<std::string> expected;
        {
            RawSocket socket(this->server->port());
            const std::size_t valid = this->play(maker, socket, expected);
            this->test.runUntil(name + ": the valid requests are served", [&] {
                socket.readUntilClosed();
                return this->bodies.size() >= valid;
            });
        }
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT_MESSAGE(name, this->bodies[i] == expected[i]);
        this->test.runUntil(name + ": it is closed", [&] { return this->server->openConnections() == 0; });
        this->turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(0), this->budget.used());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFuzzTest);
