#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace RattandeckBench {

EngineModel plainServiceModel()
{
    EngineModel model;
    model.stepSeconds = 0.010;
    model.stepSecondsPerCall = 0.0002;
    model.maxCalls = 16;
    return model;
}

WorkloadShape vadodara()
{
    WorkloadShape shape;
    shape.name = "vadodara";
    shape.domains = { "makarpura", "por", "savli" };
    shape.modelService = "agent-llm";
    shape.runners = 14;
    shape.plainService = "jobcard-app";
    shape.plainInstances = 10;
    shape.organisations = 12;
    shape.meanTurns = 8;
    shape.firstPromptTokens = 2500;
    shape.inputTokens = 400;
    shape.outputTokens = 150;
    shape.pauseSeconds = 2.0;
    shape.plainShare = 0.4;
    shape.subAgentShare = 0.06;
    shape.missingPrefixWeight = 1.5;
    return shape;
}

WorkloadShape mizani()
{
    WorkloadShape shape;
    shape.name = "mizani";
    shape.domains = { "ke-central-a", "ke-central-b", "ke-central-c" };
    shape.modelService = "msaidizi-llm";
    shape.runners = 9;
    shape.plainService = "daftari-app";
    shape.plainInstances = 8;
    shape.organisations = 20;
    shape.meanTurns = 6;
    shape.firstPromptTokens = 5000;
    shape.inputTokens = 300;
    shape.outputTokens = 120;
    shape.pauseSeconds = 4.0;
    shape.plainShare = 0.3;
    shape.subAgentShare = 0.04;
    shape.missingPrefixWeight = 3;
    return shape;
}

namespace {

    // Standard deviations of the logarithms of sizes, pauses and numbers of turns.
    constexpr double sizeSigma = 0.7;
    constexpr double pauseSigma = 1.0;
    constexpr double turnsSigma = 0.5;
    constexpr double plainUnitsMean = 12;
    constexpr std::int64_t maxTokens = 12000;
    constexpr double maxTurns = 30;
    constexpr double maxPauseSeconds = 90;

    class Generator {
    public:
        Generator(const WorkloadShape& shapeOfRun, std::uint64_t seed)
            : shape(shapeOfRun)
            , random(seed)
            , organisation(organisationWeights(shapeOfRun.organisations))
        {
        }

        std::vector<ProgramPlan> make(double programsPerSecond, double seconds)
        {
            std::exponential_distribution<double> gap(programsPerSecond);
            for (double now = gap(this->random); now < seconds; now += gap(this->random)) {
                ProgramPlan plan;
                plan.organisation = static_cast<std::uint32_t>(this->organisation(this->random));
                plan.entry = static_cast<std::uint32_t>(this->random() % entryCount);
                plan.arrivalSeconds = now;
                this->addTurns(plan, this->shape.meanTurns, true);
                this->plans.push_back(std::move(plan));
            }
            return std::move(this->plans);
        }

    private:
        static std::discrete_distribution<int> organisationWeights(std::uint32_t count)
        {
            std::vector<double> weights;
            for (std::uint32_t rank = 1; rank <= count; ++rank)
                weights.push_back(1.0 / rank);
            return { weights.begin(), weights.end() };
        }

        double logNormal(double mean, double sigma)
        {
            std::lognormal_distribution<double> distribution(std::log(mean) - sigma * sigma / 2, sigma);
            return distribution(this->random);
        }

        std::int64_t tokens(double mean)
        {
            return std::clamp<std::int64_t>(std::llround(this->logNormal(mean, sizeSigma)), 8, maxTokens);
        }

        bool chance(double share) { return std::bernoulli_distribution(share)(this->random); }

        void addTurns(ProgramPlan& plan, double meanTurns, bool allowSubAgents)
        {
            const double count = std::clamp(this->logNormal(meanTurns, turnsSigma), 1.0, maxTurns);
            for (int i = 0; i < static_cast<int>(std::lround(count)); ++i) {
                Turn turn;
                turn.inputTokens = this->tokens(i == 0 ? this->shape.firstPromptTokens : this->shape.inputTokens);
                turn.outputTokens = this->tokens(this->shape.outputTokens);
                if (this->chance(this->shape.plainShare))
                    turn.plainUnits = this->tokens(plainUnitsMean);
                else
                    turn.pauseSeconds
                        = std::min(maxPauseSeconds, this->logNormal(this->shape.pauseSeconds, pauseSigma));
                if (allowSubAgents && this->chance(this->shape.subAgentShare))
                    this->addSubAgents(plan, turn);
                plan.turns.push_back(std::move(turn));
            }
            // The program ends after its last turn.
            plan.turns.back().pauseSeconds = 0;
            plan.turns.back().plainUnits = 0;
            plan.turns.back().subAgents.clear();
            this->measure(plan);
        }

        void addSubAgents(const ProgramPlan& parent, Turn& turn)
        {
            const auto count = 2 + this->random() % 2;
            for (std::uint64_t i = 0; i < count; ++i) {
                ProgramPlan child;
                child.organisation = parent.organisation;
                child.entry = parent.entry;
                child.isSubAgent = true;
                this->addTurns(child, this->shape.meanTurns / 2, false);
                turn.subAgents.push_back(static_cast<std::uint32_t>(this->plans.size()));
                this->plans.push_back(std::move(child));
            }
        }

        void measure(ProgramPlan& plan) const
        {
            const EngineModel engine;
            const EngineModel plain = plainServiceModel();
            const double perToken = engine.stepSeconds + engine.stepSecondsPerCall;
            const double perTokenFull = engine.stepSeconds / engine.maxCalls + engine.stepSecondsPerCall;
            for (const Turn& turn : plan.turns) {
                const double prefill = static_cast<double>(turn.inputTokens) / engine.prefillTokensPerSecond;
                double after = turn.pauseSeconds;
                after += static_cast<double>(turn.plainUnits) * (plain.stepSeconds + plain.stepSecondsPerCall);
                plan.workSeconds += prefill + static_cast<double>(turn.outputTokens) * perTokenFull;
                for (const std::uint32_t child : turn.subAgents) {
                    after = std::max(after, this->plans[child].boundSeconds);
                    plan.workSeconds += this->plans[child].workSeconds;
                }
                plan.boundSeconds += prefill + static_cast<double>(turn.outputTokens) * perToken + after;
            }
            plan.latencyTargetSeconds = targetOverBound * plan.boundSeconds;
        }

        const WorkloadShape& shape;
        std::mt19937_64 random;
        std::discrete_distribution<int> organisation;
        std::vector<ProgramPlan> plans;
    };

}

std::vector<ProgramPlan> makePrograms(
    const WorkloadShape& shape, double programsPerSecond, double seconds, std::uint64_t seed)
{
    return Generator(shape, seed).make(programsPerSecond, seconds);
}

}
