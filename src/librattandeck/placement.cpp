#include "Rattandeck/placement.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Stand in for speeds that no report has told yet.
    constexpr double usualDecodeTokensPerSecond = 50;
    constexpr double usualPrefillTokensPerSecond = 5000;
    // Each call in a batch slows the others down by this share.
    constexpr double callSlowdown = 0.005;
    // Each recent failure counts as so much waiting.
    constexpr double suspicionSeconds = 2;
    // Views looked at when the sample has no credit; bounds the time of a decision.
    constexpr std::size_t mostLookedAt = 768;
    // A prefill holds up each call of the batch for this share of its time.
    constexpr double prefillHarm = 0.5;

    // SplitMix64: one step gives one well-mixed number.
    std::uint64_t nextRandom(std::uint64_t& state)
    {
        state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    double callSeconds(const SidecarView& sidecar, const CallShape& call)
    {
        const double reported = sidecar.report.decodeTokensPerSecond;
        const double speed = reported > 0 ? reported : usualDecodeTokensPerSecond;
        return static_cast<double>(std::max<std::int64_t>(1, call.expectedOutputTokens.value)) / speed;
    }

    double callsInSystem(const SidecarView& sidecar)
    {
        const double counted = sidecar.report.running + sidecar.report.waiting + sidecar.placedSinceReport;
        return std::max(0.0, counted - sidecar.endedSinceReport);
    }

    // Size of the batch, as far as it is known.
    double callsTogether(const SidecarView& sidecar)
    {
        return std::min(callsInSystem(sidecar), std::max<double>(1, sidecar.report.limit));
    }

    double waitSeconds(const SidecarView& sidecar, const CallShape& call)
    {
        const LoadReport& report = sidecar.report;
        const double limit = std::max<double>(1, report.limit);
        const double ahead = callsInSystem(sidecar);
        const double queued = std::max(0.0, ahead + 1 - limit);
        const double perCall = callSeconds(sidecar, call);
        return perCall * (queued / limit + callSlowdown * callsTogether(sidecar))
            + suspicionSeconds * sidecar.suspicion;
    }

    double prefillSeconds(const SidecarView& sidecar, const CallShape& call, TokenCount held)
    {
        const double reported = sidecar.report.prefillTokensPerSecond;
        const double speed = reported > 0 ? reported : usualPrefillTokensPerSecond;
        const std::int64_t missing = std::max<std::int64_t>(0, call.promptTokens.value - held.value);
        return static_cast<double>(missing) / speed;
    }

    PlacementCandidate weigh(
        const SidecarView& sidecar, const CallShape& call, const PlacementSettings& settings, TokenCount held)
    {
        PlacementCandidate candidate { sidecar.node };
        candidate.waitSeconds = waitSeconds(sidecar, call);
        candidate.prefillSeconds = prefillSeconds(sidecar, call, held);
        if (sidecar.domain != settings.ownDomain)
            candidate.transferSeconds = 2 * std::chrono::duration<double>(settings.domainDelay).count();
        candidate.score = settings.waitWeight * candidate.waitSeconds
            + settings.missingPrefixWeight * candidate.prefillSeconds * (1 + prefillHarm * callsTogether(sidecar))
            + settings.transferWeight * candidate.transferSeconds;
        return candidate;
    }

    // Collects the candidates of one decision and the best of them.
    struct Weighing {
        std::span<const SidecarView> sidecars;
        const CallShape& call;
        const PlacementSettings& settings;
        const PlacementFilter& eligible;
        std::vector<std::size_t> seen;
        PlacementDecision decision;
        double bestScore = 0;

        void add(std::size_t index, TokenCount held)
        {
            if (this->sidecars[index].creditsLeft == 0 || std::ranges::find(this->seen, index) != this->seen.end())
                return;
            if (this->eligible && !this->eligible(index))
                return;
            this->seen.push_back(index);
            PlacementCandidate candidate = weigh(this->sidecars[index], this->call, this->settings, held);
            if (this->decision.choice.value.empty() || candidate.score < this->bestScore) {
                this->decision.choice = candidate.sidecar;
                this->bestScore = candidate.score;
            }
            this->decision.candidates.push_back(std::move(candidate));
        }
    };

    void addSample(Weighing& weighing, std::uint64_t seed)
    {
        const std::size_t count = weighing.sidecars.size();
        const std::size_t wanted = weighing.seen.size() + weighing.settings.candidateCount;
        if (count <= wanted) {
            // The start varies, so that equal scores don't all go to the first.
            const std::size_t start = nextRandom(seed) % count;
            for (std::size_t i = 0; i < count; ++i)
                weighing.add((start + i) % count, TokenCount(0));
            return;
        }
        // Sidecars without credit aren't candidates, so some draws are in vain.
        constexpr std::size_t drawsPerCandidate = 4;
        const std::size_t draws = drawsPerCandidate * weighing.settings.candidateCount;
        for (std::size_t i = 0; i < draws && weighing.seen.size() < wanted; ++i)
            weighing.add(nextRandom(seed) % count, TokenCount(0));
        if (!weighing.seen.empty())
            return;
        const std::size_t start = nextRandom(seed) % count;
        const std::size_t further = std::min(count, mostLookedAt);
        for (std::size_t i = 0; i < further && weighing.seen.empty(); ++i)
            weighing.add((start + i) % count, TokenCount(0));
    }

}

PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed, std::span<const PrefixHolder> holders,
    const PlacementFilter& eligible)
{
    Weighing weighing { sidecars, call, settings, eligible, {}, {}, 0 };
    weighing.decision.program = call.program;
    weighing.decision.turn = call.turn;
    weighing.decision.policy = "expected-wait";
    if (sidecars.empty())
        return weighing.decision;
    weighing.seen.reserve(holders.size() + settings.candidateCount);
    weighing.decision.candidates.reserve(holders.size() + settings.candidateCount);
    for (const PrefixHolder& holder : holders)
        weighing.add(holder.index, holder.tokens);
    addSample(weighing, seed);
    return std::move(weighing.decision);
}

PlacementDecision choosePlacement(
    std::span<const SidecarView> sidecars, const CallShape& call, const PlacementSettings& settings, std::uint64_t seed)
{
    std::vector<PrefixHolder> holders;
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
        if (sidecars[i].heldTokens.value > 0)
            holders.push_back({ static_cast<std::uint32_t>(i), sidecars[i].heldTokens });
    }
    return choosePlacement(sidecars, call, settings, seed, holders);
}

}
