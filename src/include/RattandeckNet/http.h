#pragma once

#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 server and client over Boost.Beast, without Beast in the header.
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
    /// The target as it came or as it is to be sent; where it is empty, it is made from `path` and `query`.
    std::string target;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// Bounds on what one peer can make the server hold. A request beyond them gets 413, 431, 408 or 503 and is closed.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    /// Longest wait for a request that has begun, or for a reader that takes nothing.
    std::chrono::milliseconds readTimeout { 30000 };
    /// How long a connection is kept without a request.
    std::chrono::milliseconds idleTimeout { 30000 };
    std::size_t maxConnections = 1024;
    /// Unsent bytes of a streamed answer beyond which a slow reader is cut off.
    std::size_t maxUnsentBytes = 8UL * 1024 * 1024;
};

/// Answers one request. Copyable handle; the request is answered by `send`, or by `begin`, `write`..., `end`. Calls
/// after the end or after the peer left are ignored. When the last handle goes away without an answer, the request is
/// answered with 500, or broken off if its answer had begun.
class HttpResponder {
public:
    void send(HttpResponse response) const;
    /// Starts a streamed answer (chunked transfer).
    void begin(int status, HttpHeaders headers) const;
    void write(std::string_view chunk) const;
    void end() const;
    /// Breaks the connection off, so that the peer sees an incomplete answer.
    void abort() const;
    /// Called once if the peer goes away before the answer is complete.
    void onClosed(std::function<void()> handler) const;

    struct Impl;
    explicit HttpResponder(std::shared_ptr<Impl> shared)
        : impl(std::move(shared))
    {
    }

private:
    std::shared_ptr<Impl> impl;
};

/// Accepts connections and hands their requests to one handler.
///
/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    HttpServer(EventLoop& loop, HttpLimits limits, Handler handler);
    ~HttpServer();

    /// Listens and accepts. Errors: `BadAddress`, `AddressInUse`.
    tl::expected<void, NetError> listen(const Address& address);
    /// The bound port; differs from the requested one if that was 0.
    std::uint16_t port() const;
    /// Changes the limits of later requests and connections.
    void setLimits(const HttpLimits& limits);
    /// Whether later answers carry `Connection: close`; connections are accepted and idle ones kept all the same.
    void closeAfterAnswers(bool isClosing);
    /// Accepts no more connections. Requests in flight are answered, with `Connection: close`; idle connections close
    /// after a short grace, since a request may be on its way.
    void stopAccepting();
    /// Requests whose answer has not been written out yet.
    std::size_t inFlight() const;
    /// Connections not closed yet; a process that exits when this is 0 after `stopAccepting` cuts nobody off.
    std::size_t openConnections() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

struct HttpCallbacks {
    /// Whether an answer belongs to this call. An answer that doesn't, such as a late one to an earlier call on the
    /// same connection, is skipped. Empty: any answer does.
    std::function<bool(const HttpHeaders&)> isOwn;
    std::function<void(int status, const HttpHeaders&)> onHead;
    std::function<void(std::string_view chunk)> onData;
    /// Called exactly once, unless the call was cancelled.
    std::function<void(tl::expected<void, NetError>)> onEnd;
};

/// Calls one server over kept-alive connections. Never repeats a request by itself.
///
/// Errors: `BadAddress`, `ConnectFailed` and `NotSent` mean that no byte of the request was sent, also when the time
/// ran out or a kept-alive connection turned out to be closed. `TimedOut`, `Broken`, `Malformed` and `TooLarge` leave
/// open whether the server acted on it.
///
/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object.
class HttpClient {
public:
    using CallId = std::uint64_t;

    HttpClient(EventLoop& loop, Address server, std::size_t maxConnections = 64);
    ~HttpClient();

    /// Bounds the wait for a new connection; a call whose connection does not come fails with `ConnectFailed`. Without
    /// it only the call's own timeout does.
    void setConnectTimeout(std::chrono::milliseconds timeout);

    /// Streams the answer to `callbacks`, never from within this call. `timeout` bounds the whole call.
    CallId start(const HttpRequest& request, std::chrono::milliseconds timeout, HttpCallbacks callbacks);
    /// Collects the whole answer, up to `maxBody` bytes.
    CallId fetch(const HttpRequest& request, std::chrono::milliseconds timeout,
        std::function<void(tl::expected<HttpResponse, NetError>)> done, std::size_t maxBody = 16UL * 1024 * 1024);
    /// Breaks the call off; no more callbacks for it.
    void cancel(CallId call);
    /// Closes the idle connections: after an outage they may be dead without looking so.
    void dropIdle();

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
