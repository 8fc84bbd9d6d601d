#include "Rattandeck/configchecks.h"

#include <algorithm>
#include <numeric>

namespace Rattandeck {

/// Longer names are not compared, which bounds the time of a comparison.
constexpr std::size_t maxComparedLength = 64;

static std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const std::size_t substituted = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
        }
    }
    return row[to.size()];
}

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& known)
{
    if (name.size() > maxComparedLength)
        return std::nullopt;
    // A name that differs in more than a third of its characters is hardly a misspelling.
    const std::size_t maxDistance = std::max<std::size_t>(1, name.size() / 3);
    std::optional<std::string> nearest;
    std::size_t best = maxDistance + 1;
    for (const std::string& candidate : known) {
        const std::size_t difference
            = std::max(candidate.size(), name.size()) - std::min(candidate.size(), name.size());
        if (difference >= best)
            continue;
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

}
