#include "decision.h"

#include "Rattandeck/placement.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <new>
#include <ostream>
#include <random>

using namespace Rattandeck;

namespace {

std::atomic<std::uint64_t> allocatedBytes = 0;

}

// Counts the bytes that a placement decision allocates. Only this measurement reads the counter.
void* operator new(std::size_t size)
{
    allocatedBytes.fetch_add(size, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }

namespace RattandeckBench {

namespace {

    std::vector<SidecarView> makeFleet(std::size_t size, double shareWithCredit, std::mt19937_64& random)
    {
        std::vector<SidecarView> fleet(size);
        for (std::size_t i = 0; i < size; ++i) {
            SidecarView& view = fleet[i];
            view.node = NodeId("runner-" + std::to_string(i) + ".agent-llm");
            view.domain = FailureDomain(i % 3 == 0 ? "makarpura" : "por");
            view.report.running = static_cast<std::uint32_t>(random() % 32);
            view.report.limit = 32;
            view.report.decodeTokensPerSecond = 40;
            view.report.prefillTokensPerSecond = 9000;
            view.creditsLeft = std::bernoulli_distribution(shareWithCredit)(random) ? 8 : 0;
        }
        return fleet;
    }

    void measure(std::ostream& out, std::size_t size, double shareWithCredit)
    {
        std::mt19937_64 random(size);
        const std::vector<SidecarView> fleet = makeFleet(size, shareWithCredit, random);
        CallShape call;
        call.promptTokens = TokenCount(6000);
        call.expectedOutputTokens = TokenCount(150);
        PlacementSettings settings;
        settings.ownDomain = FailureDomain("por");

        constexpr std::size_t decisions = 20000;
        std::vector<double> microseconds;
        microseconds.reserve(decisions);
        const std::uint64_t bytesBefore = allocatedBytes;
        for (std::size_t i = 0; i < decisions; ++i) {
            const std::array<PrefixHolder, 1> holders { PrefixHolder {
                static_cast<std::uint32_t>(random() % size), TokenCount(5500) } };
            const auto start = std::chrono::steady_clock::now();
            const PlacementDecision decision = choosePlacement(fleet, call, settings, random(), holders);
            const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
            microseconds.push_back(taken.count());
        }
        const std::uint64_t bytes = (allocatedBytes - bytesBefore) / decisions;
        std::sort(microseconds.begin(), microseconds.end());
        out << size << " sidecars, " << 100 * shareWithCredit << "% with credit: p50 " << microseconds[decisions / 2]
            << " us, p99 " << microseconds[decisions * 99 / 100] << " us, " << bytes << " bytes allocated\n";
    }

}

void printDecisionTimes(std::ostream& out)
{
    for (const std::size_t size : { 14, 450, 4500 })
        measure(out, size, 1);
    for (const double share : { 0.1, 0.001, 0.0 })
        measure(out, 4500, share);
}

}
