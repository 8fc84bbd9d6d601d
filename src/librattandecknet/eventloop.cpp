#include "RattandeckNet/eventloop.h"

#include "loopimpl.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <ctime>
#include <sys/timerfd.h>
#include <system_error>
#include <unistd.h>

namespace RattandeckNet {

namespace Asio = boost::asio;
using Rattandeck::TimePoint;

// Clock ---------------------------------------------------------------------------------------------------------

static TimePoint bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

static int createAlarm()
{
    const int descriptor = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    if (descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "timerfd_create");
    return descriptor;
}

static void setAlarm(int descriptor, TimePoint when)
{
    // A value of 0 would disarm the timer.
    const auto sinceBoot = std::max(when.time_since_epoch(), Rattandeck::Duration(1));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceBoot);
    itimerspec spec {};
    spec.it_value.tv_sec = seconds.count();
    spec.it_value.tv_nsec = (sinceBoot - seconds).count();
    timerfd_settime(descriptor, TFD_TIMER_ABSTIME, &spec, nullptr);
}

// Loop ------------------------------------------------------------------------------------------------------------

EventLoop::Impl::Impl()
    : work(this->context.get_executor())
    , alarm(this->context.get_executor(), createAlarm())
{
    this->updateTime();
    this->waitForAlarm();
}

void EventLoop::Impl::updateTime() { this->timers.updateNow(bootTime()); }

void EventLoop::Impl::afterHandler()
{
    // Only an earlier due time resets the alarm. Most timers are cancelled, so a later one is set when the alarm fires.
    const auto due = this->timers.nextDue();
    if (!due || (this->alarmTime && *this->alarmTime <= *due))
        return;
    this->alarmTime = due;
    setAlarm(this->alarm.native_handle(), *due);
}

void EventLoop::Impl::waitForAlarm()
{
    this->alarm.async_wait(Asio::posix::descriptor_base::wait_read, [this](const ErrorCode& error) {
        if (error)
            return;
        std::uint64_t expirations = 0;
        if (read(this->alarm.native_handle(), &expirations, sizeof(expirations)) > 0)
            this->alarmTime.reset();
        // If the process was paused, subscribers must see the current time, not the time at which they were due.
        this->updateTime();
        const auto present = bootTime();
        // After an exception the timers that are due still run.
        do {
            this->guard([&] { this->timers.advanceTo(present); });
        } while (this->timers.nextDue().value_or(Rattandeck::TimePoint::max()) <= present);
        this->afterHandler();
        this->waitForAlarm();
    });
}

EventLoop::EventLoop()
    : impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

Rattandeck::TimerService& EventLoop::timers() { return this->impl->timers; }

void EventLoop::refreshTime() { this->impl->updateTime(); }

EventLoop::Impl& EventLoop::internals() { return *this->impl; }

void EventLoop::post(std::function<void()> task) { Asio::post(this->impl->context, this->impl->bind(std::move(task))); }

static void waitForSignal(
    EventLoop::Impl& loop, std::shared_ptr<Asio::signal_set> signals, std::function<void()> handler)
{
    auto& source = *signals;
    source.async_wait(
        loop.bind([&loop, signals = std::move(signals), handler = std::move(handler)](const ErrorCode& error, int) {
            if (error)
                return;
            waitForSignal(loop, signals, handler);
            handler();
        }));
}

void EventLoop::onSignal(int signalNumber, std::function<void()> handler)
{
    auto signals = std::make_shared<Asio::signal_set>(this->impl->context, signalNumber);
    waitForSignal(*this->impl, std::move(signals), std::move(handler));
}

void EventLoop::onHandlerError(std::function<void(const std::exception&)> handler)
{
    this->impl->errorHandler = std::move(handler);
}

void EventLoop::run()
{
    this->impl->updateTime();
    this->impl->afterHandler();
    this->impl->context.run();
    this->impl->context.restart();
}

void EventLoop::stop() { this->impl->context.stop(); }

// Addresses -----------------------------------------------------------------------------------------------------

tl::expected<Tcp::endpoint, NetError> toEndpoint(const Address& address)
{
    ErrorCode error;
    const auto number = Asio::ip::make_address(address.host, error);
    if (error)
        return tl::unexpected(NetError::BadAddress);
    return Tcp::endpoint(number, address.port);
}

tl::expected<void, NetError> listenOn(Acceptor& acceptor, const Address& address)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    ErrorCode error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(Asio::socket_base::max_listen_connections, error);
    if (!error)
        return {};
    ErrorCode ignored;
    acceptor.close(ignored);
    const bool inUse = error == Asio::error::address_in_use;
    return tl::unexpected(inUse ? NetError::AddressInUse : NetError::BadAddress);
}

}
