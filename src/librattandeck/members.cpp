#include "members.h"

#include <nlohmann/json.hpp>

namespace Rattandeck {

std::string formatMember(const Member& member)
{
    nlohmann::json json { { "node", member.node.value }, { "incarnation", member.incarnation.value },
        { "domain", member.domain.value }, { "service", member.service.value }, { "address", member.address },
        { "role", member.role == Role::Entry ? "entry" : "sidecar" }, { "former", member.former.value },
        { "formerGone", member.formerGone.value } };
    if (member.gone)
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
        member.former = Incarnation(json.value("former", std::uint64_t { 0 }));
        member.formerGone = ObjectVersion(json.value("formerGone", std::uint64_t { 0 }));
        member.gone = json.value("gone", false);
        member.changed = changed;
        return member;
    } catch (const nlohmann::json::exception&) {
        return tl::unexpected(ObjectError::Malformed);
    }
}

void registerOver(const Member& stored, Member& replacement)
{
    if (stored.incarnation == replacement.incarnation) {
        replacement.former = stored.former;
        replacement.formerGone = stored.formerGone;
        return;
    }
    replacement.former = stored.incarnation;
    if (stored.gone)
        replacement.formerGone = stored.changed;
}

CensusRoll censusRoll(const std::vector<Member>& members, ObjectVersion completeThrough)
{
    CensusRoll roll;
    for (const Member& member : members) {
        const bool changedAfter = member.changed > completeThrough;
        const bool previousIsCovered = member.formerGone.value != 0 && member.formerGone <= completeThrough;
        const bool previousIsLost = member.former.value != 0 && !previousIsCovered;
        if (changedAfter && previousIsLost)
            ++roll.processesLost;
        if (changedAfter && member.gone)
            roll.gone.push_back(member);
        if (!member.gone)
            roll.mustHear.push_back(member);
    }
    return roll;
}

}
