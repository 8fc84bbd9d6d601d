#pragma once

#include "RattandeckNet/eventloop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace RattandeckNet {

/// An event loop that a test runs until a condition holds.
struct TestLoop {
    EventLoop loop;

    /// Runs the loop until `condition` holds. The test fails if it does not hold after `maxChecks` checks.
    template <typename Condition> void runUntil(const std::string& what, Condition condition)
    {
        constexpr int maxChecks = 20000;
        int checks = 0;
        bool holds = false;
        std::function<void()> check = [&] {
            holds = condition();
            if (holds || ++checks >= maxChecks)
                this->loop.stop();
            else
                this->loop.timers().subscribeAfter(Rattandeck::Milliseconds(1), check);
        };
        this->loop.post(check);
        this->loop.run();
        CPPUNIT_ASSERT_MESSAGE(what, holds);
    }
};

/// A plain loopback socket to a server under test, to send data that a correct client would not send.
class RawSocket {
public:
    /// Takes ownership of a connected socket.
    struct Accepted {
        int descriptor;
    };
    explicit RawSocket(Accepted accepted)
        : descriptor(accepted.descriptor)
    {
        fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
    }
    explicit RawSocket(std::uint16_t port, int receiveBuffer = 0)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer > 0)
            setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(
            0, connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
    }
    ~RawSocket() { close(this->descriptor); }
    RawSocket(const RawSocket&) = delete;
    RawSocket& operator=(const RawSocket&) = delete;

    void write(std::string_view bytes) const { send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    /// Reads available data into `received`. Returns true once the connection is closed or broken.
    bool readUntilClosed()
    {
        char bytes[4096];
        for (;;) {
            const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
            if (count > 0)
                this->received.append(bytes, static_cast<std::size_t>(count));
            else
                return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        }
    }

    /// Whether the peer has reset the connection, as it does if it closes without having read all data.
    bool wasReset() const
    {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        return error != 0;
    }

    std::string received;

private:
    int descriptor;
};

/// A plain listening socket, to send responses that a correct server would not send.
class RawListener {
public:
    RawListener()
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT_EQUAL(0, bind(this->descriptor, generic, sizeof(address)));
        CPPUNIT_ASSERT_EQUAL(0, listen(this->descriptor, 8));
        socklen_t length = sizeof(address);
        CPPUNIT_ASSERT_EQUAL(0, getsockname(this->descriptor, generic, &length));
        this->port = ntohs(address.sin_port);
    }
    ~RawListener() { close(this->descriptor); }
    RawListener(const RawListener&) = delete;
    RawListener& operator=(const RawListener&) = delete;

    /// Returns the next pending connection, or null if there is none.
    std::unique_ptr<RawSocket> accept() const
    {
        const int accepted = ::accept(this->descriptor, nullptr, nullptr);
        return accepted < 0 ? nullptr : std::make_unique<RawSocket>(RawSocket::Accepted { accepted });
    }

    std::uint16_t port = 0;

private:
    int descriptor;
};

}
