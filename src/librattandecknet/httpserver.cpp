#include "serverconnection.h"

#include <boost/asio/post.hpp>

namespace RattandeckNet {

/// Number of connections beyond the limit that get a 503; further ones are closed at once.
constexpr std::size_t maxRefusedConnections = 64;

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

void HttpResponder::onClosed(std::function<void()> handler) const
{
    if (const auto connection = this->impl->connection.lock())
        connection->setOnClosed(this->impl->request, std::move(handler));
}

// HttpServer ------------------------------------------------------------------------------------------------------

HttpServer::Impl::Impl(EventLoop& owner, HttpLimits limits, Handler handler)
    : owner(owner)
    , loop(owner.internals())
    , limits(limits)
    , handler(std::move(handler))
    , acceptor(this->loop.context.get_executor())
{
}

void HttpServer::Impl::addConnection(Socket socket)
{
    const std::size_t count = this->connections.size();
    if (count >= this->limits.maxConnections + maxRefusedConnections)
        return;
    auto connection = std::make_shared<ServerConnection>(this->shared_from_this(), std::move(socket));
    this->connections.insert(connection);
    if (count < this->limits.maxConnections)
        connection->start();
    else
        connection->refuse();
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
    : impl(std::make_shared<Impl>(loop, limits, std::move(handler)))
{
}

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
