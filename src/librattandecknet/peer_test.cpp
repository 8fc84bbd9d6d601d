#include "RattandeckNet/peer.h"

#include "peersession.h"
#include "Rattandeck/wire.h"
#include "testloop.h"

#include <algorithm>
#include <malloc.h>
#include <optional>
#include <vector>

using namespace RattandeckNet;
using namespace Rattandeck;

/// The network of one process, with a record of its handler calls.
struct Peer {
    Hello self;
    std::vector<std::string> events;
    std::vector<OrderTokens> received;
    std::unique_ptr<PeerNetwork> network;

    Peer(EventLoop& loop, const std::string& node, std::uint64_t incarnation, PeerLimits limits, std::uint16_t port = 0)
    {
        this->self.node = NodeId(node);
        this->self.incarnation = Incarnation(incarnation);
        PeerHandlers handlers;
        handlers.onUp = [this](const Hello& hello) { this->events.push_back("up " + hello.node.value); };
        handlers.onDown = [this](const NodeId& node) { this->events.push_back("down " + node.value); };
        handlers.onMessage = [this](const NodeId&, const Message& message) {
            this->received.push_back(std::get<OrderTokens>(message));
        };
        this->network = std::make_unique<PeerNetwork>(loop, this->self, limits, std::move(handlers));
        CPPUNIT_ASSERT(this->network->listen({ "127.0.0.1", port }).has_value());
        this->self.address = toString(this->address());
        this->network->setSelf(this->self);
    }

    Address address() const { return { "127.0.0.1", this->network->port() }; }
    bool isUp(const Peer& other) const { return this->network->isUp(other.self.node); }
    bool send(const Peer& to, std::uint32_t part, std::string text = {}) const
    {
        return this->network->send(to.self.node, OrderTokens { OrderId(1), part, std::move(text), {} });
    }
};

class PeerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTest);
    CPPUNIT_TEST(messagesArriveInOrder);
    CPPUNIT_TEST(trafficIsCountedByKind);
    CPPUNIT_TEST(oneLinkIsKeptWhenBothEndsDial);
    CPPUNIT_TEST(lostLinkIsReportedAtBothEndsAndRedialled);
    CPPUNIT_TEST(closeWritesQueuedMessages);
    CPPUNIT_TEST(ownAddressAndAliasAddressAreNotLinked);
    CPPUNIT_TEST(garbageClosesOnlyItsConnection);
    CPPUNIT_TEST(unknownKindsAreSkipped);
    CPPUNIT_TEST(excessiveMessageLengthClosesTheLink);
    CPPUNIT_TEST(messageThatIsTooLongLeavesTheLinkAlone);
    CPPUNIT_TEST(malformedMessageClosesTheLink);
    CPPUNIT_TEST(silentPeerGoesDown);
    CPPUNIT_TEST(unansweredDialIsRepeated);
    CPPUNIT_TEST(peerThatDropsEachLinkIsDialledLessAndLess);
    CPPUNIT_TEST(stuckPeerGoesDown);
    CPPUNIT_TEST(idleLinksNeedLittleMemory);
    CPPUNIT_TEST(memoryOfALargeMessageIsReleased);
    CPPUNIT_TEST_SUITE_END();

    TestLoop test;
    PeerLimits limits;

public:
    void setUp() override { this->limits.reconnectDelay = std::chrono::milliseconds(5); }

private:
    void messagesArriveInOrder()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        constexpr std::uint32_t count = 2000;
        const std::string large(5 << 20U, 'x');
        for (std::uint32_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(a.send(b, i, i == count / 2 ? large : "t"));
            CPPUNIT_ASSERT(b.send(a, i));
        }
        this->test.runUntil("all arrive", [&] { return a.received.size() == count && b.received.size() == count; });
        for (std::uint32_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT_EQUAL(i, a.received[i].part);
            CPPUNIT_ASSERT_EQUAL(i, b.received[i].part);
        }
        CPPUNIT_ASSERT(b.received[count / 2].text == large);
        CPPUNIT_ASSERT(!a.network->send(NodeId("c"), CancelOrder {}));
    }

    void trafficIsCountedByKind()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        constexpr std::size_t size = 10000;
        a.send(b, 1, std::string(size, 'x'));
        a.send(b, 2, std::string(size, 'x'));
        this->test.runUntil("both arrive", [&] { return b.received.size() == 2; });
        const auto kind = kindName(OrderTokens {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), a.network->sentTraffic().at(kind).messages);
        CPPUNIT_ASSERT(a.network->sentTraffic().at(kind).bytes > 2 * size);
        CPPUNIT_ASSERT_EQUAL(a.network->sentTraffic().at(kind).bytes, b.network->receivedTraffic().at(kind).bytes);
        CPPUNIT_ASSERT(!b.network->sentTraffic().contains(kind));
    }

    void oneLinkIsKeptWhenBothEndsDial()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        b.network->keepLinksTo({ a.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        // Until the surplus link is closed, each end may report the other as down and up again. Messages on the
        // remaining link arrive.
        const auto balance = [](const Peer& peer) {
            int links = 0;
            for (const std::string& event : peer.events)
                links += event.starts_with("up") ? 1 : -1;
            return links;
        };
        std::uint32_t part = 0;
        for (int round = 0; round < 20; ++round) {
            const std::size_t before = b.received.size();
            this->test.runUntil("a message arrives", [&] {
                if (a.isUp(b))
                    a.send(b, part++);
                return b.received.size() > before;
            });
        }
        CPPUNIT_ASSERT_EQUAL(1, balance(a));
        CPPUNIT_ASSERT_EQUAL(1, balance(b));
        CPPUNIT_ASSERT(a.events.size() <= 3 && b.events.size() <= 3);
    }

    void lostLinkIsReportedAtBothEndsAndRedialled()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        auto b = std::make_unique<Peer>(this->test.loop, "b", 1, this->limits);
        const std::uint16_t port = b->network->port();
        a.network->keepLinksTo({ b->address() });
        this->test.runUntil("up", [&] { return a.isUp(*b) && b->isUp(a); });
        a.network->keepLinksTo({});
        this->test.runUntil("down at both ends", [&] { return !a.isUp(*b) && !b->isUp(a); });
        CPPUNIT_ASSERT_EQUAL(std::string("down b"), a.events.back());
        CPPUNIT_ASSERT_EQUAL(std::string("down a"), b->events.back());

        a.network->keepLinksTo({ b->address() });
        this->test.runUntil("up again", [&] { return a.isUp(*b) && b->isUp(a); });
        b.reset();
        this->test.runUntil("down", [&] { return !a.network->isUp(NodeId("b")); });
        Peer next(this->test.loop, "b", 2, this->limits, port);
        this->test.runUntil("up with the next incarnation", [&] { return a.isUp(next) && next.isUp(a); });
        const std::vector<std::string> expected { "up b", "down b", "up b", "down b", "up b" };
        CPPUNIT_ASSERT(expected == a.events);
    }

    void closeWritesQueuedMessages()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        constexpr std::uint32_t count = 500;
        for (std::uint32_t i = 0; i < count; ++i)
            a.send(b, i, std::string(20000, 'x'));
        a.network->close();
        CPPUNIT_ASSERT(!a.send(b, 0));
        this->test.runUntil("closed", [&] { return a.network->isClosed() && !b.isUp(a); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), b.received.size());
        CPPUNIT_ASSERT_EQUAL(std::string("up b"), a.events.back());
    }

    void ownAddressAndAliasAddressAreNotLinked()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        // Another notation of the same address. Only the peer's `Hello` shows that it is the same node.
        const auto alias = [](Address address) {
            address.host = "::ffff:" + address.host;
            return address;
        };
        a.network->keepLinksTo({ alias(a.address()), b.address(), alias(b.address()) });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        std::uint32_t part = 0;
        this->test.runUntil("messages arrive after the surplus link is closed", [&] {
            if (a.isUp(b))
                a.send(b, part++);
            return b.received.size() >= 50;
        });
        CPPUNIT_ASSERT(!a.network->isUp(a.self.node));
        // Either one link came up, or a second one replaced it: "up", "down", "up".
        CPPUNIT_ASSERT(a.events.size() == 1 || a.events.size() == 3);
        CPPUNIT_ASSERT_EQUAL(std::string("up b"), a.events.back());
    }

    void garbageClosesOnlyItsConnection()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        RawSocket raw(b.network->port());
        raw.write("GET / HTTP/1.1\r\n\r\n" + std::string(1000, '\xff'));
        this->test.runUntil("the connection that sent garbage is closed", [&] { return raw.readUntilClosed(); });
        CPPUNIT_ASSERT(a.isUp(b) && b.isUp(a));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b.events.size());
    }

    /// Completes the handshake between a manually driven session and `peer`; returns once the link is up.
    void completeHandshake(Peer& peer, RawSocket& raw, PeerSession& session)
    {
        Hello hello;
        hello.node = NodeId("raw");
        session.queue(encode(hello));
        this->flush(raw, session);
        this->test.runUntil("up", [&] { return peer.network->isUp(hello.node); });
    }

    static void flush(const RawSocket& raw, PeerSession& session)
    {
        std::string bytes;
        CPPUNIT_ASSERT(session.takeOutput(bytes, 1 << 20U));
        raw.write(bytes);
    }

    void expectDown(Peer& peer)
    {
        this->test.runUntil("down", [&] { return !peer.network->isUp(NodeId("raw")); });
        CPPUNIT_ASSERT_EQUAL(std::string("down raw"), peer.events.back());
    }

    void unknownKindsAreSkipped()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        RawSocket raw(a.network->port());
        PeerSession session(PeerSession::Side::Dialler, 1, 1000);
        this->completeHandshake(a, raw, session);
        // MessagePack of ["later", {}].
        const std::string unknown = "\x92\xa5later\x80";
        CPPUNIT_ASSERT(decode(unknown).error() == WireError::UnknownKind);
        session.queue(unknown);
        session.queue(encode(OrderTokens { OrderId(1), 7, {}, {} }));
        this->flush(raw, session);
        this->test.runUntil("the known one arrives", [&] { return a.received.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(7U, a.received[0].part);
    }

    void excessiveMessageLengthClosesTheLink()
    {
        this->limits.maxMessageBytes = 1000;
        Peer a(this->test.loop, "a", 1, this->limits);
        RawSocket raw(a.network->port());
        PeerSession session(PeerSession::Side::Dialler, 1, 1000);
        this->completeHandshake(a, raw, session);
        session.queue(std::string(1001, 'x'));
        this->flush(raw, session);
        this->expectDown(a);
        CPPUNIT_ASSERT(a.received.empty());
    }

    /// Guards against a chain of turns that is too long for a message and ended the links that other callers' turns
    /// use.
    void messageThatIsTooLongLeavesTheLinkAlone()
    {
        this->limits.maxMessageBytes = 1000;
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        CPPUNIT_ASSERT(a.send(b, 1));
        CPPUNIT_ASSERT(!a.send(b, 2, std::string(1001, 'x')));
        CPPUNIT_ASSERT(a.send(b, 3));
        this->test.runUntil("the others arrive", [&] { return b.received.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), a.events.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), a.network->skippedMessages());
    }

    void malformedMessageClosesTheLink()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        RawSocket raw(a.network->port());
        PeerSession session(PeerSession::Side::Dialler, 1, 1000);
        this->completeHandshake(a, raw, session);
        session.queue("\xc1");
        this->flush(raw, session);
        this->expectDown(a);
    }

    void silentPeerGoesDown()
    {
        this->limits.pingInterval = std::chrono::milliseconds(10);
        this->limits.silenceLimit = std::chrono::milliseconds(50);
        Peer a(this->test.loop, "a", 1, this->limits);
        RawSocket raw(a.network->port());
        PeerSession session(PeerSession::Side::Dialler, 1, 1000);
        this->completeHandshake(a, raw, session);
        this->expectDown(a);
        // A connection that never sends a `Hello` is closed too.
        RawSocket silent(a.network->port());
        this->test.runUntil("the connection without a Hello is closed", [&] { return silent.readUntilClosed(); });
    }

    void unansweredDialIsRepeated()
    {
        this->limits.connectTimeout = std::chrono::milliseconds(10);
        this->limits.silenceLimit = std::chrono::hours(1);
        // The backlog of a listener that never accepts is full after a few connections.
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CPPUNIT_ASSERT_EQUAL(0, bind(listener, reinterpret_cast<const sockaddr*>(&address), size));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 0));
        CPPUNIT_ASSERT_EQUAL(0, getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
        const RawSocket first(ntohs(address.sin_port));
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        for (Peer* peer : { &a, &b })
            peer->network->keepLinksTo({ Address { "127.0.0.1", ntohs(address.sin_port) } });
        this->test.runUntil("dialled again", [&] { return a.network->dialCount() + b.network->dialCount() >= 6; });
        ::close(listener);
    }

    /// A journal that is too busy to keep its links must not be kept busy by them.
    void peerThatDropsEachLinkIsDialledLessAndLess()
    {
        constexpr std::uint64_t maxDials = 12;
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CPPUNIT_ASSERT_EQUAL(0, bind(listener, reinterpret_cast<const sockaddr*>(&address), size));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, SOMAXCONN));
        CPPUNIT_ASSERT_EQUAL(0, getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
        Peer a(this->test.loop, "a", 1, this->limits);
        a.network->keepLinksTo({ Address { "127.0.0.1", ntohs(address.sin_port) } });
        std::optional<TimePoint> end;
        this->test.runUntil("a second has passed", [&] {
            if (!end)
                end = this->test.loop.timers().now() + std::chrono::seconds(1);
            const int accepted = accept(listener, nullptr, nullptr);
            if (accepted >= 0)
                ::close(accepted);
            return this->test.loop.timers().now() >= *end;
        });
        ::close(listener);
        const std::uint64_t dials = a.network->dialCount();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(dials) + " dials", dials > 2 && dials <= maxDials);
    }

    void stuckPeerGoesDown()
    {
        this->limits.maxUnsentBytes = 1 << 20U;
        Peer a(this->test.loop, "a", 1, this->limits);
        RawSocket raw(a.network->port());
        PeerSession session(PeerSession::Side::Dialler, 1, 1000);
        this->completeHandshake(a, raw, session);
        std::size_t sent = 0;
        const OrderTokens part { OrderId(1), 0, std::string(10000, 'x'), {} };
        while (a.network->send(NodeId("raw"), part))
            CPPUNIT_ASSERT(++sent < 200);
        this->expectDown(a);
    }

    /// A journal of the size of two years from now has a link to each of 350 gateways, within 256 MB.
    void idleLinksNeedLittleMemory()
    {
        constexpr std::size_t peers = 50;
        constexpr std::size_t maxBytesPerEnd = 40UL * 1024;
        Peer journal(this->test.loop, "journal", 1, this->limits);
        std::vector<std::unique_ptr<Peer>> gateways;
        for (std::size_t i = 0; i < peers; ++i)
            gateways.push_back(std::make_unique<Peer>(this->test.loop, "g" + std::to_string(i), 1, this->limits));
        const std::size_t before = mallinfo2().uordblks;
        for (const auto& gateway : gateways)
            gateway->network->keepLinksTo({ journal.address() });
        this->test.runUntil("up", [&] {
            return std::ranges::all_of(
                gateways, [&](const auto& gateway) { return gateway->isUp(journal) && journal.isUp(*gateway); });
        });
        const std::size_t used = mallinfo2().uordblks - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used / (2 * peers)) + " bytes an end", used < 2 * peers * maxBytesPerEnd);
    }

    void memoryOfALargeMessageIsReleased()
    {
        Peer a(this->test.loop, "a", 1, this->limits);
        Peer b(this->test.loop, "b", 1, this->limits);
        a.network->keepLinksTo({ b.address() });
        this->test.runUntil("up", [&] { return a.isUp(b) && b.isUp(a); });
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        a.send(b, 1, std::string(5 << 20U, 'x'));
        this->test.runUntil("it arrives", [&] { return b.received.size() == 1; });
        b.received.clear();
        b.received.shrink_to_fit();
        // The last write may still be under way when the message has arrived.
        a.send(b, 2);
        this->test.runUntil("a small one arrives", [&] { return b.received.size() == 1; });
        const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
        constexpr std::size_t maxRetained = 128UL * 1024;
        const std::size_t retained = after - std::min(after, before);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(retained) + " bytes", retained < maxRetained);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);
