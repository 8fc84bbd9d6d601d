#pragma once

#include "Rattandeck/endpoints.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Instances and gateways without a network, to play loads against ways of placement. Time advances in fixed steps.
namespace PlacementWorld {

constexpr Rattandeck::Milliseconds step { 2 };
constexpr double stepMs = 2;
constexpr std::uint32_t slots = 16;
/// Prompt tokens that an engine of usual speed reads in a millisecond.
constexpr double readTokensPerMs = 205;
/// Each other call in the batch lengthens the work by this share.
constexpr double batchShare = 0.02;
constexpr double eventMs = 25;

/// What an instance does at a moment.
struct Behaviour {
    double slowness = 1;
    bool failsAll = false;
    bool hangs = false;
    /// Added to the running calls in its reports; negative to report fewer.
    int misreported = 0;
    bool statesPace = false;
};

struct SimulatedCall {
    std::size_t gateway = 0;
    Rattandeck::PlacementQuery query;
    double workMs = 0;
    Rattandeck::TimePoint arrived;
    Rattandeck::TimePoint sent;
    Rattandeck::TimePoint started;
    double readMs = 0;
    double leftMs = 0;
    double loadAtSend = 0;
    Rattandeck::TimePoint observedFrom;
    double observedLeftMs = 0;
    int attempts = 1;
};

/// A way to place calls at one gateway.
class Policy {
public:
    virtual ~Policy() = default;
    virtual int choose(const Rattandeck::PlacementQuery& query, Rattandeck::TimePoint now) = 0;
    virtual double loadOf(int instance, Rattandeck::TimePoint now) = 0;
    virtual void onSent(int instance, const Rattandeck::PlacementQuery& query) = 0;
    virtual void onEnded(int instance) = 0;
    virtual void onLoad(int instance, const Rattandeck::EndpointLoad& load, Rattandeck::TimePoint now) = 0;
    virtual void onEvents(int instance, double millisecondsPerEvent, double load, Rattandeck::TimePoint now) = 0;
    virtual void onOutcome(int instance, bool isFailure, Rattandeck::TimePoint now) = 0;
    virtual void onFailure(int instance, Rattandeck::TimePoint now) = 0;
};

using MakePolicy = std::function<std::unique_ptr<Policy>(int instances, std::uint64_t seed)>;
using Behave = std::function<Behaviour(int instance, double seconds, std::mt19937& random)>;

struct Load {
    std::string name;
    Behave behave;
    int instances = 42;
    int gateways = 12;
    double callsPerSecond = 800;
    double seconds = 20;
    /// Calls that arrive before this aren't counted: nothing is known yet.
    double countedFrom = 4;
};

struct Result {
    int calls = 0;
    /// Answered within 1.4 times the time on an idle engine of usual speed.
    int inTime = 0;
    int failed = 0;
    double share() const { return this->calls == 0 ? 0 : double(this->inTime) / this->calls; }
};

class World {
public:
    World(const Load& load, const MakePolicy& make, unsigned seed)
        : load(load)
        , random(seed)
        , running(static_cast<std::size_t>(load.instances))
        , waiting(static_cast<std::size_t>(load.instances))
        , behaviours(static_cast<std::size_t>(load.instances))
    {
        for (int i = 0; i < load.gateways; ++i)
            this->policies.push_back(make(load.instances, seed * 1000 + static_cast<unsigned>(i) + 1));
    }

    Result run()
    {
        std::poisson_distribution<int> arrivals(this->load.callsPerSecond * stepMs / 1000);
        while (this->seconds() < this->load.seconds) {
            for (int i = 0; i < this->load.instances; ++i)
                this->behaviours[std::size_t(i)] = this->load.behave(i, this->seconds(), this->random);
            for (int count = arrivals(this->random); count > 0; --count)
                this->arrive();
            for (int i = 0; i < this->load.instances; ++i)
                this->work(i);
            this->now += step;
        }
        return this->result;
    }

private:
    static constexpr double objective = 1.4;
    static constexpr Rattandeck::Milliseconds stallTime { 700 };

    Load load;
    std::mt19937 random;
    Rattandeck::TimePoint now {};
    std::vector<std::unique_ptr<Policy>> policies;
    std::vector<std::vector<SimulatedCall>> running;
    std::vector<std::deque<SimulatedCall>> waiting;
    std::vector<Behaviour> behaviours;
    std::map<std::pair<int, std::string>, bool> cached;
    std::uint64_t programs = 0;
    Result result;

    double seconds() const { return std::chrono::duration<double>(this->now.time_since_epoch()).count(); }

    /// A turn of a program of which earlier turns ran at any instance.
    void arrive()
    {
        constexpr std::int64_t sharedTokens = 8000;
        constexpr std::int64_t turnTokens = 800;
        constexpr double medianWorkMs = 300;
        constexpr double spread = 0.5;
        SimulatedCall call;
        call.gateway = std::uniform_int_distribution<std::size_t>(0, this->policies.size() - 1)(this->random);
        call.workMs = medianWorkMs * std::exp(std::normal_distribution<double>(0, spread)(this->random));
        call.arrived = this->now;
        call.query.service = Rattandeck::ServiceName("engine");
        call.query.domain = Rattandeck::FailureDomain("here");
        // A fifth of the calls are first turns.
        std::bernoulli_distribution isFirst(0.2);
        const std::uint64_t program = isFirst(this->random) || this->programs < 50
            ? ++this->programs
            : this->programs - std::uniform_int_distribution<std::uint64_t>(0, 40)(this->random);
        call.query.prefixKey = "p" + std::to_string(program);
        call.query.prompt = { { Rattandeck::PromptPartId("shared"), Rattandeck::TokenCount(sharedTokens) },
            { Rattandeck::PromptPartId(call.query.prefixKey), Rattandeck::TokenCount(turnTokens) } };
        call.query.workMs = call.workMs;
        this->place(std::move(call));
    }

    void place(SimulatedCall call)
    {
        Policy& policy = *this->policies[call.gateway];
        const int at = policy.choose(call.query, this->now);
        call.loadAtSend = policy.loadOf(at, this->now);
        policy.onSent(at, call.query);
        call.sent = this->now;
        call.readMs = 0;
        for (const Rattandeck::PromptPart& part : call.query.prompt) {
            bool& isCached = this->cached[{ at, part.id.value }];
            if (!isCached)
                call.readMs += static_cast<double>(part.tokens.value) / readTokensPerMs;
            isCached = true;
        }
        call.leftMs = call.workMs;
        this->waiting[std::size_t(at)].push_back(std::move(call));
    }

    Rattandeck::EndpointLoad reportOf(int instance) const
    {
        const Behaviour& behaviour = this->behaviours[std::size_t(instance)];
        Rattandeck::EndpointLoad report;
        const int calls = int(this->running[std::size_t(instance)].size()) + behaviour.misreported;
        report.running = std::uint32_t(std::max(calls, 0));
        report.waiting = behaviour.misreported < 0 ? 0 : std::uint32_t(this->waiting[std::size_t(instance)].size());
        report.slots = slots;
        if (behaviour.statesPace)
            report.pace = Rattandeck::WorkTimePercent(100 * behaviour.slowness);
        return report;
    }

    void start(int instance)
    {
        auto& queue = this->waiting[std::size_t(instance)];
        auto& batch = this->running[std::size_t(instance)];
        while (!queue.empty() && batch.size() < slots) {
            batch.push_back(std::move(queue.front()));
            queue.pop_front();
            batch.back().started = this->now;
            // Load is reported with the head of the answer.
            this->policies[batch.back().gateway]->onLoad(instance, this->reportOf(instance), this->now);
        }
    }

    void work(int instance)
    {
        const Behaviour& behaviour = this->behaviours[std::size_t(instance)];
        auto& batch = this->running[std::size_t(instance)];
        if (!behaviour.hangs)
            this->start(instance);
        const double lengthening = 1 + batchShare * (double(batch.size()) - 1);
        const double done = behaviour.hangs ? 0 : stepMs / behaviour.slowness / lengthening;
        std::vector<SimulatedCall> ended;
        std::vector<SimulatedCall> kept;
        for (SimulatedCall& call : batch) {
            if (call.readMs > 0) {
                call.readMs -= done;
                call.observedFrom = this->now;
                call.observedLeftMs = call.leftMs;
            } else {
                call.leftMs -= done;
                this->observe(instance, call);
            }
            const bool hasEnded = behaviour.failsAll || call.leftMs <= 0;
            (hasEnded ? ended : kept).push_back(std::move(call));
        }
        batch = std::move(kept);
        for (SimulatedCall& call : ended)
            this->end(instance, call, behaviour.failsAll);
        if (behaviour.hangs) {
            this->giveUpStalled(instance, batch);
            this->giveUpStalled(instance, this->waiting[std::size_t(instance)]);
        }
    }

    /// The time between events is observed as gateways do it.
    void observe(int instance, SimulatedCall& call)
    {
        constexpr Rattandeck::Milliseconds minObservedTime { 150 };
        const double events = std::floor((call.observedLeftMs - call.leftMs) / eventMs);
        const Rattandeck::Duration time = this->now - call.observedFrom;
        if (events < 4 || time < minObservedTime)
            return;
        this->policies[call.gateway]->onEvents(instance, milliseconds(time) / events, call.loadAtSend, this->now);
        call.observedFrom = this->now;
        call.observedLeftMs = call.leftMs;
    }

    void end(int instance, const SimulatedCall& call, bool isFailure)
    {
        Policy& policy = *this->policies[call.gateway];
        policy.onLoad(instance, this->reportOf(instance), this->now);
        policy.onEnded(instance);
        policy.onOutcome(instance, isFailure, this->now);
        this->count(call, isFailure);
    }

    template <typename Calls> void giveUpStalled(int instance, Calls& calls)
    {
        Calls kept;
        std::vector<SimulatedCall> moved;
        for (SimulatedCall& call : calls) {
            if (this->now - call.sent >= stallTime)
                moved.push_back(std::move(call));
            else
                kept.push_back(std::move(call));
        }
        calls = std::move(kept);
        for (SimulatedCall& call : moved) {
            Policy& policy = *this->policies[call.gateway];
            policy.onEnded(instance);
            policy.onFailure(instance, this->now);
            policy.onOutcome(instance, true, this->now);
            if (++call.attempts > 2) {
                this->count(call, true);
                continue;
            }
            call.query.excluded.insert(Rattandeck::EndpointId("i" + std::to_string(instance)));
            this->place(std::move(call));
        }
    }

    void count(const SimulatedCall& call, bool isFailure)
    {
        if (std::chrono::duration<double>(call.arrived.time_since_epoch()).count() < this->load.countedFrom)
            return;
        ++this->result.calls;
        this->result.failed += isFailure ? 1 : 0;
        // Time to read what is new in the prompt at an engine of usual speed.
        const double idleMs = call.workMs + double(call.query.prompt.back().tokens.value) / readTokensPerMs;
        this->result.inTime += !isFailure && milliseconds(this->now - call.arrived) <= objective * idleMs ? 1 : 0;
    }

    static double milliseconds(Rattandeck::Duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }
};

}
