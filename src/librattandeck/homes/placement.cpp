#include "Rattandeck/placement.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Speeds assumed for a sidecar that has not reported any.
    constexpr double defaultDecodeTokensPerSecond = 50;
    constexpr double defaultPrefillTokensPerSecond = 5000;
    // Each call in a batch slows the others down by this fraction.
    constexpr double slowdownPerBatchedCall = 0.005;
    // Waiting time that each recent failure adds.
    constexpr double suspicionPenaltySeconds = 2;
    // Sidecars tried when none in the sample has a credit. Bounds the time of a decision.
    constexpr std::size_t maxFallbackViews = 768;
    // A prefill delays each call of the batch by this fraction of its duration.
    constexpr double prefillInterference = 0.5;

    // SplitMix64 random generator.
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
        const double speed = reported > 0 ? reported : defaultDecodeTokensPerSecond;
        return static_cast<double>(std::max<std::int64_t>(1, call.expectedOutputTokens.value)) / speed;
    }

    double callsInSystem(const SidecarView& sidecar)
    {
        const double counted = sidecar.report.running + sidecar.report.waiting + sidecar.placedSinceReport;
        return std::max(0.0, counted - sidecar.endedSinceReport);
    }

    // Expected batch size.
    double batchSize(const SidecarView& sidecar)
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
        return perCall * (queued / limit + slowdownPerBatchedCall * batchSize(sidecar))
            + suspicionPenaltySeconds * sidecar.suspicion;
    }

    double prefillSeconds(const SidecarView& sidecar, const CallShape& call, TokenCount held)
    {
        const double reported = sidecar.report.prefillTokensPerSecond;
        const double speed = reported > 0 ? reported : defaultPrefillTokensPerSecond;
        const std::int64_t missing = std::max<std::int64_t>(0, call.promptTokens.value - held.value);
        return static_cast<double>(missing) / speed;
    }

    PlacementCandidate scoreCandidate(
        const SidecarView& sidecar, const CallShape& call, const PlacementSettings& settings, TokenCount held)
    {
        PlacementCandidate candidate { sidecar.node };
        candidate.waitSeconds = waitSeconds(sidecar, call);
        candidate.prefillSeconds = prefillSeconds(sidecar, call, held);
        if (sidecar.domain != settings.ownDomain)
            candidate.transferSeconds = 2 * std::chrono::duration<double>(settings.domainDelay).count();
        candidate.score = settings.waitWeight * candidate.waitSeconds
            + settings.missingPrefixWeight * candidate.prefillSeconds * (1 + prefillInterference * batchSize(sidecar))
            + settings.transferWeight * candidate.transferSeconds;
        return candidate;
    }

    // Candidates of one decision and the best of them.
    struct CandidateSearch {
        std::span<const SidecarView> sidecars;
        const CallShape& call;
        const PlacementSettings& settings;
        const PlacementFilter& eligible;
        std::vector<std::size_t> scored;
        PlacementDecision decision;
        double bestScore = 0;

        void add(std::size_t index, TokenCount held)
        {
            if (this->sidecars[index].creditsLeft == 0 || std::ranges::find(this->scored, index) != this->scored.end())
                return;
            if (this->eligible && !this->eligible(index))
                return;
            this->scored.push_back(index);
            PlacementCandidate candidate = scoreCandidate(this->sidecars[index], this->call, this->settings, held);
            if (this->decision.choice.value.empty() || candidate.score < this->bestScore) {
                this->decision.choice = candidate.sidecar;
                this->bestScore = candidate.score;
            }
            this->decision.candidates.push_back(std::move(candidate));
        }
    };

    void addSample(CandidateSearch& search, std::uint64_t seed)
    {
        const std::size_t count = search.sidecars.size();
        const std::size_t wanted = search.scored.size() + search.settings.candidateCount;
        if (count <= wanted) {
            // A random start spreads calls over sidecars with equal scores.
            const std::size_t start = nextRandom(seed) % count;
            for (std::size_t i = 0; i < count; ++i)
                search.add((start + i) % count, TokenCount(0));
            return;
        }
        // A draw yields no candidate if its sidecar has no credit, so there are more draws than candidates.
        constexpr std::size_t drawsPerCandidate = 4;
        const std::size_t draws = drawsPerCandidate * search.settings.candidateCount;
        for (std::size_t i = 0; i < draws && search.scored.size() < wanted; ++i)
            search.add(nextRandom(seed) % count, TokenCount(0));
        if (!search.scored.empty())
            return;
        const std::size_t start = nextRandom(seed) % count;
        const std::size_t further = std::min(count, maxFallbackViews);
        for (std::size_t i = 0; i < further && search.scored.empty(); ++i)
            search.add((start + i) % count, TokenCount(0));
    }

}

PlacementDecision choosePlacement(std::span<const SidecarView> sidecars, const CallShape& call,
    const PlacementSettings& settings, std::uint64_t seed, std::span<const PrefixHolder> holders,
    const PlacementFilter& eligible)
{
    CandidateSearch search { sidecars, call, settings, eligible, {}, {}, 0 };
    search.decision.program = call.program;
    search.decision.turn = call.turn;
    search.decision.policy = "expected-wait";
    if (sidecars.empty())
        return search.decision;
    search.scored.reserve(holders.size() + settings.candidateCount);
    search.decision.candidates.reserve(holders.size() + settings.candidateCount);
    for (const PrefixHolder& holder : holders)
        search.add(holder.index, holder.tokens);
    addSample(search, seed);
    return std::move(search.decision);
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
