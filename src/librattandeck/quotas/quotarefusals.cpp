#include "Rattandeck/quotarefusals.h"

#include <algorithm>

namespace Rattandeck {

constexpr Milliseconds lineInterval { 1000 };

std::optional<std::uint64_t> QuotaRefusals::note(const OrganisationId& organisation, TimePoint now)
{
    Refused& refused = this->organisations[organisation];
    ++refused.total;
    ++refused.sinceLine;
    if (refused.lineAt && now - *refused.lineAt < lineInterval)
        return std::nullopt;
    refused.lineAt = now;
    return std::exchange(refused.sinceLine, 0);
}

std::vector<std::pair<OrganisationId, std::uint64_t>> QuotaRefusals::largest(std::size_t count) const
{
    std::vector<std::pair<OrganisationId, std::uint64_t>> sorted;
    sorted.reserve(this->organisations.size());
    for (const auto& [organisation, refused] : this->organisations)
        sorted.emplace_back(organisation, refused.total);
    std::ranges::sort(sorted, [](const auto& left, const auto& right) {
        return left.second != right.second ? left.second > right.second : left.first < right.first;
    });
    sorted.resize(std::min(count, sorted.size()));
    return sorted;
}

std::uint64_t QuotaRefusals::countBeyond(std::size_t count) const
{
    std::uint64_t others = 0;
    for (const auto& [organisation, refused] : this->organisations)
        others += refused.total;
    for (const auto& [organisation, total] : this->largest(count))
        others -= total;
    return others;
}

}
