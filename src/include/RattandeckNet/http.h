#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"
#include "RattandeckNet/memorybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// HTTP/1.1 server and client based on Boost.Beast. Beast is not exposed in this header.
namespace RattandeckNet {

/// Header names are lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method = "GET";
    /// Path without query.
    std::string path;
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;
    /// The server has not kept the body, see `HttpServer::setNeedsBody`.
    bool isBodyOmitted = false;
    /// The raw request target, as received or to be sent. If empty, the client builds it from `path` and `query`.
    std::string target;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// Limits on the resources that clients can make the server hold. A request that exceeds one gets 413, 431, 408 or 503,
/// and its connection is closed.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    /// Maximum number of header fields, those of trailers included. Each takes some 100 bytes beside its text.
    std::size_t maxHeaderFields = 256;
    /// Maximum wait for the rest of a request's head.
    std::chrono::milliseconds readTimeout { 30000 };
    /// Maximum wait for the next byte of a body.
    std::chrono::milliseconds bodyStallTimeout { 10000 };
    /// Maximum time for a whole body.
    std::chrono::milliseconds maxBodyTime { 60000 };
    /// Maximum wait for a client that reads nothing of its response.
    std::chrono::milliseconds unreadTimeout { 30000 };
    /// How long a connection without a request is kept open.
    std::chrono::milliseconds idleTimeout { 30000 };
    std::size_t maxConnections = 1024;
    /// Maximum unsent bytes of a streamed response; beyond it the connection of a slow reader is closed.
    std::size_t maxUnsentBytes = 8UL * 1024 * 1024;
    /// Unsent bytes of a streamed response from which on `HttpResponder::isCongested` holds.
    std::size_t congestedBytes = 256UL * 1024;
    /// How many copies of its head and body a request takes while it is processed.
    std::size_t requestCopies = 1;
    /// How long a connection may be open without a request before it is closed in favour of a new one, once there are
    /// `maxConnections`.
    std::chrono::milliseconds unusedTime { 1000 };
};

/// Copyable handle that answers one request, either by `send` or by `begin`, `write`..., `end`. Calls after the end of
/// the response or after the client has disconnected are ignored. If the last handle is destroyed before the response
/// is complete, the request gets a 500, or its connection is reset if the response has begun.
class HttpResponder {
public:
    void send(HttpResponse response) const;
    /// Starts a streamed response (chunked transfer encoding).
    void begin(int status, HttpHeaders headers) const;
    void write(std::string_view chunk) const;
    void end() const;
    /// Resets the connection, so that the client sees an incomplete response.
    void abort() const;
    /// Sets a handler that is called once if the client disconnects before the response is complete.
    void onClosed(std::function<void()> handler) const;
    /// Whether the client reads a streamed response more slowly than it is written, so that the writer should pause.
    bool isCongested() const;
    /// Sets a handler that is called, from the loop, whenever `isCongested` no longer holds.
    void onRelieved(std::function<void()> handler) const;

    struct Impl;
    explicit HttpResponder(std::shared_ptr<Impl> shared)
        : impl(std::move(shared))
    {
    }

private:
    std::shared_ptr<Impl> impl;
};

/// Accepts connections and passes their requests to one handler.
///
/// Thread safety: use from the loop's thread. Precondition: the loop and the budget outlive this object.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;
    /// Says, by the head of a request whose body is outstanding, whether the handler needs the body.
    using NeedsBody = std::function<bool(const HttpRequest& head)>;

    HttpServer(EventLoop& loop, HttpLimits limits, Handler handler);
    /// What the connections hold counts in `budget`.
    HttpServer(EventLoop& loop, HttpLimits limits, MemoryBudget& budget, Handler handler);
    ~HttpServer();

    /// Sets which requests are handed on without their body, as soon as their head has arrived: with
    /// `HttpRequest::isBodyOmitted` set. Their bodies are read and dropped. By default every body is needed.
    void setNeedsBody(NeedsBody needsBody);

    /// Listens and accepts. Errors: `BadAddress`, `AddressInUse`.
    tl::expected<void, NetError> listen(const Address& address);
    /// The bound port; differs from the requested one if that was 0.
    std::uint16_t port() const;
    /// Changes the limits for later requests and connections.
    void setLimits(const HttpLimits& limits);
    /// Sets whether later responses carry `Connection: close`. New connections are still accepted, and idle ones kept.
    void closeAfterAnswers(bool isClosing);
    /// Stops accepting connections. Requests in flight are answered with `Connection: close`. Idle connections are
    /// closed after a short grace period, since a request may already be on its way.
    void stopAccepting();
    /// Number of requests whose response has not been fully written.
    std::size_t inFlight() const;
    /// Number of open connections. Once it is 0 after `stopAccepting`, the process can exit without breaking a
    /// connection.
    std::size_t openConnections() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

struct HttpCallbacks {
    /// Returns whether a response belongs to this call. Other responses, such as a late one to an earlier call on the
    /// same connection, are skipped. If empty, every response is accepted.
    std::function<bool(const HttpHeaders&)> isOwn;
    /// Returns whether a response tells which call it belongs to. After one that doesn't, the connection is not used
    /// again: a second copy of it could not be told from the response to the next call. If empty, connections are
    /// reused.
    std::function<bool(const HttpHeaders&)> isNamed;
    /// Called before the first byte of the call is written, possibly within `start`. Until then the server can't have
    /// received it.
    std::function<void()> onWrite;
    std::function<void(int status, const HttpHeaders&)> onHead;
    std::function<void(std::string_view chunk)> onData;
    /// Called exactly once, unless the call was cancelled.
    std::function<void(tl::expected<void, NetError>)> onEnd;
};

/// Why a client opens a connection.
enum class ConnectCause {
    /// It has had none before.
    First,
    /// All of them have been closed.
    NoneOpen,
    /// All open ones run calls.
    AllBusy,
    /// The server is expected to close the idle ones now.
    Expired,
    /// An idle one was found closed.
    FoundClosed,
    /// To find out whether the server still accepts connections.
    Check,
};

std::string_view describe(ConnectCause cause);

/// Calls one server over persistent connections. Never retries a request by itself.
///
/// Errors: `BadAddress`, `ConnectFailed` and `NotSent` mean that no byte of the request was sent, also if the call
/// timed out or a persistent connection turned out to be closed. After `TimedOut`, `Broken`, `Malformed` and `TooLarge`
/// it is unknown whether the server processed the request.
///
/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object.
class HttpClient {
public:
    using CallId = std::uint64_t;

    HttpClient(EventLoop& loop, Address server, std::size_t maxConnections = 64);
    ~HttpClient();

    /// Sets a timeout for new connections; a call whose connection exceeds it fails with `NotSent`. By default
    /// only the timeout of the call applies.
    void setConnectTimeout(std::chrono::milliseconds timeout);

    /// Streams the response to `callbacks`, never within this call. `timeout` covers the whole call and counts from
    /// now, also outside the loop's handlers. A call that would be written after `writeBy` fails with `NotSent`.
    CallId start(HttpRequest request, std::chrono::milliseconds timeout, HttpCallbacks callbacks,
        std::optional<Rattandeck::TimePoint> writeBy = std::nullopt);
    /// Collects the whole response, with a body of at most `maxBody` bytes.
    CallId fetch(const HttpRequest& request, std::chrono::milliseconds timeout,
        std::function<void(tl::expected<HttpResponse, NetError>)> done, std::size_t maxBody = 16UL * 1024 * 1024);
    /// Cancels the call; none of its callbacks is called any more.
    void cancel(CallId call);
    /// Stops reading the answer; what has been read already is still delivered. The server notices when the buffers in
    /// between are full. Ignored for calls that have ended.
    void pause(CallId call);
    /// Reads on, from the loop. Ignored for calls that are not paused.
    void resume(CallId call);
    /// Sets what is called, from the loop, when the process at the other end may have ended: the last open connection
    /// has ended in a way that the server did not announce (it broke within a call, or was closed before the time for
    /// which the server keeps idle ones), and the server has not accepted a new one within the connection timeout,
    /// or has ended that one at once. A process that is started again must take longer than twice that timeout.
    void onLost(std::function<void()> handler);
    /// Sets what is called when a connection is about to be opened, with the number of connections including it.
    void onConnect(std::function<void(ConnectCause cause, std::size_t connections)> handler);
    /// Since when at least one connection has been open without a gap; empty while there is none. A connection to a
    /// process that ended without a word stays open.
    std::optional<Rattandeck::TimePoint> connectedSince() const;
    /// Whether a connection is open that runs no call.
    bool hasIdle() const;
    /// Since when the server has been heard from without a pause of more than `maxSilence`; empty if the pause lasts or
    /// there is no connection. All that time the same process has been at the other end.
    std::optional<Rattandeck::TimePoint> heardSince() const;
    /// A process that is started again is silent for longer than this.
    static constexpr std::chrono::milliseconds maxSilence { 1000 };
    /// Closes the idle connections. After an outage they may be dead although no error has been reported.
    void dropIdle();

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
