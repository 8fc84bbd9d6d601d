#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

/// Membership: the registered incarnations of entries and sidecars, and which of them a state recovery must query.
namespace Rattandeck {

/// Value of the object `member/<node>`.
struct Member {
    NodeId node;
    Incarnation incarnation;
    FailureDomain domain;
    ServiceName service;
    std::string address;
    Role role = Role::Sidecar;
    /// Incarnation that this one replaced; 0: none.
    Incarnation previous;
    /// Revision at which the previous incarnation was marked as removed; 0: it was not marked before it was replaced.
    ObjectVersion previousRemovedAt;
    /// The process can't be reached any more and is missing from the instance list.
    bool removed = false;
    /// Revision of the store at the last change of the object.
    ObjectVersion changed;
};

std::string formatMember(const Member& member);
/// Errors: `ObjectError::Malformed`.
tl::expected<Member, ObjectError> parseMember(const std::string& value, ObjectVersion changed);

/// Sets the fields of `replacement` that describe the incarnation before it, when `replacement` replaces `stored`.
/// Precondition: `replacement` has the same or a later incarnation.
void replaceMember(const Member& stored, Member& replacement);

/// Members that must answer before a state recovery is complete, and processes whose records may be lost.
struct RecoveryScope {
    std::vector<Member> mustAnswer;
    /// Number of processes that may have held records and have been replaced.
    std::uint32_t processesLost = 0;
    /// Members that may have held records and are marked as removed. One that is shutting down normally may still
    /// answer.
    std::vector<Member> removed;
};

/// Records of processes that ended up to the revision `completeThrough` have been copied to other members; records of
/// processes that ended later may be lost.
RecoveryScope recoveryScope(const std::vector<Member>& members, ObjectVersion completeThrough);

}
