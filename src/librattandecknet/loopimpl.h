#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/basic_stream_descriptor.hpp>

#include <chrono>
#include <memory>
#include <optional>

/// Asio internals of the event loop, for the sources of this library only.
namespace RattandeckNet {

using Executor = boost::asio::io_context::executor_type;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using ErrorCode = boost::system::error_code;

struct EventLoop::Impl {
    Impl();

    // Declared before the context: handlers destroyed with the context may still cancel their timers.
    Rattandeck::TimerService timers;
    std::optional<Rattandeck::TimePoint> alarmTime;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<Executor> work;
    boost::asio::posix::basic_stream_descriptor<Executor> alarm;

    std::function<void(const std::exception&)> errorHandler;

    /// Sets the timers' time to the present.
    void updateTime();
    /// Sets the alarm for timers subscribed by the handler.
    void afterHandler();
    void waitForAlarm();

    /// Wraps a completion handler, so that it sees the current time even if the thread was paused.
    template <typename Handler> auto bind(Handler handler)
    {
        return [this, handler = std::move(handler)](auto&&... arguments) mutable {
            this->updateTime();
            this->guard([&] { handler(std::forward<decltype(arguments)>(arguments)...); });
            this->afterHandler();
        };
    }

    /// Runs a handler. An exception of it is passed to `errorHandler`, if that is set.
    template <typename Handler> void guard(Handler handler)
    {
        if (!this->errorHandler) {
            handler();
            return;
        }
        try {
            handler();
        } catch (const std::exception& error) {
            this->errorHandler(error);
        }
    }
};

/// Converts an IP address and port; host names are not resolved.
tl::expected<Tcp::endpoint, NetError> toEndpoint(const Address& address);
/// Opens a listening socket.
tl::expected<void, NetError> listenOn(Acceptor& acceptor, const Address& address);

constexpr std::chrono::milliseconds acceptRetryDelay { 50 };

/// Accepts connections while `owner->isAccepting()` and passes each to `owner->addConnection`.
template <typename Owner> void acceptNext(const std::shared_ptr<Owner>& owner)
{
    auto onAccept = [owner](const ErrorCode& error, Socket socket) {
        if (!owner->isAccepting())
            return;
        if (!error) {
            owner->addConnection(std::move(socket));
            acceptNext(owner);
            return;
        }
        // The likely cause is a lack of file descriptors; retrying at once would be a busy loop.
        owner->loop.timers.subscribeAfter(acceptRetryDelay, [weak = std::weak_ptr<Owner>(owner)] {
            const auto owner = weak.lock();
            if (owner && owner->isAccepting())
                acceptNext(owner);
        });
    };
    owner->acceptor.async_accept(owner->loop.bind(std::move(onAccept)));
}

/// Opens `owner->acceptor`, stores the bound port in `owner->port` and starts accepting.
template <typename Owner>
tl::expected<void, NetError> listenAndAccept(const std::shared_ptr<Owner>& owner, const Address& address)
{
    const auto outcome = listenOn(owner->acceptor, address);
    if (!outcome)
        return outcome;
    owner->port = owner->acceptor.local_endpoint().port();
    acceptNext(owner);
    return {};
}

}
