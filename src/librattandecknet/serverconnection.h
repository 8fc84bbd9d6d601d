#pragma once

#include "httpcommon.h"
#include "loopimpl.h"

#include <optional>
#include <unordered_set>

namespace RattandeckNet {

class ServerConnection;

/// Maximum wait for the next byte of a body that is dropped.
constexpr std::chrono::seconds discardStallTimeout { 2 };

/// Frees the memory of an empty buffer, unless it is small: most connections are idle most of the time.
inline void releaseIfIdle(std::string& buffer)
{
    constexpr std::size_t maxIdleBytes = 1024;
    if (buffer.empty() && buffer.capacity() > maxIdleBytes)
        std::string().swap(buffer);
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(EventLoop& owner, HttpLimits limits, MemoryBudget* shared, Handler handler);

    EventLoop& owner;
    EventLoop::Impl& loop;
    HttpLimits limits;
    MemoryBudget ownBudget;
    MemoryBudget& budget;
    NeedsBody needsBody;
    Handler handler;
    Acceptor acceptor;
    std::uint16_t port = 0;
    bool stopping = false;
    bool closesAfterResponses = false;
    bool closed = false;
    std::size_t inFlight = 0;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    /// Bytes just read, of any connection: each keeps only what it can't process yet.
    std::string input;
    /// Until then no connection can be closed in favour of a new one, by the last search.
    Rattandeck::TimePoint nextSearch;

    bool isAccepting() const { return !this->stopping && !this->closed; }
    void addConnection(Socket socket);
    void makeRoom();
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
/// Calls for a request other than the current one are ignored. What the connection holds is counted in the server's
/// memory budget.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>, public MemoryHolder {
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
    bool isCongested(std::uint64_t request) const;
    void setOnRelieved(std::uint64_t request, std::function<void()> handler);
    /// Closes the connection and tells the owner of the request.
    void disconnect();

    // MemoryHolder
    ConnectionUse memoryUse() const override;
    void reclaimMemory() override;

private:
    enum class State { Reading, Responding, Discarding, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<PartialBody>;

    void startReading();
    void read();
    void readNow();
    void onRead(const ErrorCode& error, std::size_t size);
    void parse();
    bool hasTooManyFields() const;
    bool parseSome();
    bool acceptHead();
    bool reserveBody();
    void acceptExpectation();
    void dispatch();
    void dispatchWithoutBody();
    void hand(HttpRequest request, unsigned version);
    void discard();
    void onDiscarded();
    void reject(int status, RefusalCause cause);
    void refuseForMemory();
    void releaseRequest();
    std::size_t heldBytes() const;
    void noteProgress() { this->lastProgress = this->loop.timers.now(); }
    bool isBeforeRequest() const;
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
    void setBodyDeadline();
    bool extendDeadline(Rattandeck::Duration stallTime, Rattandeck::Duration mostTime);
    void relieve();
    void countUnsent();
    void nextRequest();

    std::shared_ptr<HttpServer::Impl> server;
    EventLoop::Impl& loop;
    Socket socket;
    State state = State::Reading;
    MemoryShare share;
    /// Bytes received that are not parsed yet: a part of a head, or the beginning of the next request.
    std::string pending;
    std::optional<Parser> parser;
    bool isHeadAccepted = false;
    /// The body is dropped as it arrives.
    bool isDiscarding = false;
    /// Memory that the parsed part of the head takes, and the number of its lines.
    std::size_t headBytes = 0;
    std::size_t headLines = 0;
    /// Memory taken by the request that has been handed on.
    std::size_t requestBytes = 0;
    bool hasBeenUsed = false;
    /// When the request began to arrive, or the answer to be sent.
    Rattandeck::TimePoint stageBegan;
    Rattandeck::TimePoint lastProgress;
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
    std::function<void()> onRelieved;
    bool wasCongested = false;

    std::string queued;
    std::string writing;
    std::size_t written = 0;
    Rattandeck::TimerId deadline;
};

}
