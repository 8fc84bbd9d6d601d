#include "engine.h"
#include "trial.h"

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    /// Saturates one engine: runs programs without pauses, and always more of them than fit into a batch.
    class Saturation {
    public:
        Saturation(const WorkloadShape& shape, std::uint64_t seed)
            : plans(makePrograms(shape, 10, 400, seed))
            , turns(plans.size())
            , histories(plans.size())
            , engine(
                  model, timers, [](const IdlePrefix& prefix, double /*now*/) { return prefix.idleSince; },
                  [this](const EngineFinish& finish) { this->onFinished(finish); })
        {
            // Models a warm cache: a prefix is imported in no time and takes no memory while its program waits.
            this->model.importTokensPerSecond = 1e15;
        }

        double programsPerSecond()
        {
            constexpr double seconds = 300;
            constexpr std::size_t concurrentPrograms = 64;
            while (this->waiting.size() < concurrentPrograms)
                this->add();
            this->fill();
            this->timers.advanceTo(TimePoint(fromSeconds(seconds)));
            return this->rootShare() * static_cast<double>(this->finished) / seconds;
        }

    private:
        void add()
        {
            this->waiting.push_back(this->next);
            this->next = (this->next + 1) % this->plans.size();
        }

        // Sub-agents run as separate programs in this measurement, while the offered load counts root programs only.
        double rootShare() const
        {
            double roots = 0;
            for (const ProgramPlan& plan : this->plans)
                roots += plan.isSubAgent ? 0 : 1;
            return roots / static_cast<double>(this->plans.size());
        }

        void fill()
        {
            while (!this->waiting.empty()) {
                const std::size_t index = this->waiting.front();
                const Turn& turn = this->plans[index].turns[this->turns[index]];
                const std::int64_t prompt = this->histories[index] + turn.inputTokens;
                if (!this->engine.start({ index, static_cast<std::uint32_t>(index), prompt, turn.outputTokens }))
                    return;
                this->waiting.erase(this->waiting.begin());
            }
        }

        void onFinished(const EngineFinish& finish)
        {
            const std::size_t index = finish.id;
            const ProgramPlan& plan = this->plans[index];
            const Turn& turn = plan.turns[this->turns[index]];
            this->histories[index] += turn.inputTokens + turn.outputTokens;
            this->engine.exportPrefix(static_cast<std::uint32_t>(index));
            if (++this->turns[index] < plan.turns.size()) {
                this->waiting.push_back(index);
            } else {
                this->engine.drop(static_cast<std::uint32_t>(index));
                this->turns[index] = 0;
                this->histories[index] = 0;
                ++this->finished;
                this->add();
            }
            this->fill();
        }

        TimerService timers;
        EngineModel model;
        std::vector<ProgramPlan> plans;
        std::vector<std::size_t> turns;
        std::vector<std::int64_t> histories;
        Engine engine;
        std::vector<std::size_t> waiting;
        std::size_t next = 0;
        std::uint64_t finished = 0;
    };

}

double measureCapacity(const WorkloadShape& shape, std::uint64_t seed)
{
    return shape.runners * Saturation(shape, seed).programsPerSecond();
}

}
