#pragma once

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
    /// The store refused the call for now. Nothing was changed.
    Refused,
    /// No answer, or none that can be understood; a change may have been made, or may be made later.
    NoAnswer,
};

std::string_view describe(StoreError error);

/// What a follower of one kind is told. Every change is told at least once.
struct KindHandlers {
    /// All objects of the kind, as of one revision. Those that are missing are gone.
    std::function<void(const std::vector<StoredObject>&)> onSnapshot;
    std::function<void(const StoredObject&, bool isRemoved)> onChange;
    /// The store answers this process, or has ceased to.
    std::function<void(bool isReachable)> onReachable;
};

struct StoreLimits {
    std::chrono::milliseconds callTimeout { 1500 };
    std::chrono::milliseconds connectTimeout { 400 };
    /// How long the store holds a watch back when nothing changes; short, so that a connection gone silent is noticed.
    std::chrono::milliseconds watchWait { 2000 };
    /// How much later than that its answer may come.
    std::chrono::milliseconds watchSlack { 800 };
    /// Time for a watch that does not wait, by which the end of an outage is noticed.
    std::chrono::milliseconds probeTimeout { 700 };
    /// Wait before a failed call is repeated; doubled up to the longest.
    std::chrono::milliseconds firstRetryDelay { 100 };
    std::chrono::milliseconds longestRetryDelay { 800 };
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
    /// Lists a kind and watches it from then on.
    void follow(const std::string& kind, KindHandlers handlers);

    /// Calls made so far.
    std::uint64_t callCount() const;
    /// Time since the store answered last; nothing before its first answer.
    std::optional<std::chrono::milliseconds> answerAge() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl;
};

/// `answerAge` in seconds for a metric; -1 before the first answer.
double answerAgeSeconds(const ObjectStore& store);

}
