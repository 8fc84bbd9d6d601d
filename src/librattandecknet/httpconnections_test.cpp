#include "RattandeckNet/http.h"

#include "testloop.h"

#include <memory>
#include <vector>

using namespace RattandeckNet;

/// Why clients open connections.
class HttpConnectionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpConnectionsTest);
    CPPUNIT_TEST(causesOfNewConnectionsAreTold);
    CPPUNIT_TEST_SUITE_END();

    TestLoop test;
    std::unique_ptr<HttpServer> server;
    std::vector<HttpResponder> waiting;
    std::vector<ConnectCause> causes;
    int ended = 0;

    std::uint16_t serve(std::uint16_t port = 0)
    {
        this->server = std::make_unique<HttpServer>(
            this->test.loop, HttpLimits {}, [this](const HttpRequest& request, const HttpResponder& responder) {
                if (request.path == "/wait")
                    this->waiting.push_back(responder);
                else
                    responder.send({ 200, { { "keep-alive", "timeout=20" } }, "body" });
            });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", port }).has_value());
        return this->server->port();
    }

    void fetch(HttpClient& client, const std::string& path)
    {
        HttpRequest request;
        request.path = path;
        client.fetch(request, std::chrono::milliseconds(10000), [this](const auto&) { ++this->ended; });
    }

    void fetchWhole(HttpClient& client)
    {
        const int before = this->ended;
        this->fetch(client, "/");
        this->test.runUntil("the call ends", [this, before] { return this->ended > before; });
    }

    void causesOfNewConnectionsAreTold()
    {
        const auto port = this->serve();
        HttpClient client(this->test.loop, { "127.0.0.1", port });
        client.onConnect([this](ConnectCause cause, std::size_t) { this->causes.push_back(cause); });
        this->fetchWhole(client);
        this->fetchWhole(client);
        CPPUNIT_ASSERT(this->causes == std::vector { ConnectCause::First });
        this->fetch(client, "/wait");
        this->test.runUntil("the call runs", [this] { return !this->waiting.empty(); });
        this->fetchWhole(client);
        CPPUNIT_ASSERT(this->causes.at(1) == ConnectCause::AllBusy);
        this->waiting.front().send({ 200, {}, "body" });
        this->waiting.clear();
        this->test.runUntil("the call ends", [this] { return this->ended == 4; });
        this->server.reset();
        this->test.runUntil("the connections are closed", [&client] { return !client.connectedSince(); });
        this->serve(port);
        this->fetchWhole(client);
        CPPUNIT_ASSERT(this->causes.back() == ConnectCause::NoneOpen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionsTest);
