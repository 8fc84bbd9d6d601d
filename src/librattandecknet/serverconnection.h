#pragma once

#include "httpcommon.h"
#include "loopimpl.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <unordered_set>

namespace RattandeckNet {

class ServerConnection;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(EventLoop& owner, HttpLimits limits, Handler handler);

    EventLoop& owner;
    EventLoop::Impl& loop;
    HttpLimits limits;
    Handler handler;
    Acceptor acceptor;
    std::uint16_t port = 0;
    bool stopping = false;
    bool closesAfterResponses = false;
    bool closed = false;
    std::size_t inFlight = 0;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;

    bool isAccepting() const { return !this->stopping && !this->closed; }
    void addConnection(Socket socket);
    void closeAll();
};

struct HttpResponder::Impl {
    std::weak_ptr<ServerConnection> connection;
    std::uint64_t request = 0;

    Impl(const std::shared_ptr<ServerConnection>& connection, std::uint64_t request)
        : connection(connection)
        , request(request)
    {
    }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;
    /// Answers an unanswered request when its last handle is destroyed; otherwise the client would wait forever.
    ~Impl();
};

/// One accepted connection. Reads requests one by one and passes each to the handler; reads the next after the
/// response.
///
/// Calls for a request other than the current one are ignored.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<HttpServer::Impl> server, Socket socket);

    void start();
    /// Responds with 503 on a connection beyond the limit.
    void refuse();
    /// Closes the connection after a short grace period if it is idle. Called once the server has stopped accepting.
    void stopWhenIdle();
    void close();

    void send(std::uint64_t request, HttpResponse response);
    void begin(std::uint64_t request, int status, HttpHeaders headers);
    void write(std::uint64_t request, std::string_view chunk);
    void end(std::uint64_t request);
    void abort(std::uint64_t request);
    void abandon(std::uint64_t request);
    void setOnClosed(std::uint64_t request, std::function<void()> handler);

private:
    enum class State { Reading, Responding, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<PartialBody>;

    void startReading();
    void read();
    void readNow();
    void onRead(const ErrorCode& error, std::size_t size);
    void parse();
    void acceptExpectation();
    void dispatch();
    void reject(int status);
    void appendHead(int status, HttpHeaders headers, std::optional<std::size_t> length);
    bool isResponding(std::uint64_t request) const;
    std::size_t unsentBytes() const { return this->queued.size() + this->writing.size() - this->written; }
    void flush();
    void onWritten(const ErrorCode& error, std::size_t size);
    void finishResponse();
    void linger();
    void waitForClose();
    void checkClosed();
    void onDeadline();
    void setDeadline(Rattandeck::Duration delay);
    void disconnect();

    std::shared_ptr<HttpServer::Impl> server;
    EventLoop::Impl& loop;
    Socket socket;
    State state = State::Reading;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    bool isReadPending = false;
    bool hasSentContinue = false;
    /// The rest of a rejected request is read and dropped while the connection closes.
    bool isDraining = false;

    std::uint64_t requestNumber = 0;
    bool isCounted = false;
    bool isHead = false;
    bool isChunked = false;
    bool keepAlive = true;
    bool hasBegun = false;
    bool isResponseComplete = false;
    std::function<void()> onClosed;

    std::string queued;
    std::string writing;
    std::size_t written = 0;
    Rattandeck::TimerId deadline;
};

}
