#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

/// Registered incarnations of entries and sidecars: whom a census must hear.
namespace Rattandeck {

/// Value of the object `member/<node>`.
struct Member {
    NodeId node;
    Incarnation incarnation;
    FailureDomain domain;
    ServiceName service;
    std::string address;
    Role role = Role::Sidecar;
    /// The incarnation that this one replaced; 0: none.
    Incarnation previous;
    /// Revision at which the former incarnation was known to be gone; 0: it was replaced without that.
    ObjectVersion previousRemovedAt;
    /// Nobody can reach it any more, and the instance list no longer shows it.
    bool removed = false;
    /// Revision of the store at the last change of the object.
    ObjectVersion changed;
};

std::string formatMember(const Member& member);
/// Errors: `ObjectError::Malformed`.
tl::expected<Member, ObjectError> parseMember(const std::string& value, ObjectVersion changed);

/// Completes `fresh`, which takes the place of `stored`. Precondition: `fresh` has the same or a later incarnation.
void replaceMember(const Member& stored, Member& fresh);

/// Whom a census must hear so that it is complete.
struct RecoveryScope {
    std::vector<Member> mustAnswer;
    /// Processes that may have held facts and have been replaced.
    std::uint32_t processesLost = 0;
    /// Processes that may have held facts and are said to be gone; one that leaves in order may still answer.
    std::vector<Member> removed;
};

/// Facts of processes that ended up to `completeThrough` stand elsewhere; those that ended later may be lost.
RecoveryScope recoveryScope(const std::vector<Member>& members, ObjectVersion completeThrough);

}
