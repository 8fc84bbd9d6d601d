#include "instanceclient.h"

#include "librattandecknet/testloop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace RattandeckNet;

class InstanceClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InstanceClientTest);
    CPPUNIT_TEST(processIsAskedOnceAndKnownWhileConnected);
    CPPUNIT_TEST(processIsUnknownOnceItsConnectionsHaveEnded);
    CPPUNIT_TEST(processIsUnknownAfterASilence);
    CPPUNIT_TEST(lostQuestionIsRepeated);
    CPPUNIT_TEST(processThatDoesNotTellStaysUnknown);
    CPPUNIT_TEST(questionEndsIfNobodyAnswers);
    CPPUNIT_TEST_SUITE_END();

    TestLoop test;
    RattandeckApp::Metrics metrics;
    std::unique_ptr<HttpServer> server;
    int questions = 0;

    std::uint16_t serve(const HttpResponse& report, std::uint16_t port = 0)
    {
        this->server = std::make_unique<HttpServer>(
            this->test.loop, HttpLimits {}, [this, report](const HttpRequest& request, const HttpResponder& responder) {
                CPPUNIT_ASSERT_EQUAL(std::string("/api/report"), request.path);
                ++this->questions;
                responder.send(report);
            });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", port }).has_value());
        return this->server->port();
    }

    void identify(InstanceClient& client)
    {
        bool isDone = false;
        client.identify([&isDone] { isDone = true; });
        CPPUNIT_ASSERT(!isDone);
        this->test.runUntil("the question ends", [&isDone] { return isDone; });
    }

    static HttpResponse report(std::int64_t startedAt)
    {
        return { 200, { { "keep-alive", "timeout=20" } }, R"({"born":)" + std::to_string(startedAt) + "}" };
    }

    void processIsAskedOnceAndKnownWhileConnected()
    {
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", this->serve(report(7)) }, 4);
        CPPUNIT_ASSERT(!client.process());
        int ended = 0;
        client.identify([&ended] { ++ended; });
        client.identify([&ended] { ++ended; });
        client.identify();
        this->test.runUntil("the question ends", [&ended] { return ended == 2; });
        client.identify();
        CPPUNIT_ASSERT(client.process() == 7);
        CPPUNIT_ASSERT_EQUAL(1, this->questions);
    }

    void processIsUnknownOnceItsConnectionsHaveEnded()
    {
        const auto port = this->serve(report(7));
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", port }, 4);
        this->identify(client);
        this->server.reset();
        this->test.runUntil("the connection is closed", [&client] { return !client.http().connectedSince(); });
        CPPUNIT_ASSERT(!client.process());
        // The next process has started at the address.
        this->serve(report(8), port);
        this->identify(client);
        CPPUNIT_ASSERT(client.process() == 8);
    }

    /// Guards against streams of two versions: a connection to a process that ended without a word stays open, and the
    /// process that was started in its place was taken for it.
    void processIsUnknownAfterASilence()
    {
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", this->serve(report(7)) }, 4);
        this->identify(client);
        CPPUNIT_ASSERT(client.process() == 7);
        const auto asked = this->test.loop.timers().now();
        this->test.runUntil("the silence is long",
            [&] { return this->test.loop.timers().now() - asked > std::chrono::milliseconds(1500); });
        CPPUNIT_ASSERT(!client.process());
        this->identify(client);
        CPPUNIT_ASSERT(client.process() == 7);
    }

    void lostQuestionIsRepeated()
    {
        int questionsLost = 1;
        this->server = std::make_unique<HttpServer>(
            this->test.loop, HttpLimits {}, [this, &questionsLost](const HttpRequest&, const HttpResponder& responder) {
                ++this->questions;
                if (questionsLost-- > 0)
                    responder.abort();
                else
                    responder.send(report(7));
            });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", 0 }).has_value());
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", this->server->port() }, 4);
        client.identify();
        this->test.runUntil("the process has told", [&client] { return client.process() == 7; });
        CPPUNIT_ASSERT_EQUAL(2, this->questions);
    }

    void processThatDoesNotTellStaysUnknown()
    {
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", this->serve({ 400, {}, "" }) }, 4);
        this->identify(client);
        CPPUNIT_ASSERT(!client.process());
    }

    void questionEndsIfNobodyAnswers()
    {
        const RawListener listener;
        InstanceClient client(this->test.loop, this->metrics, { "127.0.0.1", listener.port }, 4);
        this->identify(client);
        CPPUNIT_ASSERT(!client.process());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceClientTest);
