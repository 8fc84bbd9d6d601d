#pragma once

#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The platform's object API as used by the core: named, versioned objects with conditional updates. An adapter in
/// the programs translates these requests into calls of the platform's API.
namespace Rattandeck {

struct ObjectKey {
    std::string kind;
    std::string name;
    auto operator<=>(const ObjectKey&) const = default;
};

struct StoredObject {
    ObjectKey key;
    /// Revision of the store at the object's last write; versions of different objects are comparable.
    ObjectVersion version;
    bool deleted = false;
    /// JSON text.
    std::string value;
};

enum class ObjectError {
    /// The expected version of the update differs from the stored one. Nothing was changed.
    Conflict,
    NotFound,
    /// The call never reached the store.
    Unavailable,
    /// No answer arrived: the update may have taken effect. Read the object before acting on it.
    NoAnswer,
    TooLarge,
    Malformed,
};

struct ObjectGet {
    ObjectKey key;
};
struct ObjectList {
    std::string kind;
};
/// Writes `value` if the stored version is `expected` (0: the object must not exist).
struct ObjectPut {
    ObjectKey key;
    ObjectVersion expected;
    std::string value;
};
using ObjectRequest = std::variant<ObjectGet, ObjectList, ObjectPut>;

struct ObjectResult {
    /// Revision of the whole store when the call was answered. An `ObjectList` includes every change up to it.
    ObjectVersion revision;
    /// `ObjectGet`: the object read; `ObjectList`: all objects of the kind; `ObjectPut`: the object as written.
    std::vector<StoredObject> objects;
};
using ObjectOutcome = tl::expected<ObjectResult, ObjectError>;

/// One entry of the platform's list of instances. The list lags behind the actual state.
struct ListedInstance {
    NodeId node;
    bool leaving = false;
    /// Address at which the instance accepts links, as "host:port".
    std::string address;
    FailureDomain domain;
    /// Service of a sidecar's endpoint; empty for entries.
    ServiceName service;
};

}
