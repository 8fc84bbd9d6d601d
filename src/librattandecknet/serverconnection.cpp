#include "serverconnection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <boost/asio/post.hpp>

#include <array>
#include <charconv>

namespace RattandeckNet {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

constexpr std::size_t readSize = 16UL * 1024;
/// How long a connection stays half open after its last response. Closing with unread data sends a reset, by which the
/// client could lose the response if it had not received it yet.
constexpr std::chrono::seconds lingerTime { 1 };
/// How long an idle connection is kept after the server has stopped accepting.
constexpr std::chrono::milliseconds idleGrace { 200 };

ServerConnection::ServerConnection(std::shared_ptr<HttpServer::Impl> server, Socket socket)
    : server(std::move(server))
    , loop(this->server->loop)
    , socket(std::move(socket))
    // Must hold a whole header and a read beyond it; bodies are removed as they are parsed.
    , buffer(this->server->limits.maxHeaderBytes + 2 * readSize)
{
}

// Reading --------------------------------------------------------------------------------------------------------

void ServerConnection::start()
{
    ErrorCode ignored;
    this->socket.set_option(Tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    this->startReading();
}

void ServerConnection::refuse()
{
    ErrorCode ignored;
    this->socket.non_blocking(true, ignored);
    this->startReading();
    this->reject(503);
}

void ServerConnection::startReading()
{
    this->state = State::Reading;
    this->hasSentContinue = false;
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->server->limits.maxHeaderBytes));
    this->parser->body_limit(this->server->limits.maxBodyBytes);
    this->setDeadline(this->server->limits.idleTimeout);
    if (this->buffer.size() > 0)
        this->parse();
    else
        this->read();
}

void ServerConnection::read()
{
    if (this->isReadPending || this->state == State::Closed)
        return;
    this->isReadPending = true;
    // Most connections are idle most of the time, so read memory is allocated only once data is available.
    this->socket.async_wait(
        Socket::wait_read, this->loop.bind([self = this->shared_from_this()](const ErrorCode& error) {
            if (error)
                self->onRead(error, 0);
            else
                self->readNow();
        }));
}

void ServerConnection::readNow()
{
    if (this->state == State::Closed) {
        this->isReadPending = false;
        return;
    }
    if (this->state == State::Lingering && !this->isDraining) {
        this->isReadPending = false;
        this->checkClosed();
        return;
    }
    ErrorCode error;
    const std::size_t size = this->socket.read_some(this->buffer.prepare(readSize), error);
    if (error == Asio::error::would_block) {
        this->isReadPending = false;
        this->read();
        return;
    }
    this->onRead(error, size);
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit();
}

void ServerConnection::onRead(const ErrorCode& error, std::size_t size)
{
    this->isReadPending = false;
    if (this->state == State::Closed)
        return;
    if (error) {
        this->disconnect();
        return;
    }
    if (this->state == State::Lingering) {
        this->read();
        return;
    }
    const bool isFirst = this->buffer.size() == 0 && this->parser && !this->parser->got_some();
    this->buffer.commit(size);
    // Data received during a response belongs to the next request. It stays in the buffer, and reading pauses.
    if (this->state != State::Reading)
        return;
    if (isFirst)
        this->setDeadline(this->server->limits.readTimeout);
    this->parse();
}

static int statusFor(const ErrorCode& error)
{
    if (error == Http::error::header_limit || error == Http::error::buffer_overflow)
        return 431;
    if (error == Http::error::body_limit)
        return 413;
    return 400;
}

void ServerConnection::parse()
{
    ErrorCode error;
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error && error != Http::error::need_more) {
        this->reject(statusFor(error));
        return;
    }
    if (this->parser->is_done()) {
        this->dispatch();
        return;
    }
    // The parser limits the header size, but not the length of a chunk extension.
    if (this->buffer.size() > this->server->limits.maxHeaderBytes + readSize) {
        this->reject(431);
        return;
    }
    this->acceptExpectation();
    this->read();
}

void ServerConnection::acceptExpectation()
{
    if (this->hasSentContinue || !this->parser->is_header_done())
        return;
    if (!boost::beast::iequals(this->parser->get()[Http::field::expect], "100-continue"))
        return;
    this->hasSentContinue = true;
    this->queued += "HTTP/1.1 100 Continue\r\n\r\n";
    this->flush();
}

void ServerConnection::dispatch()
{
    this->loop.timers.cancel(this->deadline);
    auto message = this->parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    readTarget(std::string_view(message.target().data(), message.target().size()), request);
    request.headers = toHeaders(message);
    request.body = std::move(message.body());

    this->state = State::Responding;
    this->isCounted = true;
    ++this->server->inFlight;
    ++this->requestNumber;
    this->isHead = message.method() == Http::verb::head;
    this->isChunked = message.version() >= 11;
    this->keepAlive = message.keep_alive();
    this->hasBegun = false;
    this->isResponseComplete = false;

    const auto server = this->server;
    HttpResponder responder(std::make_shared<HttpResponder::Impl>(this->shared_from_this(), this->requestNumber));
    const std::uint64_t current = this->requestNumber;
    server->handler(std::move(request), std::move(responder));
    // Keeps reading, to detect that the client disconnects.
    if (this->isResponding(current) && this->buffer.size() == 0)
        this->read();
}

void ServerConnection::reject(int status)
{
    this->isDraining = true;
    this->state = State::Responding;
    ++this->requestNumber;
    this->isHead = false;
    this->keepAlive = false;
    this->hasBegun = false;
    this->isResponseComplete = false;
    this->send(this->requestNumber, HttpResponse { status, {}, {} });
}

// Responding --------------------------------------------------------------------------------------------------------

bool ServerConnection::isResponding(std::uint64_t request) const
{
    return this->state == State::Responding && request == this->requestNumber && !this->isResponseComplete;
}

void ServerConnection::appendHead(int status, HttpHeaders headers, std::optional<std::size_t> length)
{
    this->keepAlive = this->keepAlive && !this->server->closesAfterResponses && (length || this->isChunked);
    headers.erase("content-length");
    headers.erase("transfer-encoding");
    headers["connection"] = this->keepAlive ? "keep-alive" : "close";
    if (length)
        headers["content-length"] = std::to_string(*length);
    else if (this->isChunked)
        headers["transfer-encoding"] = "chunked";

    const auto reason = Http::obsolete_reason(Http::int_to_status(static_cast<unsigned>(status)));
    this->queued += "HTTP/1.1 " + std::to_string(status) + " ";
    this->queued.append(reason.data(), reason.size());
    this->queued += "\r\n";
    appendHeaders(this->queued, headers);
    this->queued += "\r\n";
    this->hasBegun = true;
}

void ServerConnection::send(std::uint64_t request, HttpResponse response)
{
    if (!this->isResponding(request) || this->hasBegun)
        return;
    this->appendHead(response.status, std::move(response.headers), response.body.size());
    if (!this->isHead)
        this->queued += response.body;
    this->isResponseComplete = true;
    this->flush();
}

void ServerConnection::begin(std::uint64_t request, int status, HttpHeaders headers)
{
    if (!this->isResponding(request) || this->hasBegun)
        return;
    this->appendHead(status, std::move(headers), std::nullopt);
    this->flush();
}

static void appendChunk(std::string& output, std::string_view chunk)
{
    std::array<char, 2 * sizeof(std::size_t)> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), chunk.size(), 16);
    output.append(digits.data(), end);
    output += "\r\n";
    output += chunk;
    output += "\r\n";
}

void ServerConnection::write(std::uint64_t request, std::string_view chunk)
{
    // An empty chunk would terminate the response.
    if (!this->isResponding(request) || !this->hasBegun || chunk.empty() || this->isHead)
        return;
    if (this->isChunked)
        appendChunk(this->queued, chunk);
    else
        this->queued += chunk;
    if (this->unsentBytes() > this->server->limits.maxUnsentBytes) {
        this->disconnect();
        return;
    }
    this->flush();
}

void ServerConnection::end(std::uint64_t request)
{
    if (!this->isResponding(request) || !this->hasBegun)
        return;
    if (this->isChunked && !this->isHead)
        this->queued += "0\r\n\r\n";
    this->isResponseComplete = true;
    this->flush();
}

void ServerConnection::abort(std::uint64_t request)
{
    if (!this->isResponding(request))
        return;
    // Sends a reset, since an orderly close would complete a response that has no length.
    ErrorCode ignored;
    this->socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void ServerConnection::abandon(std::uint64_t request)
{
    if (this->hasBegun)
        this->abort(request);
    else
        this->send(request, HttpResponse { 500, {}, {} });
}

void ServerConnection::setOnClosed(std::uint64_t request, std::function<void()> handler)
{
    if (request != this->requestNumber || this->isResponseComplete)
        return;
    if (this->state == State::Responding)
        this->onClosed = std::move(handler);
    else
        Asio::post(this->loop.context, this->loop.bind(std::move(handler)));
}

// Writing --------------------------------------------------------------------------------------------------------

void ServerConnection::flush()
{
    if (this->state == State::Closed)
        return;
    if (this->written == this->writing.size()) {
        this->writing.clear();
        this->written = 0;
        std::swap(this->writing, this->queued);
        if (this->writing.empty())
            return;
        if (this->state == State::Responding)
            this->setDeadline(this->server->limits.readTimeout);
    } else {
        return;
    }
    this->socket.async_write_some(Asio::buffer(this->writing),
        this->loop.bind([self = this->shared_from_this()](
                            const ErrorCode& error, std::size_t size) { self->onWritten(error, size); }));
}

void ServerConnection::onWritten(const ErrorCode& error, std::size_t size)
{
    if (this->state == State::Closed)
        return;
    if (error) {
        this->disconnect();
        return;
    }
    this->written += size;
    if (this->written < this->writing.size()) {
        // Progress extends the deadline, which is meant for a client that reads nothing.
        if (this->state == State::Responding)
            this->setDeadline(this->server->limits.readTimeout);
        this->socket.async_write_some(Asio::buffer(this->writing) + this->written,
            this->loop.bind([self = this->shared_from_this()](
                                const ErrorCode& error, std::size_t size) { self->onWritten(error, size); }));
        return;
    }
    if (!this->queued.empty()) {
        this->flush();
        return;
    }
    if (this->state != State::Responding)
        return;
    this->loop.timers.cancel(this->deadline);
    if (this->isResponseComplete)
        this->finishResponse();
}

void ServerConnection::finishResponse()
{
    this->onClosed = nullptr;
    if (this->isCounted) {
        this->isCounted = false;
        --this->server->inFlight;
    }
    if (!this->keepAlive) {
        this->linger();
        return;
    }
    this->startReading();
    if (this->server->stopping)
        this->stopWhenIdle();
}

// Closing --------------------------------------------------------------------------------------------------------

void ServerConnection::linger()
{
    this->state = State::Lingering;
    ErrorCode ignored;
    this->socket.shutdown(Socket::shutdown_send, ignored);
    this->setDeadline(lingerTime);
    if (this->isDraining) {
        if (!this->isReadPending)
            this->buffer.clear();
        this->read();
    } else {
        this->waitForClose();
    }
}

/// Waits until the client closes. A request that it sends now is left unread, so that the reset tells the client that
/// the request has not been processed.
void ServerConnection::waitForClose()
{
    if (this->isReadPending)
        return;
    this->isReadPending = true;
    this->socket.async_wait(
        Socket::wait_read, this->loop.bind([self = this->shared_from_this()](const ErrorCode& error) {
            self->isReadPending = false;
            if (!error)
                self->checkClosed();
        }));
}

/// Closes the connection if the client has. Nothing is waited for once there is data, which stays unread.
void ServerConnection::checkClosed()
{
    if (this->state == State::Closed)
        return;
    char byte = 0;
    ErrorCode error;
    this->socket.receive(Asio::buffer(&byte, 1), Socket::message_peek, error);
    if (error == Asio::error::would_block)
        this->waitForClose();
    else if (error)
        this->disconnect();
}

void ServerConnection::stopWhenIdle()
{
    const bool isIdle = this->state == State::Reading && this->buffer.size() == 0 && !this->parser->got_some();
    if (isIdle)
        this->setDeadline(idleGrace);
}

void ServerConnection::setDeadline(Rattandeck::Duration delay)
{
    this->loop.timers.cancel(this->deadline);
    this->deadline = this->loop.timers.subscribeAfter(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onDeadline();
    });
}

void ServerConnection::onDeadline()
{
    const bool isRequestIncomplete
        = this->state == State::Reading && (this->buffer.size() > 0 || this->parser->got_some());
    if (isRequestIncomplete)
        this->reject(408);
    else if (this->state == State::Responding)
        this->disconnect();
    else
        this->close();
}

void ServerConnection::disconnect()
{
    if (this->state == State::Closed)
        return;
    const bool isIncomplete = this->state == State::Responding && !this->isResponseComplete;
    std::function<void()> handler = std::move(this->onClosed);
    this->close();
    // Posted, since this may run within a call made by the handler's owner.
    if (isIncomplete && handler)
        Asio::post(this->loop.context, this->loop.bind(std::move(handler)));
}

void ServerConnection::close()
{
    if (this->state == State::Closed)
        return;
    const auto self = this->shared_from_this();
    this->state = State::Closed;
    this->loop.timers.cancel(this->deadline);
    ErrorCode ignored;
    this->socket.close(ignored);
    this->onClosed = nullptr;
    if (this->isCounted)
        --this->server->inFlight;
    this->isCounted = false;
    this->server->connections.erase(self);
}

}
