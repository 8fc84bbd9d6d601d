#include "RattandeckNet/peer.h"

#include "peersession.h"
#include "Rattandeck/wire.h"
#include "testloop.h"

#include <vector>

using namespace RattandeckNet;
using namespace Rattandeck;

/// Strangers that connect to the address of a process for its peers.
class PeerBoundsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerBoundsTest);
    CPPUNIT_TEST(longMessageBeforeTheHelloClosesTheLink);
    CPPUNIT_TEST(lengthOfALongMessageBeforeTheHelloClosesTheLink);
    CPPUNIT_TEST(oldestStrangerIsClosedForANewConnection);
    CPPUNIT_TEST(strangersDoNotKeepAPeerOut);
    CPPUNIT_TEST(messagesBeyondTheBudgetCloseTheirLink);
    CPPUNIT_TEST(nothingStaysCountedAfterTheEnd);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024UL * 1024;

    // Outlives the links, which end with the loop.
    MemoryBudget budget { 8 * megabyte };
    TestLoop test;
    PeerLimits limits;
    std::unique_ptr<PeerNetwork> network;

    /// A stranger's connection, and what it has queued.
    struct Stranger {
        RawSocket socket;
        PeerSession session { PeerSession::Side::Dialler, 1, 16 * megabyte };
        explicit Stranger(std::uint16_t port)
            : socket(port)
        {
        }
    };

    void listen()
    {
        Hello self;
        self.node = NodeId("self");
        PeerHandlers handlers;
        handlers.onUp = [](const Hello&) {};
        handlers.onDown = [](const NodeId&) {};
        handlers.onMessage = [](const NodeId&, const Message&) {};
        this->network
            = std::make_unique<PeerNetwork>(this->test.loop, self, this->limits, this->budget, std::move(handlers));
        CPPUNIT_ASSERT(this->network->listen({ "127.0.0.1", 0 }).has_value());
    }

    void pass(Milliseconds time)
    {
        bool isOver = false;
        this->test.loop.timers().subscribeAfter(time, [&isOver] { isOver = true; });
        this->test.runUntil("time passes", [&] { return isOver; });
    }

    void send(Stranger& stranger)
    {
        constexpr std::size_t most = 64UL * 1024;
        for (int i = 0; i < 400; ++i) {
            std::string bytes;
            if (!stranger.session.takeOutput(bytes, most) || bytes.empty())
                return;
            stranger.socket.write(bytes);
            this->pass(Milliseconds(1));
            stranger.socket.readUntilClosed();
            stranger.session.receive(std::exchange(stranger.socket.received, {}));
        }
    }

    void expectClosed(Stranger& stranger)
    {
        this->test.runUntil("the link is closed", [&] { return stranger.socket.readUntilClosed(); });
    }

    void introduce(Stranger& stranger, const std::string& name)
    {
        Hello hello;
        hello.node = NodeId(name);
        stranger.session.queue(encode(hello));
        this->send(stranger);
        this->test.runUntil("up", [&] { return this->network->isUp(hello.node); });
    }

    void longMessageBeforeTheHelloClosesTheLink()
    {
        this->listen();
        Stranger stranger(this->network->port());
        stranger.session.queue(std::string(megabyte, 'x'));
        this->send(stranger);
        this->expectClosed(stranger);
    }

    void lengthOfALongMessageBeforeTheHelloClosesTheLink()
    {
        this->limits.silenceLimit = std::chrono::hours(1);
        this->listen();
        Stranger stranger(this->network->port());
        // The prefix of a message of 64 kB, and little of it.
        stranger.session.queue(std::string(64UL * 1024, 'x'));
        std::string bytes;
        stranger.session.takeOutput(bytes, 2000);
        stranger.socket.write(bytes.substr(0, 1000));
        this->expectClosed(stranger);
    }

    void oldestStrangerIsClosedForANewConnection()
    {
        this->limits.silenceLimit = std::chrono::hours(1);
        this->limits.maxUnknownLinks = 2;
        this->listen();
        Stranger oldest(this->network->port());
        this->pass(Milliseconds(5));
        Stranger second(this->network->port());
        this->pass(Milliseconds(5));
        Stranger third(this->network->port());
        this->expectClosed(oldest);
        CPPUNIT_ASSERT(!second.socket.readUntilClosed());
        CPPUNIT_ASSERT(!third.socket.readUntilClosed());
    }

    void strangersDoNotKeepAPeerOut()
    {
        this->limits.silenceLimit = std::chrono::hours(1);
        this->limits.maxUnknownLinks = 2;
        this->listen();
        constexpr std::size_t count = 10;
        std::vector<std::unique_ptr<Stranger>> strangers;
        strangers.reserve(count);
        while (strangers.size() < count)
            strangers.push_back(std::make_unique<Stranger>(this->network->port()));
        this->pass(Milliseconds(5));
        Stranger peer(this->network->port());
        this->introduce(peer, "peer");
    }

    void messagesBeyondTheBudgetCloseTheirLink()
    {
        this->listen();
        std::vector<std::unique_ptr<Stranger>> strangers;
        for (int i = 0; i < 4; ++i) {
            strangers.push_back(std::make_unique<Stranger>(this->network->port()));
            this->introduce(*strangers.back(), "stranger-" + std::to_string(i));
            // Most of a message of 6 MB.
            strangers.back()->session.queue(std::string(6 * megabyte, 'x'));
            std::string bytes;
            strangers.back()->session.takeOutput(bytes, 4 * megabyte);
            constexpr std::size_t piece = 32UL * 1024;
            for (std::size_t sent = 0; sent < bytes.size(); sent += piece) {
                strangers.back()->socket.write(std::string_view(bytes).substr(sent, piece));
                this->pass(Milliseconds(1));
            }
            CPPUNIT_ASSERT(this->budget.used() <= this->budget.limit());
        }
        CPPUNIT_ASSERT(this->budget.refused(RefusalCause::Memory) > 0);
        // A process of the system is still accepted.
        Stranger peer(this->network->port());
        this->introduce(peer, "peer");
    }

    void nothingStaysCountedAfterTheEnd()
    {
        this->listen();
        {
            Stranger stranger(this->network->port());
            this->introduce(stranger, "stranger");
            stranger.session.queue(std::string(megabyte, 'x'));
            this->send(stranger);
            Stranger silent(this->network->port());
            this->pass(Milliseconds(5));
            CPPUNIT_ASSERT(this->budget.used() > 0);
        }
        this->test.runUntil("all are closed", [&] { return this->budget.used() == 0; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerBoundsTest);
