#pragma once

#include "Rattandeck/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

/// Prefixes that the endpoint is believed to hold in its cache.
namespace Rattandeck {

struct CachedPrefix {
    TokenCount tokens;
    /// Released then, unless a home renews it or the program makes a call.
    TimePoint leaseUntil {};
    Duration expectedPause { 0 };
    /// Number of the change that made it what it is.
    std::uint64_t change = 0;
};

struct PrefixDrop {
    ProgramId program;
    std::uint64_t change = 0;
};

struct PrefixTable {
    std::map<ProgramId, CachedPrefix> held;
    /// The latest drops, for reports of what has changed.
    std::deque<PrefixDrop> drops;
    std::uint64_t lastChange = 0;
    /// Number of the oldest change whose drops are all in `drops`.
    std::uint64_t dropsKnownSince = 0;
};

constexpr std::size_t maxRememberedDrops = 1024;

void holdPrefix(PrefixTable& table, const ProgramId& program, TokenCount tokens, TimePoint leaseUntil);
/// Returns false when the prefix wasn't held.
bool dropPrefix(PrefixTable& table, const ProgramId& program);
TokenCount heldTokens(const PrefixTable& table, const ProgramId& program);
TokenCount totalHeldTokens(const PrefixTable& table);
std::vector<ProgramId> expiredPrefixes(const PrefixTable& table, TimePoint now);

/// Fills a report's prefixes with the changes after `since` (all when `since` is 0 or too long ago) of programs that
/// `wanted` chooses.
void reportPrefixes(const PrefixTable& table, std::uint64_t since, const std::function<bool(const ProgramId&)>& wanted,
    LoadReport& report);

}
