#pragma once

#include "httpcommon.h"
#include "loopimpl.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <optional>
#include <unordered_set>

namespace RattandeckNet {

class ClientConnection;

/// A call to a server, until it has ended.
struct ClientCall {
    HttpClient::CallId id = 0;
    /// The request as it is written: its head, then its body.
    std::string head;
    std::string body;
    bool isHead = false;
    HttpCallbacks callbacks;
    Rattandeck::TimerId timer;
    std::optional<Rattandeck::TimePoint> writeBy;
    /// The answer is not read on until the call is resumed.
    bool isPaused = false;
    /// Set when the first write starts. Reset only if that write fails without sending a byte.
    bool mayBeSent = false;
    bool isEnded = false;
    bool isCancelled = false;
};

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    Impl(EventLoop& owner, Address server, std::size_t maxConnections);

    EventLoop::Impl& loop;
    Address server;
    tl::expected<Tcp::endpoint, NetError> endpoint;
    std::size_t maxConnections;
    std::optional<std::chrono::milliseconds> connectTimeout;
    CallId lastId = 0;
    std::map<CallId, std::shared_ptr<ClientCall>> calls;
    std::map<CallId, std::shared_ptr<ClientConnection>> running;
    std::deque<std::shared_ptr<ClientCall>> waiting;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    std::unordered_set<std::shared_ptr<ClientConnection>> connections;
    std::size_t established = 0;
    std::optional<Rattandeck::TimePoint> connectedSince;
    /// The last time at which the server was heard from, and the beginning of the time without a longer silence.
    std::optional<Rattandeck::TimePoint> lastHeard;
    Rattandeck::TimePoint heardSince;
    std::function<void()> lostHandler;
    std::function<void(ConnectCause, std::size_t connections)> connectHandler;
    bool hasConnected = false;
    /// A connection is being opened only to find out whether the server still accepts any.
    bool isChecking = false;
    bool isShutDown = false;

    std::string serialiseHead(const HttpRequest& request) const;
    void onEstablished();
    void onEstablishedClosed();
    /// A connection was accepted, or bytes have arrived.
    void noteHeard();
    std::shared_ptr<ClientConnection> addConnection(ConnectCause cause);
    /// A connection that has run calls, or none yet, is about to be closed and has ended without announcement.
    void noteLoss(bool hasRunCalls);
    void checkServer();
    void reportLoss();
    void startCall(const std::shared_ptr<ClientCall>& call);
    void startWaiting();
    void end(const std::shared_ptr<ClientCall>& call, tl::expected<void, NetError> outcome);
    void expire(CallId id);
    void cancel(CallId id);
    void setPaused(CallId id, bool isPaused);
    void shutdown();
};

/// One connection to the server. Runs one call at a time, and is kept in the idle list between calls.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    explicit ClientConnection(std::shared_ptr<HttpClient::Impl> client);

    /// Runs `first` once connected. Without a call, the connection becomes idle, and its failure is reported as a
    /// loss.
    void connect(std::shared_ptr<ClientCall> first);
    void run(std::shared_ptr<ClientCall> next);
    /// Reads on after its call was paused.
    void resume();
    /// Returns whether an idle connection is still open, has no unread data and has not exceeded its keep-alive
    /// time.
    bool isUsable();
    /// Whether the server is expected to close it, if it is idle.
    bool isExpired() const;
    void close();

private:
    using Parser = boost::beast::http::response_parser<PartialBody>;

    void resetParser();
    void write();
    void onWritten(const ErrorCode& error, std::size_t size);
    void read();
    void onRead(const ErrorCode& error, std::size_t size);
    void parse();
    bool deliver();
    void deliverHead(int status);
    void updateKeepAliveTime(const HttpHeaders& headers);
    void onPeerClosed(const ErrorCode& error);
    void finish();
    void becomeIdle();
    void fail(NetError error);
    /// As `fail`, but from the loop: the call's callbacks must not be called within `HttpClient::start`.
    void failLater(NetError error);
    void waitIdle();

    std::shared_ptr<HttpClient::Impl> client;
    EventLoop::Impl& loop;
    Socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::shared_ptr<ClientCall> call;
    bool mayBeReused = true;
    std::size_t written = 0;
    bool isWritten = false;
    /// Bytes parsed and data delivered for the current call.
    std::size_t parsedBytes = 0;
    std::size_t dataBytes = 0;
    std::uint64_t useCount = 0;
    Rattandeck::TimerId connectTimer;
    bool isReadPending = false;
    bool isHeadDelivered = false;
    /// The response being read belongs to another call.
    bool isForeignResponse = false;
    bool isEstablished = false;
    bool isClosed = false;
    /// How long the server is expected to keep the connection open while idle.
    std::chrono::milliseconds keepAliveTime { 0 };
    Rattandeck::TimePoint idleSince;
};

}
