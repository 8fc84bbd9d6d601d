#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Leases of entries: the object, the holder's and the observers' count of time, and the guarantors' promises.
namespace Rattandeck {

/// Value of the object `lease/<entry>`.
struct LeaseObject {
    NodeId entry;
    Incarnation incarnation;
    Milliseconds duration { 0 };
    FailureDomain domain;
    std::string address;
    /// Entries in other failure domains whose promises can stand in for the lease.
    std::vector<NodeId> grantors;
    /// Facts of members lost up to this revision of the store stand elsewhere again.
    ObjectVersion completeThrough;
    /// Counts the writes, so that no renewal leaves the object as it was.
    std::uint64_t renewal = 0;
    /// The holder has stopped for good.
    bool released = false;
    /// A successor has ended the lease, so that a renewal under way can't take effect any more.
    bool revoked = false;
};

std::string formatLease(const LeaseObject& lease);
/// Errors: `ObjectError::Malformed`.
tl::expected<LeaseObject, ObjectError> parseLease(const std::string& value);

/// Number of guarantors that must agree.
std::size_t quorumSize(std::size_t grantors);

/// A guarantor as named in a written lease. A later incarnation has forgotten what it released, so it doesn't count.
struct PromiseGrantor {
    NodeId node;
    Incarnation incarnation;
};

/// The holder's own count of its lease.
struct HeldLease {
    ObjectVersion version;
    TimePoint validUntil {};
    /// Guarantors of the stored lease. While a write is in doubt there are two sets, and both must agree.
    std::vector<PromiseGrantor> grantors;
    std::optional<std::vector<PromiseGrantor>> unconfirmedGrantors;
    /// End of each live promise, counted from before its request.
    std::map<NodeId, TimePoint> promises;

    /// End of the authority that rests on promises.
    TimePoint promisedUntil() const;
    bool holds(TimePoint now) const { return now < this->validUntil || now < this->promisedUntil(); }
    bool reliesOnPromises(TimePoint now) const { return now >= this->validUntil && now < this->promisedUntil(); }
    /// A successful write that was begun at `begun`.
    void onWritten(ObjectVersion written, TimePoint begun, Milliseconds duration, std::vector<PromiseGrantor> named);
    void onPromise(const NodeId& grantor, Incarnation incarnation, TimePoint until);
};

/// Another entry's lease as seen from here.
struct ObservedLease {
    ObjectVersion version;
    LeaseObject lease;
    TimePoint firstSeen {};

    TimePoint expiresAt(Milliseconds margin) const;
    bool hasExpired(TimePoint now, Milliseconds margin) const;
    /// Takes in a version seen at `now`; returns false for one that is not newer.
    bool onSeen(ObjectVersion seen, const LeaseObject& value, TimePoint now);
};

/// What a guarantor has promised and released.
class PromiseTable {
public:
    /// A former process of this process may have promised until `lifetime` after `started`.
    PromiseTable(TimePoint started, Milliseconds lifetime)
        : lifetime(lifetime)
        , silentUntil(started + lifetime)
    {
    }

    /// Returns false when that version of the holder's lease, or a later one, has been released.
    bool promise(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now);
    /// Returns the time left until a release is possible; 0 when it is given now.
    Milliseconds release(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now);

private:
    Milliseconds lifetime;
    TimePoint silentUntil;
    std::map<NodeId, TimePoint> promisedUntil;
    std::map<NodeId, ObjectVersion> releasedVersions;
};

}
