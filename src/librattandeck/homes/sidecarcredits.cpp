#include "sidecarcredits.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

namespace {

    void removeExpired(CreditTable& table, TimePoint now)
    {
        while (!table.grants.empty() && (table.grants.front().expires <= now || table.grants.front().left == 0))
            table.grants.pop_front();
    }

}

std::uint32_t outstandingCredits(CreditTable& table, TimePoint now)
{
    removeExpired(table, now);
    std::uint32_t sum = 0;
    for (const IssuedGrant& grant : table.grants)
        sum += grant.left;
    return sum;
}

std::unordered_map<NodeId, std::uint32_t> outstandingCreditsByHolder(CreditTable& table, TimePoint now)
{
    removeExpired(table, now);
    std::unordered_map<NodeId, std::uint32_t> sums;
    for (const IssuedGrant& grant : table.grants) {
        if (grant.left > 0)
            sums[grant.holder] += grant.left;
    }
    return sums;
}

CreditGrant issueCredits(
    CreditTable& table, const NodeId& holder, std::uint32_t count, Milliseconds lifetime, TimePoint now)
{
    if (count == 0)
        return {};
    ++table.lastId.value;
    table.grants.push_back({ table.lastId, holder, count, now + lifetime });
    return { table.lastId, count, lifetime };
}

bool spendCredit(CreditTable& table, CreditId id, const NodeId& holder, TimePoint now)
{
    for (IssuedGrant& grant : table.grants) {
        if (grant.id != id)
            continue;
        if (grant.holder != holder || grant.left == 0 || grant.expires <= now)
            return false;
        --grant.left;
        return true;
    }
    return false;
}

void revokeCredits(CreditTable& table, const NodeId& holder)
{
    std::erase_if(table.grants, [&](const IssuedGrant& grant) { return grant.holder == holder; });
}

namespace {

    // The likely claims together may hold at most this share of all credits, and so may the other claims together.
    constexpr double maxGroupShare = 0.75;

    struct CreditDivision {
        std::span<const CreditClaim> claims;
        std::uint32_t available = 0;
        std::vector<std::uint32_t> extra;

        // Divides credits among the claims of one group, given by their indices, up to `cap` outstanding credits.
        void share(std::span<const std::size_t> group, std::uint32_t cap)
        {
            double weights = 0;
            std::uint32_t held = 0;
            for (const std::size_t index : group) {
                weights += this->claims[index].weight;
                held += this->claims[index].held;
            }
            std::uint32_t left = std::min(this->available, cap > held ? cap - held : 0);
            const double total = left + held;
            for (const std::size_t index : group) {
                const CreditClaim& claim = this->claims[index];
                const auto target = static_cast<std::uint32_t>(total * claim.weight / weights);
                this->assign(index, target > claim.held ? target - claim.held : 0, left);
            }
            for (const std::size_t index : group) {
                if (this->claims[index].held + this->extra[index] == 0)
                    this->assign(index, 1, left);
            }
        }

        void assign(std::size_t index, std::uint32_t count, std::uint32_t& left)
        {
            const std::uint32_t assigned = std::min(left, count);
            this->extra[index] += assigned;
            left -= assigned;
            this->available -= assigned;
        }
    };

}

std::vector<std::uint32_t> divideCredits(
    std::uint32_t available, std::span<const CreditClaim> claims, std::size_t first)
{
    std::vector<std::size_t> likely;
    std::vector<std::size_t> others;
    std::uint32_t total = available;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const std::size_t index = (first + i) % claims.size();
        (claims[index].likely ? likely : others).push_back(index);
        total += claims[index].held;
    }
    std::stable_sort(likely.begin(), likely.end(),
        [&](std::size_t a, std::size_t b) { return claims[a].weight > claims[b].weight; });
    const auto cap = static_cast<std::uint32_t>(std::ceil(maxGroupShare * total));
    CreditDivision division { claims, available, std::vector<std::uint32_t>(claims.size(), 0) };
    division.share(likely, others.empty() ? total : cap);
    division.share(others, claims.size() == 1 ? total : cap);
    return division.extra;
}

}
