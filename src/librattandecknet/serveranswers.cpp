#include "serverconnection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

/// What a server connection sends: answers, and what becomes of them when the client doesn't read.
namespace RattandeckNet {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

/// Usual size of an answer's head.
constexpr std::size_t headReserve = 512;

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
    this->queued.reserve(this->queued.size() + response.body.size() + headReserve);
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
        this->server->budget.countRefusal(RefusalCause::TooSlow);
        this->disconnect();
        return;
    }
    this->wasCongested = this->wasCongested || this->unsentBytes() > this->server->limits.congestedBytes;
    this->flush();
}

bool ServerConnection::isCongested(std::uint64_t request) const
{
    return this->isResponding(request) && this->unsentBytes() > this->server->limits.congestedBytes;
}

void ServerConnection::setOnRelieved(std::uint64_t request, std::function<void()> handler)
{
    if (this->isResponding(request))
        this->onRelieved = std::move(handler);
}

/// Tells the writer of a streamed response that the client has caught up.
void ServerConnection::relieve()
{
    if (!this->wasCongested || this->unsentBytes() > this->server->limits.congestedBytes)
        return;
    this->wasCongested = false;
    if (this->onRelieved)
        Asio::post(this->loop.context, this->loop.bind(this->onRelieved));
}

/// Counts what waits to be sent. A client that doesn't read is closed if the memory is needed and nobody else's can be
/// had.
void ServerConnection::countUnsent()
{
    const bool isWithin = this->share.setAndReclaim(this->heldBytes(), this->loop.timers.now());
    if (isWithin || this->state != State::Responding || this->unsentBytes() <= MemoryBudget::smallShare)
        return;
    if (this->loop.timers.now() - this->lastProgress < ShortageRules().stallTime)
        return;
    this->server->budget.countRefusal(RefusalCause::Memory);
    this->disconnect();
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
        if (this->state == State::Responding) {
            this->stageBegan = this->loop.timers.now();
            this->noteProgress();
            this->setDeadline(this->server->limits.unreadTimeout);
        }
        this->share.set(this->heldBytes());
    } else {
        this->countUnsent();
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
        this->noteProgress();
        this->socket.async_write_some(Asio::buffer(this->writing) + this->written,
            this->loop.bind([self = this->shared_from_this()](
                                const ErrorCode& error, std::size_t size) { self->onWritten(error, size); }));
        return;
    }
    this->noteProgress();
    if (!this->queued.empty()) {
        this->flush();
        this->relieve();
        return;
    }
    this->writing.clear();
    this->written = 0;
    if (this->state != State::Responding)
        return;
    this->loop.timers.cancel(this->deadline);
    this->relieve();
    if (this->isResponseComplete)
        this->finishResponse();
}

void ServerConnection::finishResponse()
{
    this->onClosed = nullptr;
    this->onRelieved = nullptr;
    this->requestBytes = 0;
    releaseIfIdle(this->queued);
    releaseIfIdle(this->writing);
    if (this->isCounted) {
        this->isCounted = false;
        --this->server->inFlight;
    }
    if (!this->keepAlive) {
        this->isDraining = this->isDraining || this->isDiscarding;
        this->isDiscarding = false;
        this->releaseRequest();
        this->linger();
        return;
    }
    if (this->isDiscarding) {
        this->state = State::Discarding;
        this->noteProgress();
        this->share.set(this->heldBytes());
        this->setDeadline(discardStallTimeout);
        this->read();
        return;
    }
    this->nextRequest();
}

void ServerConnection::nextRequest()
{
    this->startReading();
    if (this->server->stopping)
        this->stopWhenIdle();
}

}
