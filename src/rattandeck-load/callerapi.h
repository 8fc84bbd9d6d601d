#pragma once

#include "RattandeckNet/eventloop.h"
#include "RattandeckNet/http.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace RattandeckLoad {

using Json = nlohmann::json;

/// One request of the callers' API. It is idempotent: it carries a turn number or an idempotency key, or has no side
/// effect.
struct ApiCall {
    std::string method = "POST";
    std::string path;
    /// JSON body; null for a request without a body.
    Json body;
    std::string key;
    bool streamed = false;
    /// Index of the entry that is tried first. Retries may use the next ones.
    std::size_t entry = 0;
};

/// A refusal or failure that is not retried any more.
struct ApiProblem {
    /// Last component of the problem type, such as "overloaded".
    std::string name;
    /// Whether the call has run: "no", "yes" or "unknown".
    std::string ran;
    std::string detail;
};

/// The retries were used up or stopped before a final answer arrived.
struct GaveUp { };

using ApiOutcome = std::variant<Json, ApiProblem, GaveUp>;

struct ApiStatistics {
    std::uint64_t requests = 0;
    /// Refusals with a retry-after time, by problem name.
    std::map<std::string, std::uint64_t> refusals;
    /// Attempts that failed before the request was sent, because the entry was not reachable.
    std::uint64_t unreachable = 0;
    /// Connections that broke after the request was sent.
    std::uint64_t brokenConnections = 0;
    std::uint64_t timeouts = 0;
};

/// Client of the entries with the retry rules of a well-behaved caller: it retries after the time that a refusal
/// states, fails over to another entry when one is unreachable, and repeats a request with the same turn number or
/// idempotency key when its answer was lost.
///
/// Thread safety: use from the loop's thread.
class CallerApi {
public:
    /// Precondition: at least one entry; `loop` outlives this object.
    CallerApi(RattandeckNet::EventLoop& loop, const std::vector<RattandeckNet::Address>& entries);
    ~CallerApi();

    /// Calls `done` exactly once, unless this object is destroyed before.
    void call(const ApiCall& call, std::function<void(const ApiOutcome&)> done);
    /// No retry is scheduled after this.
    void stopRetries();
    const ApiStatistics& statistics() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
