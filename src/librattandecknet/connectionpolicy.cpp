#include "RattandeckNet/connectionpolicy.h"

#include <algorithm>
#include <cstdint>

namespace RattandeckNet {

namespace {

    struct Candidate {
        std::size_t index = 0;
        bool isStalled = false;
        /// Byte-milliseconds.
        std::uint64_t cost = 0;
    };

    bool hasStalled(const ConnectionUse& use, const ShortageRules& rules)
    {
        return use.sinceProgress >= rules.stallTime;
    }

    bool mayBeClosed(const ConnectionUse& use, const ShortageRules& rules)
    {
        if (use.stage == ConnectionStage::Idle || use.stage == ConnectionStage::Running)
            return false;
        if (use.heldBytes < rules.minHeldBytes)
            return false;
        return hasStalled(use, rules) || use.age >= rules.slowTime;
    }

    Candidate candidateFor(std::size_t index, const ConnectionUse& use, const ShortageRules& rules)
    {
        const bool isStalled = hasStalled(use, rules);
        const auto time = isStalled ? use.sinceProgress : use.age;
        return { index, isStalled, use.heldBytes * static_cast<std::uint64_t>(time.count()) };
    }

}

std::vector<std::size_t> chooseConnectionsToClose(
    const std::vector<ConnectionUse>& uses, std::size_t neededBytes, const ShortageRules& rules)
{
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < uses.size(); ++index) {
        if (mayBeClosed(uses[index], rules))
            candidates.push_back(candidateFor(index, uses[index], rules));
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.isStalled == b.isStalled ? a.cost > b.cost : a.isStalled;
    });
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (const Candidate& candidate : candidates) {
        if (freed >= neededBytes)
            break;
        chosen.push_back(candidate.index);
        freed += uses[candidate.index].heldBytes;
    }
    return chosen;
}

static bool doesNothing(const ConnectionUse& use, const NewcomerRules& rules)
{
    switch (use.stage) {
    case ConnectionStage::Idle:
        return use.sinceProgress >= (use.hasBeenUsed ? rules.idleTime : rules.unusedTime);
    case ConnectionStage::Receiving:
    case ConnectionStage::Sending:
        return use.sinceProgress >= rules.stallTime;
    case ConnectionStage::Running:
        break;
    }
    return false;
}

std::vector<std::size_t> chooseConnectionsForNewcomers(
    const std::vector<ConnectionUse>& uses, std::size_t maxCount, const NewcomerRules& rules)
{
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < uses.size(); ++index) {
        if (doesNothing(uses[index], rules))
            chosen.push_back(index);
    }
    std::sort(chosen.begin(), chosen.end(),
        [&uses](std::size_t a, std::size_t b) { return uses[a].sinceProgress > uses[b].sinceProgress; });
    chosen.resize(std::min(chosen.size(), maxCount));
    return chosen;
}

}
