#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/basic_stream_descriptor.hpp>

#include <optional>

/// Asio side of the event loop, for the sources of this library only.
namespace RattandeckNet {

using Executor = boost::asio::io_context::executor_type;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using ErrorCode = boost::system::error_code;

struct EventLoop::Impl {
    Impl();

    // The context comes last: handlers that it destroys may still cancel their timers.
    Rattandeck::TimerService timers;
    std::optional<Rattandeck::TimePoint> alarmTime;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<Executor> work;
    boost::asio::posix::basic_stream_descriptor<Executor> alarm;

    /// Shows the true time to the handler that runs next.
    void beforeHandler();
    /// Sets the alarm for timers that the handler subscribed.
    void afterHandler();
    void waitForAlarm();

    /// Wraps a completion handler, so that a thread that was paused sees the true time before it acts.
    template <typename Handler> auto bind(Handler handler)
    {
        return [this, handler = std::move(handler)](auto&&... arguments) mutable {
            this->beforeHandler();
            handler(std::forward<decltype(arguments)>(arguments)...);
            this->afterHandler();
        };
    }
};

/// Resolves an IP number and port; names are not looked up.
tl::expected<Tcp::endpoint, NetError> toEndpoint(const Address& address);
/// Opens a listening socket.
tl::expected<void, NetError> listenOn(Acceptor& acceptor, const Address& address);

}
