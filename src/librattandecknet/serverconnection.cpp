#include "serverconnection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace RattandeckNet {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

constexpr std::size_t readSize = 16UL * 1024;
/// How long a connection stays half open after its last response. Closing with unread data sends a reset, by which the
/// client could lose the response if it had not received it yet.
constexpr std::chrono::seconds lingerTime { 1 };
/// How long an idle connection is kept after the server has stopped accepting.
constexpr std::chrono::milliseconds idleGrace { 200 };
/// Memory of a connection beside what `heldBytes` counts: the object, its socket and its timers.
constexpr std::size_t connectionBytes = 2048;
/// Memory of a header field beside its text: a list element of the parser, or a map element with two strings.
constexpr std::size_t fieldBytes = 112;
/// Seconds after which a refused caller may try again: about as long as a large request holds its memory.
constexpr const char* refusalRetryAfter = "1";

template <typename Message> static HttpRequest readHead(const Message& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    readTarget(std::string_view(message.target().data(), message.target().size()), request);
    request.headers = toHeaders(message);
    return request;
}

ServerConnection::ServerConnection(std::shared_ptr<HttpServer::Impl> server, Socket socket)
    : server(std::move(server))
    , loop(this->server->loop)
    , socket(std::move(socket))
    , share(this->server->budget, *this)
    , stageBegan(this->loop.timers.now())
    , lastProgress(this->stageBegan)
{
    this->share.set(connectionBytes);
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
    this->reject(503, RefusalCause::TooManyConnections);
}

void ServerConnection::startReading()
{
    this->state = State::Reading;
    this->hasSentContinue = false;
    this->isHeadAccepted = false;
    this->headBytes = 0;
    this->headLines = 0;
    this->stageBegan = this->loop.timers.now();
    this->noteProgress();
    this->parser.emplace();
    // The head is parsed by itself, so that it is judged before any of the body is kept.
    this->parser->eager(false);
    this->parser->header_limit(static_cast<std::uint32_t>(this->server->limits.maxHeaderBytes));
    this->parser->body_limit(this->server->limits.maxBodyBytes);
    this->share.set(this->heldBytes());
    if (!this->pending.empty()) {
        this->setDeadline(this->server->limits.readTimeout);
        this->parse();
    } else {
        this->setDeadline(this->server->limits.idleTimeout);
        this->read();
    }
}

void ServerConnection::read()
{
    if (this->isReadPending || this->state == State::Closed)
        return;
    this->isReadPending = true;
    // Most connections are idle most of the time, so all of them read into one buffer of the server.
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
    std::string& input = this->server->input;
    input.resize(readSize);
    ErrorCode error;
    const std::size_t size = this->socket.read_some(Asio::buffer(input), error);
    if (error == Asio::error::would_block) {
        this->isReadPending = false;
        this->read();
        return;
    }
    this->onRead(error, size);
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
    if (this->isDraining) {
        this->read();
        return;
    }
    const bool isFirst = this->state == State::Reading && this->isBeforeRequest();
    this->pending.append(this->server->input, 0, size);
    if (this->isDiscarding) {
        this->noteProgress();
        this->discard();
        return;
    }
    // Data received during a response belongs to the next request. It stays there, and reading pauses.
    if (this->state != State::Reading) {
        this->share.set(this->heldBytes());
        return;
    }
    this->noteProgress();
    if (isFirst) {
        this->stageBegan = this->loop.timers.now();
        this->setDeadline(this->server->limits.readTimeout);
    }
    this->parse();
}

/// Whether nothing of a request has arrived.
bool ServerConnection::isBeforeRequest() const
{
    return this->pending.empty() && this->parser && !this->parser->got_some();
}

static int statusFor(const ErrorCode& error)
{
    if (error == Http::error::header_limit || error == Http::error::buffer_overflow)
        return 431;
    if (error == Http::error::body_limit)
        return 413;
    return 400;
}

static bool isHeadTooLong(const std::string& pending, std::size_t maxHeaderBytes)
{
    // The parser limits the header size, but not the length of a chunk extension.
    return pending.size() > maxHeaderBytes + readSize;
}

static std::size_t countLines(std::string_view text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

/// Whether the head has more fields than are allowed. Checked before they are parsed, as each takes many times its
/// text.
bool ServerConnection::hasTooManyFields() const
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    // The shortest field is "a:" with its line end.
    constexpr std::size_t minFieldBytes = 4;
    const std::size_t most = this->server->limits.maxHeaderFields;
    if (this->headLines * minFieldBytes + this->pending.size() <= most * minFieldBytes)
        return false;
    const std::string_view rest = this->pending;
    // The request line is no field.
    return this->headLines + countLines(rest.substr(0, rest.find(headEnd))) > most + 1;
}

/// Parses what has arrived. Returns false if the bytes are no request; it has been rejected then.
bool ServerConnection::parseSome()
{
    ErrorCode error;
    const std::size_t used = this->parser->put(Asio::buffer(this->pending), error);
    if (!this->isHeadAccepted) {
        const std::size_t lines = countLines(std::string_view(this->pending).substr(0, used));
        this->headLines += lines;
        this->headBytes += used + lines * fieldBytes;
    }
    this->pending.erase(0, used);
    releaseIfIdle(this->pending);
    if (!error || error == Http::error::need_more)
        return true;
    const int status = statusFor(error);
    this->reject(status, status == 400 ? RefusalCause::Malformed : RefusalCause::TooLarge);
    return false;
}

void ServerConnection::parse()
{
    if (!this->isHeadAccepted) {
        if (this->hasTooManyFields()) {
            this->reject(431, RefusalCause::TooManyFields);
            return;
        }
        if (!this->parseSome())
            return;
        if (this->parser->is_header_done() && !this->acceptHead())
            return;
    }
    if (this->isHeadAccepted && !this->parser->is_done()) {
        if (!this->reserveBody()) {
            this->refuseForMemory();
            return;
        }
        if (!this->pending.empty() && !this->parseSome())
            return;
    }
    if (this->parser->is_done()) {
        this->dispatch();
        return;
    }
    if (isHeadTooLong(this->pending, this->server->limits.maxHeaderBytes)) {
        this->reject(431, RefusalCause::TooLarge);
        return;
    }
    if (!this->share.reserve(this->heldBytes(), this->loop.timers.now())) {
        this->refuseForMemory();
        return;
    }
    this->acceptExpectation();
    this->read();
}

/// Decides what the head alone decides. Returns false if the request has been rejected or handed on.
bool ServerConnection::acceptHead()
{
    this->isHeadAccepted = true;
    this->parser->eager(true);
    if (this->parser->is_done())
        return true;
    const auto length = this->parser->content_length();
    const bool isComplete = length && *length <= this->pending.size();
    if (!isComplete && this->server->needsBody) {
        HttpRequest head = readHead(this->parser->get());
        if (!this->server->needsBody(head)) {
            this->dispatchWithoutBody();
            return false;
        }
    }
    if (!isComplete)
        this->setBodyDeadline();
    if (length) {
        const auto bytes = static_cast<std::size_t>(*length);
        if (!this->share.reserve(this->heldBytes() + bytes, this->loop.timers.now())) {
            this->refuseForMemory();
            return false;
        }
        this->parser->get().body().reserve(bytes);
    }
    return true;
}

/// Reserves memory for what has arrived of a body. Returns false if there is none.
bool ServerConnection::reserveBody()
{
    std::string& body = this->parser->get().body();
    const std::size_t needed = body.size() + this->pending.size();
    if (needed <= body.capacity())
        return true;
    const std::size_t most = this->server->limits.maxBodyBytes + readSize;
    const std::size_t capacity = std::max(needed, std::min(2 * body.capacity(), most));
    // Both the old and the new memory are in use while the string grows.
    if (!this->share.reserve(this->heldBytes() + capacity, this->loop.timers.now()))
        return false;
    body.reserve(capacity);
    this->share.set(this->heldBytes());
    return true;
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

static std::size_t countFields(const Http::fields& fields)
{
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

void ServerConnection::dispatch()
{
    // Trailers may have added fields.
    if (countFields(this->parser->get()) > this->server->limits.maxHeaderFields) {
        this->reject(431, RefusalCause::TooManyFields);
        return;
    }
    const std::size_t bodyBytes = this->parser->get().body().size();
    const std::size_t copies = std::max<std::size_t>(this->server->limits.requestCopies, 1);
    this->requestBytes = (this->headBytes + bodyBytes) * copies;
    if (!this->share.reserve(
            connectionBytes + this->pending.capacity() + this->requestBytes, this->loop.timers.now())) {
        this->refuseForMemory();
        return;
    }
    auto message = this->parser->release();
    this->parser.reset();
    HttpRequest request = readHead(message);
    request.body = std::move(message.body());
    this->keepAlive = message.keep_alive();
    this->hand(std::move(request), message.version());
}

/// Hands on a request whose body is not needed, and drops the body as it arrives.
void ServerConnection::dispatchWithoutBody()
{
    HttpRequest request = readHead(this->parser->get());
    request.isBodyOmitted = true;
    this->requestBytes = this->headBytes;
    this->isDiscarding = true;
    // The client may leave out a body that it was not told to send; what follows can't be told from it.
    const bool mayOmitBody = this->parser->get().find(Http::field::expect) != this->parser->get().end();
    this->keepAlive = this->parser->keep_alive() && !mayOmitBody;
    this->hand(std::move(request), this->parser->get().version());
    if (this->state != State::Closed)
        this->discard();
}

void ServerConnection::hand(HttpRequest request, unsigned version)
{
    this->loop.timers.cancel(this->deadline);
    this->state = State::Responding;
    this->stageBegan = this->loop.timers.now();
    this->hasBeenUsed = true;
    this->isCounted = true;
    ++this->server->inFlight;
    ++this->requestNumber;
    this->isHead = request.method == "HEAD";
    this->isChunked = version >= 11;
    this->hasBegun = false;
    this->isResponseComplete = false;
    this->share.set(this->heldBytes());

    const auto server = this->server;
    HttpResponder responder(std::make_shared<HttpResponder::Impl>(this->shared_from_this(), this->requestNumber));
    const std::uint64_t current = this->requestNumber;
    server->handler(std::move(request), std::move(responder));
    // Keeps reading, to detect that the client disconnects.
    if (this->isResponding(current) && this->pending.empty())
        this->read();
}

/// Drops what has arrived of a body that is not needed.
void ServerConnection::discard()
{
    while (!this->pending.empty() && !this->parser->is_done()) {
        ErrorCode error;
        const std::size_t used = this->parser->put(Asio::buffer(this->pending), error);
        this->pending.erase(0, used);
        this->parser->get().body().clear();
        const bool isInvalid = error && error != Http::error::need_more;
        if (isInvalid || isHeadTooLong(this->pending, this->server->limits.maxHeaderBytes)) {
            // The answer is sent, but the connection can't be used again.
            this->keepAlive = false;
            this->isDiscarding = false;
            this->isDraining = true;
            std::string().swap(this->pending);
            this->parser.reset();
            if (this->state == State::Discarding)
                this->linger();
            else
                this->read();
            return;
        }
        if (used == 0)
            break;
    }
    if (this->parser->is_done())
        this->onDiscarded();
    else
        this->read();
}

void ServerConnection::onDiscarded()
{
    this->isDiscarding = false;
    this->parser.reset();
    if (this->state == State::Discarding)
        this->nextRequest();
    else if (this->pending.empty())
        this->read();
}

void ServerConnection::reject(int status, RefusalCause cause)
{
    this->server->budget.countRefusal(cause);
    this->releaseRequest();
    this->isDraining = true;
    this->state = State::Responding;
    ++this->requestNumber;
    this->isHead = false;
    this->keepAlive = false;
    this->hasBegun = false;
    this->isResponseComplete = false;
    HttpResponse response { status, {}, {} };
    if (status == 503)
        response.headers["retry-after"] = refusalRetryAfter;
    this->send(this->requestNumber, std::move(response));
    this->read();
}

void ServerConnection::refuseForMemory() { this->reject(503, RefusalCause::Memory); }

// Memory -------------------------------------------------------------------------------------------------------------

/// Frees what a request that has not been handed on holds.
void ServerConnection::releaseRequest()
{
    this->parser.reset();
    std::string().swap(this->pending);
    this->headBytes = 0;
    this->share.set(this->heldBytes());
}

std::size_t ServerConnection::heldBytes() const
{
    const bool isHandedOn = this->state == State::Responding || this->state == State::Discarding;
    std::size_t bytes = connectionBytes + this->pending.capacity() + this->queued.capacity() + this->writing.capacity();
    bytes += isHandedOn ? this->requestBytes : this->headBytes;
    if (this->parser)
        bytes += this->parser->get().body().capacity();
    return bytes;
}

ConnectionUse ServerConnection::memoryUse() const
{
    const auto now = this->loop.timers.now();
    ConnectionUse use;
    use.heldBytes = this->share.bytes();
    use.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->stageBegan);
    use.sinceProgress = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastProgress);
    use.hasBeenUsed = this->hasBeenUsed;
    if (this->state == State::Reading && !this->isBeforeRequest())
        use.stage = ConnectionStage::Receiving;
    else if (this->state == State::Responding)
        use.stage = this->unsentBytes() > 0 ? ConnectionStage::Sending : ConnectionStage::Running;
    return use;
}

void ServerConnection::reclaimMemory()
{
    if (this->state == State::Reading)
        this->refuseForMemory();
    else
        this->disconnect();
}

// Closing --------------------------------------------------------------------------------------------------------

void ServerConnection::linger()
{
    this->state = State::Lingering;
    ErrorCode ignored;
    this->socket.shutdown(Socket::shutdown_send, ignored);
    this->setDeadline(lingerTime);
    if (this->isDraining) {
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
    if (this->state == State::Reading && this->isBeforeRequest())
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

void ServerConnection::setBodyDeadline() { this->setDeadline(this->server->limits.bodyStallTimeout); }

/// Sets the deadline anew if the connection has made progress within `stallTime`, and `began` less than `mostTime` ago.
bool ServerConnection::extendDeadline(Rattandeck::Duration stallTime, Rattandeck::Duration mostTime)
{
    const auto now = this->loop.timers.now();
    const auto left = std::min(this->lastProgress + stallTime, this->stageBegan + mostTime) - now;
    if (left <= Rattandeck::Duration(0))
        return false;
    this->setDeadline(left);
    return true;
}

void ServerConnection::onDeadline()
{
    const HttpLimits& limits = this->server->limits;
    switch (this->state) {
    case State::Reading:
        if (this->isBeforeRequest())
            this->close();
        else if (!this->isHeadAccepted || !this->extendDeadline(limits.bodyStallTimeout, limits.maxBodyTime))
            this->reject(408, RefusalCause::Stalled);
        return;
    case State::Discarding:
        if (!this->extendDeadline(discardStallTimeout, limits.maxBodyTime))
            this->close();
        return;
    case State::Responding:
        if (this->extendDeadline(limits.unreadTimeout, Rattandeck::Duration::max() / 4))
            return;
        this->server->budget.countRefusal(RefusalCause::Stalled);
        this->disconnect();
        return;
    case State::Lingering:
    case State::Closed:
        this->close();
    }
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
    this->onRelieved = nullptr;
    if (this->isCounted)
        --this->server->inFlight;
    this->isCounted = false;
    this->requestBytes = 0;
    this->releaseRequest();
    this->server->connections.erase(self);
}

}
