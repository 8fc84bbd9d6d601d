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
    /// The prefix is released at this time, unless a home renews the lease or the program makes a call.
    TimePoint leaseUntil {};
    Duration expectedPause { 0 };
    /// Number of the last change of this prefix.
    std::uint64_t change = 0;
};

struct PrefixDrop {
    ProgramId program;
    std::uint64_t change = 0;
};

struct PrefixTable {
    std::map<ProgramId, CachedPrefix> held;
    /// The latest drops, at most `maxRememberedDrops`, for incremental reports.
    std::deque<PrefixDrop> drops;
    std::uint64_t lastChange = 0;
    /// `drops` contains every drop with a higher change number than this. Older drops have been discarded.
    std::uint64_t dropsCompleteSince = 0;
};

constexpr std::size_t maxRememberedDrops = 1024;

void holdPrefix(PrefixTable& table, const ProgramId& program, TokenCount tokens, TimePoint leaseUntil);
/// Returns false when the prefix wasn't held.
bool dropPrefix(PrefixTable& table, const ProgramId& program);
TokenCount heldTokens(const PrefixTable& table, const ProgramId& program);
TokenCount totalHeldTokens(const PrefixTable& table);
std::vector<ProgramId> expiredPrefixes(const PrefixTable& table, TimePoint now);

/// Fills the prefixes of a report with the changes after change number `since`, or with all held prefixes when `since`
/// is 0 or older than the remembered drops. Only programs that `wanted` selects are included.
void reportPrefixes(const PrefixTable& table, std::uint64_t since, const std::function<bool(const ProgramId&)>& wanted,
    LoadReport& report);

}
