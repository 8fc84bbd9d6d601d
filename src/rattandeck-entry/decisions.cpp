#include "decisions.h"

#include "RattandeckApp/log.h"

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
