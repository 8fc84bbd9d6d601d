#pragma once

#include "Rattandeck/sidecar.h"
#include "RattandeckNet/http.h"

#include <functional>
#include <memory>
#include <string>

/// Callbacks for events of the endpoint.
struct EndpointHandlers {
    std::function<void(Rattandeck::OrderId, const std::string& text, Rattandeck::TokenCount tokens)> onTokens;
    std::function<void(Rattandeck::OrderId, const Rattandeck::EndpointResult&)> onFinished;
    std::function<void(Rattandeck::OrderId, Rattandeck::EndpointFailure)> onFailed;
    std::function<void(Rattandeck::ProgramId)> onPrefixEvicted;
};

/// Operations on the endpoint. None of them blocks. A started call ends with exactly one `onFinished` or `onFailed`,
/// unless it is cancelled.
struct Endpoint {
    std::function<void(const Rattandeck::EndpointCall&)> start;
    std::function<void(Rattandeck::OrderId)> cancel;
    std::function<void(Rattandeck::ProgramId)> release;
    /// Frees the cached prefixes of all programs.
    std::function<void()> releaseAll;
};

struct EndpointSettings {
    RattandeckNet::Address address;
    /// Prefix of the request ids, which are only unique within one incarnation of the sidecar.
    std::string requestPrefix;
    std::size_t maxConnections = 64;
    /// Send fencing numbers with each call, for endpoints that check them.
    bool sendFence = false;
    /// Delay before a failed control request is retried.
    Rattandeck::Milliseconds retryDelay { 500 };
};

/// A model engine over HTTP with streamed completions and cache events.
///
/// Precondition: `loop` outlives the endpoint. Thread safety: use from the loop's thread.
Endpoint makeEngine(RattandeckNet::EventLoop& loop, EndpointSettings settings, EndpointHandlers handlers);

/// A plain service over HTTP: one request, one answer.
///
/// Precondition: `loop` outlives the endpoint. Thread safety: use from the loop's thread.
Endpoint makePlainService(RattandeckNet::EventLoop& loop, EndpointSettings settings, EndpointHandlers handlers);

/// Failure of a call whose answer was not received completely.
Rattandeck::EndpointFailure failureOf(RattandeckNet::NetError error);
/// Failure of a call that was answered with this status (not 2xx).
Rattandeck::EndpointFailure failureOf(int status);
/// Headers with the fencing number of a call, and with its shard, since epochs are counted per shard.
RattandeckNet::HttpHeaders fenceHeaders(const EndpointSettings& settings, const Rattandeck::EndpointCall& call);
