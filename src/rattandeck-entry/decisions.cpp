#include "decisions.h"

#include "RattandeckApp/log.h"

#include <nlohmann/json.hpp>

std::string toJson(const std::vector<Rattandeck::ProgramHeader>& programs)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const Rattandeck::ProgramHeader& program : programs) {
        list.push_back({ { "program", Rattandeck::toString(program.id) },
            { "organisation", program.organisation.value }, { "service", program.service.value } });
    }
    return list.dump();
}

void DecisionHistory::add(Rattandeck::PlacementDecision decision)
{
    this->decisions.push_back(std::move(decision));
    if (this->decisions.size() > this->limit)
        this->decisions.pop_front();
}

std::string DecisionHistory::toJson(const Rattandeck::ProgramId& program) const
{
    std::string list;
    for (const Rattandeck::PlacementDecision& decision : this->decisions) {
        if (decision.program == program)
            list += (list.empty() ? "" : ",") + RattandeckApp::toJson(decision);
    }
    return "[" + list + "]";
}
