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

/// One request of the callers' API, safe to repeat: it carries a turn number or a key, or has no effect.
struct ApiCall {
    std::string method = "POST";
    std::string path;
    /// Null: no body.
    Json body;
    std::string key;
    bool streamed = false;
    /// Entry to begin with; others follow when it fails.
    std::size_t entry = 0;
};

/// A final refusal or failure.
struct ApiProblem {
    /// Last part of the problem's type, such as "overloaded".
    std::string name;
    /// "no", "yes" or "unknown".
    std::string ran;
    std::string detail;
};

/// Time or patience ran out without a final answer.
struct GaveUp { };

using ApiOutcome = std::variant<Json, ApiProblem, GaveUp>;

struct ApiStatistics {
    std::uint64_t requests = 0;
    /// Refusals that named a time to come back, by problem.
    std::map<std::string, std::uint64_t> refusals;
    /// Attempts that never reached an entry: it had gone.
    std::uint64_t unreachable = 0;
    /// Connections that broke after the request was sent.
    std::uint64_t brokenConnections = 0;
    std::uint64_t timeouts = 0;
};

/// Calls the entries as a careful caller does: comes back when a refusal says so, goes to another entry when one is
/// gone, and repeats with the same turn number or key when an answer was lost.
///
/// Thread safety: use from the loop's thread.
class CallerApi {
public:
    /// Precondition: at least one entry; `loop` outlives this object.
    CallerApi(RattandeckNet::EventLoop& loop, const std::vector<RattandeckNet::Address>& entries);
    ~CallerApi();

    /// Calls `done` once, unless this object is destroyed before.
    void call(const ApiCall& call, std::function<void(const ApiOutcome&)> done);
    /// From now on nothing is repeated any more.
    void stopRepeating();
    const ApiStatistics& statistics() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

}
