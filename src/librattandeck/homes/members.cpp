#include "members.h"

#include <nlohmann/json.hpp>

namespace Rattandeck {

std::string formatMember(const Member& member)
{
    nlohmann::json json { { "node", member.node.value }, { "incarnation", member.incarnation.value },
        { "domain", member.domain.value }, { "service", member.service.value }, { "address", member.address },
        { "role", member.role == Role::Entry ? "entry" : "sidecar" }, { "former", member.previous.value },
        { "formerGone", member.previousRemovedAt.value } };
    if (member.removed)
        json["gone"] = true;
    return json.dump();
}

tl::expected<Member, ObjectError> parseMember(const std::string& value, ObjectVersion changed)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object())
        return tl::unexpected(ObjectError::Malformed);
    try {
        Member member;
        member.node = NodeId(json.at("node").get<std::string>());
        member.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
        member.domain = FailureDomain(json.value("domain", ""));
        member.service = ServiceName(json.value("service", ""));
        member.address = json.value("address", "");
        member.role = json.value("role", "sidecar") == "entry" ? Role::Entry : Role::Sidecar;
        member.previous = Incarnation(json.value("former", std::uint64_t { 0 }));
        member.previousRemovedAt = ObjectVersion(json.value("formerGone", std::uint64_t { 0 }));
        member.removed = json.value("gone", false);
        member.changed = changed;
        return member;
    } catch (const nlohmann::json::exception&) {
        return tl::unexpected(ObjectError::Malformed);
    }
}

void replaceMember(const Member& stored, Member& replacement)
{
    if (stored.incarnation == replacement.incarnation) {
        replacement.previous = stored.previous;
        replacement.previousRemovedAt = stored.previousRemovedAt;
        return;
    }
    replacement.previous = stored.incarnation;
    if (stored.removed)
        replacement.previousRemovedAt = stored.changed;
}

RecoveryScope recoveryScope(const std::vector<Member>& members, ObjectVersion completeThrough)
{
    RecoveryScope scope;
    for (const Member& member : members) {
        const bool changedAfter = member.changed > completeThrough;
        const bool previousIsCovered
            = member.previousRemovedAt.value != 0 && member.previousRemovedAt <= completeThrough;
        const bool previousIsLost = member.previous.value != 0 && !previousIsCovered;
        if (changedAfter && previousIsLost)
            ++scope.processesLost;
        if (changedAfter && member.removed)
            scope.removed.push_back(member);
        if (!member.removed)
            scope.mustAnswer.push_back(member);
    }
    return scope;
}

}
