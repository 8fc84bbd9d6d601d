#include "sidecarcredits.h"

#include <algorithm>

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
    for (const IssuedGrant& grant : book.grants)
        sums[grant.holder] += grant.left;
    return sums;
}

CreditGrant issueCredits(CreditBook& book, const NodeId& holder, std::uint32_t count, Milliseconds life, TimePoint now)
{
    if (count == 0)
        return {};
    ++book.lastId.value;
    book.grants.push_back({ book.lastId, holder, count, now + life });
    return { book.lastId, count, life };
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

std::vector<std::uint32_t> divideCredits(std::uint32_t room, std::span<const CreditClaim> claims, std::size_t first)
{
    std::vector<std::uint32_t> extra(claims.size(), 0);
    double weights = 0;
    double total = room;
    for (const CreditClaim& claim : claims) {
        weights += claim.weight;
        total += claim.held;
    }
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const auto target = static_cast<std::uint32_t>(total * claims[i].weight / weights);
        if (target <= claims[i].held)
            continue;
        extra[i] = std::min(room, target - claims[i].held);
        room -= extra[i];
    }
    for (std::size_t i = 0; i < claims.size() && room > 0; ++i) {
        const std::size_t index = (first + i) % claims.size();
        if (claims[index].held + extra[index] > 0)
            continue;
        extra[index] = 1;
        --room;
    }
    return extra;
}

}
