#include "clientconnection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace RattandeckNet {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

constexpr std::size_t readSize = 16UL * 1024;
constexpr std::size_t maxHeaderBytes = 64UL * 1024;
/// Bytes of a response that bring no data to the call: heads, interim responses, responses to other calls and chunk
/// framing, the last in proportion to the data.
constexpr std::size_t maxOverheadBytes = 1024UL * 1024;
constexpr std::size_t maxOverheadPerDataByte = 16;
/// How long an idle connection is reused if the server sends no `Keep-Alive: timeout`.
constexpr std::chrono::milliseconds defaultKeepAlive { 400 };
/// An idle connection is no longer reused this long before the server is expected to close it.
constexpr std::chrono::milliseconds keepAliveMargin { 600 };
constexpr long long maxKeepAliveSeconds = 3600;
constexpr std::string_view timeoutKey = "timeout=";
/// RFC 9110, 15: a status is a number of three digits, of which the first one is the class.
constexpr int minStatus = 100;
constexpr int maxStatus = 599;

ClientConnection::ClientConnection(std::shared_ptr<HttpClient::Impl> client)
    : client(std::move(client))
    , loop(this->client->loop)
    , socket(this->loop.context.get_executor())
    , buffer(maxHeaderBytes + 2 * readSize)
{
}

void ClientConnection::connect(std::shared_ptr<ClientCall> first)
{
    this->call = std::move(first);
    if (this->client->connectTimeout) {
        this->connectTimer
            = this->loop.timers.subscribeAfter(*this->client->connectTimeout, [weak = this->weak_from_this()] {
                  const auto self = weak.lock();
                  if (self && !self->isClosed)
                      self->fail(NetError::NotSent);
              });
    }
    auto onConnect = [self = this->shared_from_this()](const ErrorCode& error) {
        if (self->isClosed)
            return;
        self->loop.timers.cancel(self->connectTimer);
        if (error) {
            self->fail(NetError::ConnectFailed);
            return;
        }
        ErrorCode ignored;
        self->socket.set_option(Tcp::no_delay(true), ignored);
        self->socket.non_blocking(true, ignored);
        self->isEstablished = true;
        self->client->onEstablished();
        if (self->call) {
            self->run(std::move(self->call));
            return;
        }
        self->client->isChecking = false;
        self->keepAliveTime = defaultKeepAlive;
        self->becomeIdle();
        self->client->startWaiting();
    };
    this->socket.async_connect(*this->client->endpoint, this->loop.bind(std::move(onConnect)));
}

void ClientConnection::run(std::shared_ptr<ClientCall> next)
{
    ++this->useCount;
    this->call = std::move(next);
    // The process may have been suspended, or the connection may have taken long.
    this->loop.updateTime();
    if (this->call->writeBy && this->loop.timers.now() > *this->call->writeBy) {
        this->failLater(NetError::NotSent);
        return;
    }
    this->written = 0;
    this->isWritten = false;
    this->parsedBytes = 0;
    this->dataBytes = 0;
    this->buffer.clear();
    this->resetParser();
    this->call->mayBeSent = true;
    if (this->call->callbacks.onWrite)
        this->call->callbacks.onWrite();
    this->write();
    this->read();
}

bool ClientConnection::isExpired() const { return this->loop.timers.now() - this->idleSince > this->keepAliveTime; }

bool ClientConnection::isUsable()
{
    if (this->isExpired())
        return false;
    char byte = 0;
    ErrorCode error;
    this->socket.receive(Asio::buffer(&byte, 1), Socket::message_peek, error);
    return error == Asio::error::would_block;
}

void ClientConnection::resetParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(maxHeaderBytes);
    this->parser->body_limit(boost::none);
    this->parser->skip(this->call->isHead);
    this->isHeadDelivered = false;
    this->isForeignResponse = false;
}

// Request ------------------------------------------------------------------------------------------------------------

void ClientConnection::write()
{
    const std::size_t headSize = this->call->head.size();
    const std::array rest { Asio::const_buffer(Asio::buffer(this->call->head) + this->written),
        Asio::const_buffer(Asio::buffer(this->call->body) + (this->written - std::min(this->written, headSize))) };
    // The call owns the bytes and must outlive the write, also if it is cancelled.
    this->socket.async_write_some(rest,
        this->loop.bind([self = this->shared_from_this(), call = this->call](const ErrorCode& error, std::size_t size) {
            if (!self->isClosed && self->call == call)
                self->onWritten(error, size);
        }));
}

void ClientConnection::onWritten(const ErrorCode& error, std::size_t size)
{
    this->written += size;
    if (error && this->written == 0) {
        this->call->mayBeSent = false;
        this->fail(NetError::NotSent);
        return;
    }
    // After a failed write the read continues, to get the server's early response or the connection's reset.
    if (error)
        return;
    if (this->written < this->call->head.size() + this->call->body.size()) {
        this->write();
        return;
    }
    this->isWritten = true;
    std::string().swap(this->call->body);
}

// Response -----------------------------------------------------------------------------------------------------------

void ClientConnection::read()
{
    if (this->isReadPending || this->isClosed || (this->call && this->call->isPaused))
        return;
    this->isReadPending = true;
    this->socket.async_read_some(this->buffer.prepare(readSize),
        this->loop.bind([self = this->shared_from_this()](const ErrorCode& error, std::size_t size) {
            self->isReadPending = false;
            if (!self->isClosed)
                self->onRead(error, size);
        }));
}

void ClientConnection::resume()
{
    // The call is still connecting if there is no parser.
    if (this->call && this->parser)
        this->read();
}

void ClientConnection::onRead(const ErrorCode& error, std::size_t size)
{
    if (error) {
        this->onPeerClosed(error);
        return;
    }
    this->client->noteHeard();
    this->buffer.commit(size);
    this->parse();
}

void ClientConnection::parse()
{
    const auto current = this->call;
    while (this->buffer.size() > 0) {
        ErrorCode error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        this->parsedBytes += used;
        const bool isInvalid = error && error != Http::error::need_more;
        if (isInvalid || this->parsedBytes > this->dataBytes * maxOverheadPerDataByte + maxOverheadBytes + readSize) {
            this->fail(NetError::Malformed);
            return;
        }
        if (!this->deliver())
            return;
        if (this->parser->is_done()) {
            this->finish();
            return;
        }
        if (used == 0)
            break;
    }
    if (this->buffer.size() > maxHeaderBytes + readSize) {
        this->fail(NetError::Malformed);
        return;
    }
    this->read();
}

/// Passes parsed data to the callbacks. Returns false if that ended the call, or if the response was interim or
/// skipped and a new one has been started.
bool ClientConnection::deliver()
{
    const auto current = this->call;
    if (!this->parser->is_header_done())
        return true;
    const auto status = static_cast<int>(this->parser->get().result_int());
    if (status < minStatus || status > maxStatus) {
        this->fail(NetError::Malformed);
        return false;
    }
    if (status >= 100 && status < 200 && this->parser->is_done()) {
        this->resetParser();
        this->parse();
        return false;
    }
    if (!this->isHeadDelivered) {
        this->isHeadDelivered = true;
        this->deliverHead(status);
    }
    if (this->isClosed || this->call != current)
        return false;
    if (this->isForeignResponse) {
        this->parser->get().body().clear();
        if (!this->parser->is_done())
            return true;
        this->resetParser();
        this->parse();
        return false;
    }
    const std::string chunk = std::move(this->parser->get().body());
    this->parser->get().body().clear();
    this->dataBytes += chunk.size();
    if (!chunk.empty() && current->callbacks.onData)
        current->callbacks.onData(chunk);
    return !this->isClosed && this->call == current;
}

void ClientConnection::deliverHead(int status)
{
    const HttpHeaders headers = toHeaders(this->parser->get());
    const HttpCallbacks& callbacks = this->call->callbacks;
    if (callbacks.isOwn && !callbacks.isOwn(headers)) {
        this->isForeignResponse = true;
        return;
    }
    this->mayBeReused = !callbacks.isNamed || callbacks.isNamed(headers);
    this->updateKeepAliveTime(headers);
    if (callbacks.onHead)
        callbacks.onHead(status, headers);
}

void ClientConnection::updateKeepAliveTime(const HttpHeaders& headers)
{
    std::chrono::milliseconds duration = defaultKeepAlive;
    const auto field = headers.find("keep-alive");
    const std::size_t mark = field == headers.end() ? std::string::npos : field->second.find(timeoutKey);
    if (mark != std::string::npos) {
        const std::string& text = field->second;
        long long seconds = 0;
        std::from_chars(text.data() + mark + timeoutKey.size(), text.data() + text.size(), seconds);
        const std::chrono::seconds stated(std::clamp(seconds, 0LL, maxKeepAliveSeconds));
        duration = std::max<std::chrono::milliseconds>(stated - keepAliveMargin, defaultKeepAlive);
    }
    this->keepAliveTime = duration;
}

void ClientConnection::onPeerClosed(const ErrorCode& error)
{
    if (error != Asio::error::eof || !this->parser->got_some()) {
        this->client->noteLoss(true);
        this->fail(NetError::Broken);
        return;
    }
    // A response without a length ends with the connection. While the request is being written, the end tells nothing:
    // a write takes the error of a reset, after which a read finds an orderly end.
    ErrorCode parseError;
    this->parser->put_eof(parseError);
    if (parseError || !this->parser->is_done() || !this->isWritten) {
        this->client->noteLoss(true);
        this->fail(NetError::Broken);
    } else if (this->deliver())
        this->finish();
}

// End of a call ------------------------------------------------------------------------------------------------------

void ClientConnection::finish()
{
    const auto self = this->shared_from_this();
    const auto owner = this->client;
    const auto ended = std::move(this->call);
    const bool isReusable
        = this->mayBeReused && this->parser->keep_alive() && this->buffer.size() == 0 && this->isWritten;
    this->parser.reset();
    this->buffer.shrink_to_fit();
    if (isReusable)
        this->becomeIdle();
    else
        this->close();
    owner->end(ended, {});
}

void ClientConnection::becomeIdle()
{
    this->idleSince = this->loop.timers.now();
    this->client->idle.push_back(this->shared_from_this());
    this->waitIdle();
}

void ClientConnection::fail(NetError error)
{
    const auto self = this->shared_from_this();
    const auto owner = this->client;
    const auto ended = std::move(this->call);
    this->close();
    if (ended)
        owner->end(ended, tl::unexpected(error));
    else
        owner->reportLoss();
}

void ClientConnection::failLater(NetError error)
{
    Asio::post(this->loop.context, this->loop.bind([self = this->shared_from_this(), error] {
        if (!self->isClosed)
            self->fail(error);
    }));
}

void ClientConnection::waitIdle()
{
    // Waits without reading: data received while idle must not be taken as the response to a later request.
    this->socket.async_wait(
        Socket::wait_read, this->loop.bind([self = this->shared_from_this(), use = this->useCount](const ErrorCode&) {
            if (self->isClosed || self->useCount != use || self->call)
                return;
            if (self->loop.timers.now() - self->idleSince < self->keepAliveTime)
                self->client->noteLoss(self->useCount > 0);
            self->close();
        }));
}

void ClientConnection::close()
{
    if (this->isClosed)
        return;
    const auto self = this->weak_from_this().lock();
    this->isClosed = true;
    this->loop.timers.cancel(this->connectTimer);
    this->call = nullptr;
    ErrorCode ignored;
    this->socket.close(ignored);
    std::erase(this->client->idle, self);
    this->client->connections.erase(self);
    if (this->isEstablished)
        this->client->onEstablishedClosed();
}

}
