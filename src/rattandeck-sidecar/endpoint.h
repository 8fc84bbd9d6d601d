#pragma once

#include "Rattandeck/sidecar.h"
#include "RattandeckNet/http.h"

#include <functional>
#include <memory>
#include <string>

/// What the sidecar hears from its endpoint.
struct EndpointHandlers {
    std::function<void(Rattandeck::OrderId, const std::string& text, Rattandeck::TokenCount tokens)> onTokens;
    std::function<void(Rattandeck::OrderId, const Rattandeck::EndpointResult&)> onFinished;
    std::function<void(Rattandeck::OrderId, Rattandeck::EndpointFailure)> onFailed;
    std::function<void(Rattandeck::ProgramId)> onPrefixDropped;
};

/// How the sidecar acts on its endpoint. Every function returns at once; a started call ends with exactly one
/// `onFinished` or `onFailed`, unless it is cancelled.
struct Endpoint {
    std::function<void(const Rattandeck::EndpointCall&)> start;
    std::function<void(Rattandeck::OrderId)> cancel;
    std::function<void(Rattandeck::ProgramId)> release;
    /// Frees the memory of all programs.
    std::function<void()> releaseAll;
};

struct EndpointSettings {
    RattandeckNet::Address address;
    /// Goes before the ids of requests, which are only unique within one life of the sidecar.
    std::string requestPrefix;
    std::size_t maxConnections = 64;
    /// The endpoint checks fencing numbers: they are sent along.
    bool sendFence = false;
    /// Wait before a failed control request is repeated.
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

/// What a call that got no whole answer came to.
Rattandeck::EndpointFailure failureOf(RattandeckNet::NetError error);
/// What an answer with this status (not 2xx) came to.
Rattandeck::EndpointFailure failureOf(int status);
/// Headers with the fencing number of a call: epochs count per shard.
RattandeckNet::HttpHeaders fenceHeaders(const EndpointSettings& settings, const Rattandeck::EndpointCall& call);
