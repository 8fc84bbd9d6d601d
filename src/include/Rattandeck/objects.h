#pragma once

#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The platform's object API as the core sees it: named, versioned objects with conditional updates. The adapter in
/// the programs turns these into calls of whatever the platform offers.
namespace Rattandeck {

struct ObjectKey {
    std::string kind;
    std::string name;
    auto operator<=>(const ObjectKey&) const = default;
};

struct StoredObject {
    ObjectKey key;
    /// Revision of the store at the object's last write, so that the versions of different objects can be compared.
    ObjectVersion version;
    bool deleted = false;
    /// JSON text.
    std::string value;
};

enum class ObjectError {
    /// The update's expected version is not the stored one. Nothing was changed.
    Conflict,
    NotFound,
    /// The call never reached the store.
    Unavailable,
    /// No answer came: the update may have taken effect. Read before deciding anything.
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
    /// Revision of the whole store at the answer. An `ObjectList` shows every change up to it.
    ObjectVersion revision;
    /// The object read; all of a kind; the object as written.
    std::vector<StoredObject> objects;
};
using ObjectOutcome = tl::expected<ObjectResult, ObjectError>;

/// One line of the platform's list of instances. It lags behind the truth.
struct ListedInstance {
    NodeId node;
    bool leaving = false;
    /// "host:port" for links.
    std::string address;
    FailureDomain domain;
    /// Empty for entries.
    ServiceName service;
};

}
