#include "clientconnection.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace RattandeckNet {

namespace Asio = boost::asio;

HttpClient::Impl::Impl(EventLoop& owner, Address server, std::size_t maxConnections)
    : loop(owner.internals())
    , server(std::move(server))
    , endpoint(toEndpoint(this->server))
    , maxConnections(std::max<std::size_t>(maxConnections, 1))
{
}

void HttpClient::Impl::noteHeard()
{
    const Rattandeck::TimePoint now = this->loop.timers.now();
    if (!this->lastHeard || now - *this->lastHeard > maxSilence)
        this->heardSince = now;
    this->lastHeard = now;
}

void HttpClient::Impl::onEstablished()
{
    this->noteHeard();
    if (this->established++ == 0)
        this->connectedSince = this->loop.timers.now();
}

void HttpClient::Impl::onEstablishedClosed()
{
    if (--this->established > 0)
        return;
    this->connectedSince.reset();
    this->lastHeard.reset();
}

void HttpClient::Impl::noteLoss(bool hasRunCalls)
{
    Asio::post(this->loop.context, this->loop.bind([weak = this->weak_from_this(), hasRunCalls] {
        const auto self = weak.lock();
        if (!self || self->isShutDown || self->established > 0 || !self->lostHandler)
            return;
        // A server that ends connections before they run a call isn't tried again.
        if (hasRunCalls)
            self->checkServer();
        else
            self->reportLoss();
    }));
}

std::string_view describe(ConnectCause cause)
{
    switch (cause) {
    case ConnectCause::First:
        return "first";
    case ConnectCause::NoneOpen:
        return "none open";
    case ConnectCause::AllBusy:
        return "all busy";
    case ConnectCause::Expired:
        return "idle ones expired";
    case ConnectCause::FoundClosed:
        return "idle one found closed";
    case ConnectCause::Check:
        return "check";
    }
    return "";
}

std::shared_ptr<ClientConnection> HttpClient::Impl::addConnection(ConnectCause cause)
{
    auto connection = std::make_shared<ClientConnection>(this->shared_from_this());
    this->connections.insert(connection);
    this->hasConnected = true;
    if (this->connectHandler)
        this->connectHandler(cause, this->connections.size());
    return connection;
}

void HttpClient::Impl::checkServer()
{
    if (this->isChecking || !this->endpoint)
        return;
    this->isChecking = true;
    this->addConnection(ConnectCause::Check)->connect(nullptr);
}

void HttpClient::Impl::reportLoss()
{
    this->isChecking = false;
    if (!this->isShutDown && this->lostHandler)
        this->lostHandler();
}

std::string HttpClient::Impl::serialiseHead(const HttpRequest& request) const
{
    HttpHeaders headers = request.headers;
    headers.erase("transfer-encoding");
    headers.try_emplace("host", toString(this->server));
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        headers["content-length"] = std::to_string(request.body.size());
    std::string bytes = request.method + " " + writeTarget(request) + " HTTP/1.1\r\n";
    appendHeaders(bytes, headers);
    bytes += "\r\n";
    return bytes;
}

void HttpClient::Impl::startCall(const std::shared_ptr<ClientCall>& call)
{
    if (!this->endpoint) {
        Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this(), call] {
            self->end(call, tl::unexpected(self->endpoint.error()));
        }));
        return;
    }
    ConnectCause cause = this->hasConnected ? ConnectCause::NoneOpen : ConnectCause::First;
    if (!this->connections.empty())
        cause = ConnectCause::AllBusy;
    while (!this->idle.empty()) {
        const auto connection = this->idle.back();
        if (connection->isUsable()) {
            this->idle.pop_back();
            this->running[call->id] = connection;
            connection->run(call);
            return;
        }
        cause = connection->isExpired() ? ConnectCause::Expired : ConnectCause::FoundClosed;
        connection->close();
    }
    if (this->connections.size() >= this->maxConnections) {
        this->waiting.push_back(call);
        return;
    }
    const auto connection = this->addConnection(cause);
    this->running[call->id] = connection;
    connection->connect(call);
}

void HttpClient::Impl::startWaiting()
{
    while (!this->waiting.empty() && (!this->idle.empty() || this->connections.size() < this->maxConnections)) {
        const auto call = this->waiting.front();
        this->waiting.pop_front();
        if (!call->isEnded)
            this->startCall(call);
    }
}

void HttpClient::Impl::end(const std::shared_ptr<ClientCall>& call, tl::expected<void, NetError> outcome)
{
    if (call->isEnded)
        return;
    const auto self = this->shared_from_this();
    call->isEnded = true;
    this->loop.timers.cancel(call->timer);
    this->calls.erase(call->id);
    this->running.erase(call->id);
    this->startWaiting();
    if (call->callbacks.onEnd && !call->isCancelled)
        call->callbacks.onEnd(outcome);
}

void HttpClient::Impl::expire(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    const auto call = found->second;
    const auto connection = this->running.find(id);
    if (connection != this->running.end())
        connection->second->close();
    this->end(call, tl::unexpected(call->mayBeSent ? NetError::TimedOut : NetError::NotSent));
}

void HttpClient::Impl::cancel(CallId id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    // One of the call's callbacks may be running now, so they must not be destroyed here. `isCancelled` keeps `end`
    // from calling `onEnd`.
    found->second->isCancelled = true;
    this->expire(id);
}

void HttpClient::Impl::setPaused(CallId id, bool isPaused)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || found->second->isPaused == isPaused)
        return;
    found->second->isPaused = isPaused;
    const auto connection = this->running.find(id);
    if (!isPaused && connection != this->running.end())
        connection->second->resume();
}

void HttpClient::Impl::shutdown()
{
    this->isShutDown = true;
    this->waiting.clear();
    for (const auto& [id, call] : this->calls) {
        call->isEnded = true;
        this->loop.timers.cancel(call->timer);
    }
    this->calls.clear();
    this->running.clear();
    const auto open = std::move(this->connections);
    this->connections.clear();
    for (const auto& connection : open)
        connection->close();
}

HttpClient::HttpClient(EventLoop& loop, Address server, std::size_t maxConnections)
    : impl(std::make_shared<Impl>(loop, std::move(server), maxConnections))
{
}

HttpClient::~HttpClient() { this->impl->shutdown(); }

void HttpClient::setConnectTimeout(std::chrono::milliseconds timeout) { this->impl->connectTimeout = timeout; }

HttpClient::CallId HttpClient::start(HttpRequest request, std::chrono::milliseconds timeout, HttpCallbacks callbacks,
    std::optional<Rattandeck::TimePoint> writeBy)
{
    const auto call = std::make_shared<ClientCall>();
    call->id = ++this->impl->lastId;
    call->head = this->impl->serialiseHead(request);
    call->body = std::move(request.body);
    call->isHead = request.method == "HEAD";
    call->callbacks = std::move(callbacks);
    call->writeBy = writeBy;
    const std::weak_ptr<Impl> weak = this->impl;
    // Outside handlers the timers still have the time of the last one.
    this->impl->loop.updateTime();
    call->timer = this->impl->loop.timers.subscribeAfter(timeout, [weak, id = call->id] {
        if (const auto client = weak.lock())
            client->expire(id);
    });
    this->impl->calls.emplace(call->id, call);
    this->impl->startCall(call);
    return call->id;
}

namespace {

    struct Collector {
        HttpClient::CallId id = 0;
        HttpResponse response;
        std::function<void(tl::expected<HttpResponse, NetError>)> done;
    };

}

HttpClient::CallId HttpClient::fetch(const HttpRequest& request, std::chrono::milliseconds timeout,
    std::function<void(tl::expected<HttpResponse, NetError>)> done, std::size_t maxBody)
{
    const auto collector = std::make_shared<Collector>();
    collector->done = std::move(done);
    HttpCallbacks callbacks;
    callbacks.onHead = [collector](int status, const HttpHeaders& headers) {
        collector->response.status = status;
        collector->response.headers = headers;
    };
    callbacks.onData = [collector, maxBody, weak = std::weak_ptr<Impl>(this->impl)](std::string_view chunk) {
        if (collector->response.body.size() + chunk.size() <= maxBody) {
            collector->response.body += chunk;
            return;
        }
        if (const auto client = weak.lock())
            client->cancel(collector->id);
        collector->done(tl::unexpected(NetError::TooLarge));
    };
    callbacks.onEnd = [collector](tl::expected<void, NetError> outcome) {
        if (outcome)
            collector->done(std::move(collector->response));
        else
            collector->done(tl::unexpected(outcome.error()));
    };
    collector->id = this->start(request, timeout, std::move(callbacks));
    return collector->id;
}

void HttpClient::cancel(CallId call) { this->impl->cancel(call); }

void HttpClient::pause(CallId call) { this->impl->setPaused(call, true); }

void HttpClient::resume(CallId call) { this->impl->setPaused(call, false); }

void HttpClient::onLost(std::function<void()> handler) { this->impl->lostHandler = std::move(handler); }

void HttpClient::onConnect(std::function<void(ConnectCause, std::size_t)> handler)
{
    this->impl->connectHandler = std::move(handler);
}

std::optional<Rattandeck::TimePoint> HttpClient::connectedSince() const { return this->impl->connectedSince; }

bool HttpClient::hasIdle() const
{
    return std::ranges::any_of(this->impl->idle, [](const auto& connection) { return !connection->isExpired(); });
}

std::optional<Rattandeck::TimePoint> HttpClient::heardSince() const
{
    const auto& last = this->impl->lastHeard;
    if (!last || this->impl->loop.timers.now() - *last > maxSilence)
        return std::nullopt;
    return this->impl->heardSince;
}

void HttpClient::dropIdle()
{
    const auto idle = this->impl->idle;
    for (const auto& connection : idle)
        connection->close();
}

}
