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

void replaceMember(const Member& stored, Member& fresh)
{
    if (stored.incarnation == fresh.incarnation) {
        fresh.previous = stored.previous;
        fresh.previousRemovedAt = stored.previousRemovedAt;
        return;
    }
    fresh.previous = stored.incarnation;
    if (stored.removed)
        fresh.previousRemovedAt = stored.changed;
}

RecoveryScope recoveryScope(const std::vector<Member>& members, ObjectVersion completeThrough)
{
    RecoveryScope roll;
    for (const Member& member : members) {
        const bool changedSince = member.changed > completeThrough;
        const bool formerCovered = member.previousRemovedAt.value != 0 && member.previousRemovedAt <= completeThrough;
        const bool formerLost = member.previous.value != 0 && !formerCovered;
        if (changedSince && formerLost)
            ++roll.processesLost;
        if (changedSince && member.removed)
            roll.removed.push_back(member);
        if (!member.removed)
            roll.mustAnswer.push_back(member);
    }
    return roll;
}

}
