#pragma once

#include "RattandeckApp/metrics.h"
#include "RattandeckNet/http.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Client of the platform's metadata store.
namespace Platform {

// NOLINTNEXTLINE(bugprone-exception-escape): moving the library's values only asserts.
struct StoredObject {
    std::string name;
    /// The store's revision at the object's last change.
    std::uint64_t revision = 0;
    nlohmann::json spec;
    nlohmann::json status;
    std::vector<std::string> finalizers;
    bool isBeingDeleted = false;
};

enum class StoreError {
    /// There is no such object.
    NotFound,
    /// The object has another revision, or exists already. Nothing was changed.
    Conflict,
    /// The store refused the call temporarily. Nothing was changed.
    Refused,
    /// No answer, or an invalid one. The change may have been made, or may still be made later.
    NoAnswer,
};

std::string_view describe(StoreError error);

/// Callbacks for a followed kind. Each change is reported at least once.
struct KindHandlers {
    /// Receives all objects of the kind as of `revision`. Objects that it does not contain have been removed, if they
    /// were not created after it.
    std::function<void(const std::vector<StoredObject>&, std::uint64_t revision)> onSnapshot;
    std::function<void(const StoredObject&, bool isRemoved)> onChange;
    /// Called when the store becomes reachable or unreachable.
    std::function<void(bool isReachable)> onReachable;
};

struct StoreLimits {
    std::chrono::milliseconds callTimeout { 1500 };
    std::chrono::milliseconds connectTimeout { 400 };
    /// Time after which the store answers a watch when nothing changes. It is short so that a dead connection is
    /// detected soon.
    std::chrono::milliseconds watchWait { 2000 };
    /// Additional time for the answer to a watch.
    std::chrono::milliseconds watchSlack { 800 };
    /// Timeout of a probe: a watch that returns at once and detects the end of an outage.
    std::chrono::milliseconds probeTimeout { 700 };
    /// Delay before a failed call is retried. It doubles with each failure, up to the maximum.
    std::chrono::milliseconds minRetryDelay { 100 };
    std::chrono::milliseconds maxRetryDelay { 800 };
};

/// Thread safety: use from the loop's thread. Precondition: the loop outlives this object.
class ObjectStore {
public:
    using Done = std::function<void(tl::expected<StoredObject, StoreError>)>;

    ObjectStore(RattandeckNet::EventLoop& loop, const RattandeckNet::Address& server, StoreLimits limits = {});
    ~ObjectStore();

    void read(const std::string& kind, const std::string& name, Done done);
    void create(const std::string& kind, const std::string& name, const nlohmann::json& spec, Done done);
    /// Replaces the spec if the object's revision is `object.revision`.
    void replace(const std::string& kind, const StoredObject& object, Done done);
    /// Replaces the status if the object's revision is `object.revision`.
    void replaceStatus(const std::string& kind, const StoredObject& object, Done done);
    /// Lists a kind, then watches it. The store answers a watch after `watchWait` when nothing changes; the default is
    /// that of the limits. Precondition: the kind is not followed.
    void follow(
        const std::string& kind, KindHandlers handlers, std::optional<std::chrono::milliseconds> watchWait = {});
    /// Stops following a kind; its handlers are no longer called. Ignored for a kind that is not followed.
    void unfollow(const std::string& kind);
    /// Revision up to which the changes of a kind have been reported; 0 before it has been listed, and for a kind that
    /// is not followed.
    std::uint64_t viewRevision(const std::string& kind) const;
    /// Time since the store last answered for the followed kind; empty before the kind has been listed, and for a kind
    /// that is not followed.
    std::optional<std::chrono::milliseconds> viewAge(const std::string& kind) const;
    /// Time since the last answered list or watch of the followed kind was sent; empty as `viewAge`. What has been
    /// reported was current at that moment: an answer may be delayed on its way, so the time of its arrival proves
    /// nothing.
    std::optional<std::chrono::milliseconds> confirmedAge(const std::string& kind) const;

    /// Number of calls made.
    std::uint64_t callCount() const;
    /// Time since the last answer of the store; empty before the first one.
    std::optional<std::chrono::milliseconds> answerAge() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// Provides `rattandeck_store_calls_total` and `rattandeck_store_answer_age_seconds`, which is -1 before the first
/// answer. Precondition: `store` outlives the last rendering of `metrics`.
void provideStoreMetrics(RattandeckApp::Metrics& metrics, const ObjectStore& store);

}
