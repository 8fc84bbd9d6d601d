#include "serverconnection.h"

#include <boost/asio/post.hpp>

namespace RattandeckNet {

/// Number of connections beyond the limit that get a 503; further ones are closed at once.
constexpr std::size_t maxRefusedConnections = 64;
/// One search for connections to close makes room for this part of all, so that the next one is not needed soon.
constexpr std::size_t spareConnections = 32;
constexpr std::chrono::milliseconds searchInterval { 50 };

// HttpResponder ---------------------------------------------------------------------------------------------------

HttpResponder::Impl::~Impl()
{
    if (const auto connection = this->connection.lock())
        connection->abandon(this->request);
}

void HttpResponder::send(HttpResponse response) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->send(this->impl->request, std::move(response));
}

void HttpResponder::begin(int status, HttpHeaders headers) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->begin(this->impl->request, status, std::move(headers));
}

void HttpResponder::write(std::string_view chunk) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->write(this->impl->request, chunk);
}

void HttpResponder::end() const
{
    if (const auto connection = this->impl->connection.lock())
        connection->end(this->impl->request);
}

void HttpResponder::abort() const
{
    if (const auto connection = this->impl->connection.lock())
        connection->abort(this->impl->request);
}

bool HttpResponder::isCongested() const
{
    const auto connection = this->impl->connection.lock();
    return connection && connection->isCongested(this->impl->request);
}

void HttpResponder::onRelieved(std::function<void()> handler) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->setOnRelieved(this->impl->request, std::move(handler));
}

void HttpResponder::onClosed(std::function<void()> handler) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->setOnClosed(this->impl->request, std::move(handler));
}

// HttpServer ------------------------------------------------------------------------------------------------------

HttpServer::Impl::Impl(EventLoop& owner, HttpLimits limits, MemoryBudget* shared, Handler handler)
    : owner(owner)
    , loop(owner.internals())
    , limits(limits)
    , budget(shared ? *shared : this->ownBudget)
    , handler(std::move(handler))
    , acceptor(this->loop.context.get_executor())
{
}

void HttpServer::Impl::addConnection(Socket socket)
{
    if (this->connections.size() >= this->limits.maxConnections)
        this->makeRoom();
    const std::size_t count = this->connections.size();
    if (count >= this->limits.maxConnections)
        this->budget.countRefusal(RefusalCause::TooManyConnections);
    if (count >= this->limits.maxConnections + maxRefusedConnections)
        return;
    auto connection = std::make_shared<ServerConnection>(this->shared_from_this(), std::move(socket));
    this->connections.insert(connection);
    if (count < this->limits.maxConnections)
        connection->start();
    else
        connection->refuse();
}

/// Closes connections that do nothing, in favour of new ones.
void HttpServer::Impl::makeRoom()
{
    const auto now = this->loop.timers.now();
    // A search takes a look at each connection; one in vain is not repeated for each new connection.
    if (now < this->nextSearch)
        return;
    std::vector<ConnectionUse> uses;
    std::vector<std::shared_ptr<ServerConnection>> candidates;
    for (const auto& connection : this->connections) {
        uses.push_back(connection->memoryUse());
        candidates.push_back(connection);
    }
    NewcomerRules rules;
    rules.unusedTime = this->limits.unusedTime;
    const auto chosen = chooseConnectionsForNewcomers(uses, 1 + this->limits.maxConnections / spareConnections, rules);
    if (chosen.empty())
        this->nextSearch = now + searchInterval;
    for (const std::size_t index : chosen) {
        this->budget.countRefusal(RefusalCause::TooManyConnections);
        candidates[index]->disconnect();
    }
}

void HttpServer::Impl::closeAll()
{
    this->closed = true;
    ErrorCode ignored;
    this->acceptor.close(ignored);
    const auto current = std::move(this->connections);
    this->connections.clear();
    for (const auto& connection : current)
        connection->close();
}

HttpServer::HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
    : impl(std::make_shared<Impl>(loop, limits, nullptr, std::move(handler)))
{
}

HttpServer::HttpServer(EventLoop& loop, HttpLimits limits, MemoryBudget& budget, Handler handler)
    : impl(std::make_shared<Impl>(loop, limits, &budget, std::move(handler)))
{
}

void HttpServer::setNeedsBody(NeedsBody needsBody) { this->impl->needsBody = std::move(needsBody); }

HttpServer::~HttpServer() { this->impl->closeAll(); }

tl::expected<void, NetError> HttpServer::listen(const Address& address) { return listenAndAccept(this->impl, address); }

std::uint16_t HttpServer::port() const { return this->impl->port; }

void HttpServer::setLimits(const HttpLimits& limits) { this->impl->limits = limits; }

void HttpServer::closeAfterAnswers(bool isClosing) { this->impl->closesAfterResponses = isClosing; }

void HttpServer::stopAccepting()
{
    this->impl->stopping = true;
    this->impl->closesAfterResponses = true;
    ErrorCode ignored;
    this->impl->acceptor.close(ignored);
    for (const auto& connection : this->impl->connections)
        connection->stopWhenIdle();
}

std::size_t HttpServer::inFlight() const { return this->impl->inFlight; }

std::size_t HttpServer::openConnections() const { return this->impl->connections.size(); }

}
