#include "sidecarcredits.h"

#include <algorithm>
#include <cmath>

namespace Rattandeck {

namespace {

    void forgetExpired(CreditBook& book, TimePoint now)
    {
        while (!book.grants.empty() && (book.grants.front().expires <= now || book.grants.front().left == 0))
            book.grants.pop_front();
    }

}

std::uint32_t liveCredits(CreditBook& book, TimePoint now)
{
    forgetExpired(book, now);
    std::uint32_t sum = 0;
    for (const IssuedGrant& grant : book.grants)
        sum += grant.left;
    return sum;
}

std::unordered_map<NodeId, std::uint32_t> liveCreditsByHolder(CreditBook& book, TimePoint now)
{
    forgetExpired(book, now);
    std::unordered_map<NodeId, std::uint32_t> sums;
    for (const IssuedGrant& grant : book.grants) {
        if (grant.left > 0)
            sums[grant.holder] += grant.left;
    }
    return sums;
}

CreditGrant issueCredits(
    CreditBook& book, const NodeId& holder, std::uint32_t count, Milliseconds lifetime, TimePoint now)
{
    if (count == 0)
        return {};
    ++book.lastId.value;
    book.grants.push_back({ book.lastId, holder, count, now + lifetime });
    return { book.lastId, count, lifetime };
}

bool spendCredit(CreditBook& book, CreditId id, const NodeId& holder, TimePoint now)
{
    for (IssuedGrant& grant : book.grants) {
        if (grant.id != id)
            continue;
        if (grant.holder != holder || grant.left == 0 || grant.expires <= now)
            return false;
        --grant.left;
        return true;
    }
    return false;
}

void revokeCredits(CreditBook& book, const NodeId& holder)
{
    std::erase_if(book.grants, [&](const IssuedGrant& grant) { return grant.holder == holder; });
}

namespace {

    // Neither the likely claimants nor the others may hold more than this share of all credits.
    constexpr double largestShare = 0.75;

    struct CreditDivision {
        std::span<const CreditClaim> claims;
        std::uint32_t room = 0;
        std::vector<std::uint32_t> extra;

        // Divides what is left up to `cap` live credits among the claims of one kind, given by their indices.
        void share(std::span<const std::size_t> group, std::uint32_t cap)
        {
            double weights = 0;
            std::uint32_t held = 0;
            for (const std::size_t index : group) {
                weights += this->claims[index].weight;
                held += this->claims[index].held;
            }
            std::uint32_t left = std::min(this->room, cap > held ? cap - held : 0);
            const double total = left + held;
            for (const std::size_t index : group) {
                const CreditClaim& claim = this->claims[index];
                const auto target = static_cast<std::uint32_t>(total * claim.weight / weights);
                this->give(index, target > claim.held ? target - claim.held : 0, left);
            }
            for (const std::size_t index : group) {
                if (this->claims[index].held + this->extra[index] == 0)
                    this->give(index, 1, left);
            }
        }

        void give(std::size_t index, std::uint32_t count, std::uint32_t& left)
        {
            const std::uint32_t given = std::min(left, count);
            this->extra[index] += given;
            left -= given;
            this->room -= given;
        }
    };

}

std::vector<std::uint32_t> divideCredits(std::uint32_t room, std::span<const CreditClaim> claims, std::size_t first)
{
    std::vector<std::size_t> likely;
    std::vector<std::size_t> others;
    std::uint32_t total = room;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const std::size_t index = (first + i) % claims.size();
        (claims[index].likely ? likely : others).push_back(index);
        total += claims[index].held;
    }
    std::stable_sort(likely.begin(), likely.end(),
        [&](std::size_t a, std::size_t b) { return claims[a].weight > claims[b].weight; });
    const auto cap = static_cast<std::uint32_t>(std::ceil(largestShare * total));
    CreditDivision division { claims, room, std::vector<std::uint32_t>(claims.size(), 0) };
    division.share(likely, others.empty() ? total : cap);
    division.share(others, claims.size() == 1 ? total : cap);
    return division.extra;
}

}
