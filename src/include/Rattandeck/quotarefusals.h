#pragma once

#include "Rattandeck/types.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Rattandeck {

/// Counts the calls that are refused because an organisation's allowance is used, and spaces the log lines about them.
///
/// Thread safety: not synchronised.
class QuotaRefusals {
public:
    /// Returns the number of refused calls for a log line: at the first one, and then each second at most.
    std::optional<std::uint64_t> note(const OrganisationId& organisation, TimePoint now);
    /// The organisations with the most refused calls, at most `count`, in descending order.
    std::vector<std::pair<OrganisationId, std::uint64_t>> largest(std::size_t count) const;
    /// Refused calls of all others.
    std::uint64_t countBeyond(std::size_t count) const;

private:
    struct Refused {
        std::uint64_t total = 0;
        std::uint64_t sinceLine = 0;
        std::optional<TimePoint> lineAt;
    };
    std::unordered_map<OrganisationId, Refused> organisations;
};

}
