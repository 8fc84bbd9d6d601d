#include "sidecarprefixes.h"

namespace Rattandeck {

void holdPrefix(PrefixTable& table, const ProgramId& program, TokenCount tokens, TimePoint leaseUntil)
{
    CachedPrefix& prefix = table.held[program];
    prefix.tokens = tokens;
    prefix.leaseUntil = leaseUntil;
    prefix.expectedPause = Duration(0);
    prefix.change = ++table.lastChange;
}

bool dropPrefix(PrefixTable& table, const ProgramId& program)
{
    if (table.held.erase(program) == 0)
        return false;
    table.drops.push_back({ program, ++table.lastChange });
    if (table.drops.size() > maxRememberedDrops) {
        table.dropsCompleteSince = table.drops.front().change;
        table.drops.pop_front();
    }
    return true;
}

TokenCount heldTokens(const PrefixTable& table, const ProgramId& program)
{
    const auto found = table.held.find(program);
    return found == table.held.end() ? TokenCount() : found->second.tokens;
}

TokenCount totalHeldTokens(const PrefixTable& table)
{
    TokenCount sum;
    for (const auto& [program, prefix] : table.held)
        sum.value += prefix.tokens.value;
    return sum;
}

std::vector<ProgramId> expiredPrefixes(const PrefixTable& table, TimePoint now)
{
    std::vector<ProgramId> expired;
    for (const auto& [program, prefix] : table.held) {
        if (prefix.leaseUntil <= now)
            expired.push_back(program);
    }
    return expired;
}

void reportPrefixes(const PrefixTable& table, std::uint64_t since, const std::function<bool(const ProgramId&)>& wanted,
    LoadReport& report)
{
    report.prefixesComplete = since == 0 || since < table.dropsCompleteSince;
    if (report.prefixesComplete)
        since = 0;
    for (const auto& [program, prefix] : table.held) {
        if (prefix.change > since && wanted(program))
            report.heldPrefixes.push_back({ program, prefix.tokens });
    }
    if (report.prefixesComplete)
        return;
    for (auto drop = table.drops.rbegin(); drop != table.drops.rend() && drop->change > since; ++drop) {
        if (wanted(drop->program) && !table.held.contains(drop->program))
            report.droppedPrefixes.push_back(drop->program);
    }
}

}
