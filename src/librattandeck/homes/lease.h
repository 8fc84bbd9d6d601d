#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Leases of entries: the stored object, the lease time as measured by the holder and by observers, and the grantors'
/// promises. While the object API is unavailable, promises of a majority of its grantors replace the holder's lease.
namespace Rattandeck {

/// Value of the object `lease/<entry>`.
struct LeaseObject {
    NodeId entry;
    Incarnation incarnation;
    Milliseconds duration { 0 };
    FailureDomain domain;
    std::string address;
    /// Entries in other failure domains whose promises can replace the lease during an outage of the object API.
    std::vector<NodeId> grantors;
    /// Records held by members that were lost up to this revision of the store have been copied to other members again.
    ObjectVersion completeThrough;
    /// Incremented with each write, so that every renewal changes the object.
    std::uint64_t renewal = 0;
    /// The holder has shut down and gives up the lease.
    bool released = false;
    /// A successor has revoked the lease, so that a renewal still in flight fails with a version conflict.
    bool revoked = false;
};

std::string formatLease(const LeaseObject& lease);
/// Errors: `ObjectError::Malformed`.
tl::expected<LeaseObject, ObjectError> parseLease(const std::string& value);

/// Number of grantors that form a majority.
std::size_t quorumSize(std::size_t grantors);

/// A grantor as named in a written lease. Promises of a later incarnation are not accepted, since it does not know
/// which leases the earlier one has released.
struct PromiseGrantor {
    NodeId node;
    Incarnation incarnation;
};

/// A lease as seen by its holder.
struct HeldLease {
    ObjectVersion version;
    TimePoint validUntil {};
    /// Grantors of the stored lease. While the outcome of a write is unknown, either this set or `unconfirmedGrantors`
    /// may be the stored one, so promises of a majority of each are required.
    std::vector<PromiseGrantor> grantors;
    std::optional<std::vector<PromiseGrantor>> unconfirmedGrantors;
    /// End of each grantor's promise, measured from before the request was sent.
    std::map<NodeId, TimePoint> promises;

    /// Time until which the promises of a majority of the grantors are valid.
    TimePoint promisedUntil() const;
    bool holds(TimePoint now) const { return now < this->validUntil || now < this->promisedUntil(); }
    bool reliesOnPromises(TimePoint now) const { return now >= this->validUntil && now < this->promisedUntil(); }
    /// Handles a successful write. The lease runs from `writeStart`, the time before the write was sent.
    void onWritten(
        ObjectVersion newVersion, TimePoint writeStart, Milliseconds duration, std::vector<PromiseGrantor> named);
    void onPromise(const NodeId& grantor, Incarnation incarnation, TimePoint until);
};

/// Another entry's lease as seen by this process.
struct ObservedLease {
    ObjectVersion version;
    LeaseObject lease;
    TimePoint firstSeen {};

    TimePoint expiresAt(Milliseconds margin) const;
    bool hasExpired(TimePoint now, Milliseconds margin) const;
    /// Records a version that was read at `now`. Returns false if it is not newer than the known one.
    bool onSeen(ObjectVersion seen, const LeaseObject& value, TimePoint now);
};

/// Promises given and lease versions released by a grantor.
class PromiseTable {
public:
    /// A previous process of this entry may have given promises that last until `started` + `lifetime`; nothing is
    /// released before.
    PromiseTable(TimePoint started, Milliseconds lifetime)
        : lifetime(lifetime)
        , noReleaseUntil(started + lifetime)
    {
    }

    /// Returns false if that version of the holder's lease, or a later one, has been released.
    bool promise(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now);
    /// Returns the time left until the lease version can be released; 0 if it has been released by this call.
    Milliseconds release(const NodeId& holder, ObjectVersion leaseVersion, TimePoint now);

private:
    Milliseconds lifetime;
    TimePoint noReleaseUntil;
    std::map<NodeId, TimePoint> promisedUntil;
    std::map<NodeId, ObjectVersion> releasedVersions;
};

}
