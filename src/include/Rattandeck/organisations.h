#pragma once

#include "Rattandeck/types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Organisations that callers belong to, and the keys that identify them.
namespace Rattandeck {

/// SHA-256 of a caller's key. Keys are secrets: they are digested where they are decoded, so that none can reach a log
/// line, a metric or an endpoint.
using KeyDigest = Strong<struct KeyDigestTag, std::string>;

KeyDigest digestOfKey(std::string_view key);

/// Calls that an organisation may send through all gateways together: `rate` calls a second, and `burst` in addition
/// after a pause.
struct CallAllowance {
    CallRate rate;
    double burst = 0;
    bool operator==(const CallAllowance&) const = default;
};

struct Organisation {
    OrganisationId id;
    std::vector<KeyDigest> keys;
    /// Replaces the rank of a call's route; 0 is the most urgent.
    std::optional<std::uint32_t> rank;
    /// Empty if the organisation's calls are not limited.
    std::optional<CallAllowance> allowance;
    bool operator==(const Organisation&) const = default;
};

/// A key that several organisations hold; it belongs to the first one.
struct SharedKey {
    OrganisationId holder;
    OrganisationId other;
    bool operator==(const SharedKey&) const = default;
};

/// Returns one entry for each key and each further organisation that holds it.
std::vector<SharedKey> findSharedKeys(const std::vector<Organisation>& organisations);

/// Index of the organisations of one configuration.
///
/// Thread safety: immutable; may be shared between threads.
class OrganisationDirectory {
public:
    /// A key that several organisations hold belongs to the first of them.
    explicit OrganisationDirectory(std::vector<Organisation> organisations);
    ~OrganisationDirectory();
    OrganisationDirectory(const OrganisationDirectory&) = delete;
    OrganisationDirectory& operator=(const OrganisationDirectory&) = delete;

    const std::vector<Organisation>& organisations() const;
    /// Returns null for a key that no organisation holds.
    const Organisation* findByKey(const KeyDigest& key) const;
    const Organisation* find(const OrganisationId& id) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
