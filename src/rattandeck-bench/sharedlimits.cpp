#include "sharedlimits.h"

#include "Rattandeck/ratelimit.h"

#include <algorithm>
#include <deque>
#include <iomanip>
#include <ostream>
#include <random>
#include <vector>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    constexpr double tickSeconds = 0.01;
    constexpr int ticks = 6000;
    constexpr int spanTicks = 400;
    /// A call that could not be sent within this time is refused.
    constexpr int maxWaitTicks = 20;
    /// Reports of demand are made at this interval, and known by all a quarter of a second later.
    constexpr int reportTicks = 50;
    constexpr int reportDelayTicks = 25;
    /// A permit arrives a round trip after it is requested.
    constexpr int roundTripTicks = 2;
    constexpr int domains = 3;
    constexpr int moveTicks = 500;
    constexpr int maxOwners = 3;

    struct Gateway {
        TokenBucket bucket;
        /// Ticks at which the waiting calls arrived.
        std::deque<int> waiting;
        double dueCalls = 0;
        /// Calls that arrived since the last report, and the demand of the last report but one, which all know.
        double arrived = 0;
        double reported = 0;
        double known = 0;
    };

    struct Model {
        SharedLimitSpec spec;
        std::mt19937_64 random;
        std::vector<Gateway> gateways;
        TokenBucket issuer;
        PermitSettings settings;
        std::vector<int> sentPerTick;
        std::uint64_t calls = 0;
        std::uint64_t sent = 0;
        std::uint64_t refused = 0;
    };

    TimePoint timeOf(int tick) { return TimePoint() + Milliseconds(10 * static_cast<std::int64_t>(tick)); }

    /// Relative number of callers of a gateway.
    double weightOf(const SharedLimitSpec& spec, int gateway, int tick)
    {
        switch (spec.shape) {
        case DemandShape::Even:
            return 1;
        case DemandShape::Skewed:
            return gateway % 10 == 0 ? 10 : 1;
        case DemandShape::Moving:
            return gateway % domains == tick / moveTicks % domains ? 1 : 0;
        }
        return 1;
    }

    void addCalls(Model& model, int tick)
    {
        double weights = 0;
        for (int number = 0; number < model.spec.gateways; ++number)
            weights += weightOf(model.spec, number, tick);
        std::uniform_real_distribution<double> jitter(0, 2);
        for (int number = 0; number < model.spec.gateways; ++number) {
            Gateway& gateway = model.gateways[number];
            const double rate
                = model.spec.limit * model.spec.demandRatio * weightOf(model.spec, number, tick) / weights;
            gateway.dueCalls += rate * tickSeconds * jitter(model.random);
            for (; gateway.dueCalls >= 1; gateway.dueCalls -= 1) {
                gateway.waiting.push_back(tick);
                gateway.arrived += 1;
                ++model.calls;
            }
        }
    }

    void reportDemand(Model& model, int tick)
    {
        if (tick % reportTicks == 0) {
            for (Gateway& gateway : model.gateways) {
                gateway.reported = gateway.arrived;
                gateway.arrived = 0;
            }
        }
        if (tick % reportTicks == reportDelayTicks) {
            for (Gateway& gateway : model.gateways)
                gateway.known = gateway.reported;
        }
    }

    bool isOwner(const SharedLimitSpec& spec, int gateway)
    {
        return spec.rule != SharingRule::FewOwners || gateway < std::min(maxOwners, spec.gateways);
    }

    /// The rate at which a gateway may send by itself.
    double ownRate(const Model& model, int number)
    {
        const SharedLimitSpec& spec = model.spec;
        if (!isOwner(spec, number))
            return 0;
        if (spec.rule == SharingRule::FewOwners)
            return spec.limit / std::min(maxOwners, spec.gateways);
        if (spec.rule == SharingRule::EqualSplit)
            return spec.limit / spec.gateways;
        double all = 0;
        for (const Gateway& gateway : model.gateways)
            all += gateway.known;
        // A gateway counts what it sees now against what the others reported.
        const double own = std::max(model.gateways[number].known, model.gateways[number].arrived);
        const double others = all - model.gateways[number].known;
        return own + others > 0 ? spec.limit * own / (own + others) : spec.limit / spec.gateways;
    }

    void sendFirst(Model& model, Gateway& gateway, int tick)
    {
        gateway.waiting.pop_front();
        ++model.sent;
        ++model.sentPerTick[tick];
    }

    void sendByOwnRates(Model& model, int tick)
    {
        for (int number = 0; number < model.spec.gateways; ++number) {
            Gateway& gateway = model.gateways[number];
            refill(gateway.bucket, CallRate(ownRate(model, number)), model.settings, timeOf(tick));
            for (; gateway.bucket.tokens >= 1 && !gateway.waiting.empty(); gateway.bucket.tokens -= 1)
                sendFirst(model, gateway, tick);
        }
    }

    void sendByPermits(Model& model, int tick)
    {
        refill(model.issuer, CallRate(model.spec.limit), model.settings, timeOf(tick));
        std::uniform_int_distribution<int> anyGateway(0, model.spec.gateways - 1);
        const int first = anyGateway(model.random);
        for (int step = 0; step < model.spec.gateways; ++step) {
            Gateway& gateway = model.gateways[(first + step) % model.spec.gateways];
            while (model.issuer.tokens >= 1 && !gateway.waiting.empty()
                && gateway.waiting.front() + roundTripTicks <= tick) {
                model.issuer.tokens -= 1;
                sendFirst(model, gateway, tick);
            }
        }
    }

    void refuseLateCalls(Model& model, int tick)
    {
        for (Gateway& gateway : model.gateways) {
            while (!gateway.waiting.empty() && gateway.waiting.front() + maxWaitTicks <= tick) {
                gateway.waiting.pop_front();
                ++model.refused;
            }
        }
    }

    SharedLimitResult resultOf(const Model& model)
    {
        SharedLimitResult result;
        const double allowed = 1.5 * model.spec.limit * spanTicks * tickSeconds + 5;
        int span = 0;
        int most = 0;
        for (int tick = 0; tick < ticks; ++tick) {
            span += model.sentPerTick[tick] - (tick >= spanTicks ? model.sentPerTick[tick - spanTicks] : 0);
            most = std::max(most, span);
        }
        result.worstSpan = most / allowed;
        const double wanted = model.spec.limit * std::min(1.0, model.spec.demandRatio) * ticks * tickSeconds;
        result.used = static_cast<double>(model.sent) / wanted;
        result.refused
            = static_cast<double>(model.refused) / static_cast<double>(std::max<std::uint64_t>(model.calls, 1));
        return result;
    }

    const char* nameOf(SharingRule rule)
    {
        switch (rule) {
        case SharingRule::EqualSplit:
            return "equal split";
        case SharingRule::DemandSplit:
            return "demand split";
        case SharingRule::FewOwners:
            return "three owners";
        case SharingRule::Permits:
            return "permits";
        }
        return "";
    }

    const char* nameOf(DemandShape shape)
    {
        switch (shape) {
        case DemandShape::Even:
            return "even";
        case DemandShape::Skewed:
            return "10 to 1";
        case DemandShape::Moving:
            return "moving";
        }
        return "";
    }

    void printRow(std::ostream& out, const SharedLimitSpec& spec, unsigned seeds)
    {
        SharedLimitResult mean;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            const SharedLimitResult result = playSharedLimit(spec, seed);
            mean.worstSpan = std::max(mean.worstSpan, result.worstSpan);
            mean.used += result.used / seeds;
            mean.refused += result.refused / seeds;
        }
        out << std::fixed << std::setprecision(2) << "| " << nameOf(spec.rule) << " | " << spec.gateways << " | "
            << spec.limit << " | " << spec.demandRatio << " | " << nameOf(spec.shape) << " | " << mean.worstSpan
            << " | " << mean.used << " | " << mean.refused << " |\n";
    }

}

SharedLimitResult playSharedLimit(const SharedLimitSpec& spec, std::uint64_t seed)
{
    Model model;
    model.spec = spec;
    model.random.seed(seed);
    model.gateways.resize(static_cast<std::size_t>(spec.gateways));
    model.sentPerTick.resize(ticks);
    std::uniform_real_distribution<double> phase(0, 1);
    for (Gateway& gateway : model.gateways)
        gateway.dueCalls = phase(model.random);
    for (int tick = 0; tick < ticks; ++tick) {
        addCalls(model, tick);
        reportDemand(model, tick);
        if (spec.rule == SharingRule::Permits)
            sendByPermits(model, tick);
        else
            sendByOwnRates(model, tick);
        refuseLateCalls(model, tick);
    }
    return resultOf(model);
}

void printSharedLimits(std::ostream& out, unsigned seeds)
{
    out << "| rule | gateways | limit /s | demand | callers | worst span | used | refused |\n";
    out << "|---|---|---|---|---|---|---|---|\n";
    for (const int gateways : { 5, 20, 60, 350 }) {
        for (const double limit : { 2.0, 6.5, 50.0, 200.0 }) {
            for (const DemandShape shape : { DemandShape::Even, DemandShape::Skewed, DemandShape::Moving }) {
                for (const SharingRule rule : { SharingRule::EqualSplit, SharingRule::DemandSplit,
                         SharingRule::FewOwners, SharingRule::Permits }) {
                    for (const double demand : { 0.8, 3.0 })
                        printRow(out, { rule, shape, gateways, limit, demand }, seeds);
                }
            }
        }
    }
}

}
