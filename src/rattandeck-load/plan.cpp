#include "plan.h"

#include <algorithm>
#include <random>

namespace RattandeckLoad {

constexpr std::int64_t bytesPerToken = 4;
/// Room in a budget for repeated attempts, which are charged, too.
constexpr std::int64_t budgetFactor = 4;
constexpr std::int64_t recordTokens = 500;

std::int64_t estimateTokens(std::size_t bytes)
{
    return (static_cast<std::int64_t>(bytes) + bytesPerToken - 1) / bytesPerToken;
}

namespace {

    struct Range {
        std::int64_t low = 0;
        std::int64_t high = 0;
    };

    /// What the programs of one workload are like.
    struct Shape {
        std::vector<std::string> organisations;
        std::vector<std::string> records;
        Milliseconds latencyTarget { 0 };
        Range turns;
        /// Tokens of the first input, which carries what the program works on, and of later ones.
        Range firstInput;
        Range laterInput;
        Range maxTokens;
        /// Milliseconds that a tool takes.
        Range pause;
        double recordShare = 0;
        double recordWithinShare = 0;
        double subAgentShare = 0;
    };

    /// Anodising works: short chains, consultations with sub-agents, slips and invoices.
    Shape vadodara()
    {
        Shape shape;
        shape.organisations = { "line-supervisors", "customer-desk", "dispatch" };
        shape.records = { "dispatch slip", "colour-lot release", "invoice" };
        shape.latencyTarget = Milliseconds(12000);
        shape.turns = { 3, 6 };
        shape.firstInput = { 400, 1500 };
        shape.laterInput = { 30, 300 };
        shape.maxTokens = { 20, 80 };
        shape.pause = { 10, 150 };
        shape.recordShare = 0.7;
        shape.recordWithinShare = 0.7;
        shape.subAgentShare = 0.25;
        return shape;
    }

    /// Savings groups: a month of entries to read, few turns, contributions to log.
    Shape mizani()
    {
        Shape shape;
        shape.organisations = { "chama-umoja", "church-group", "market-traders" };
        shape.records = { "contribution", "mobile money payment" };
        shape.latencyTarget = Milliseconds(15000);
        shape.turns = { 2, 4 };
        shape.firstInput = { 1500, 4000 };
        shape.laterInput = { 40, 200 };
        shape.maxTokens = { 30, 100 };
        shape.pause = { 20, 250 };
        shape.recordShare = 0.6;
        shape.recordWithinShare = 0.4;
        shape.subAgentShare = 0.1;
        return shape;
    }

    class Planner {
    public:
        Planner(Shape shape, std::uint64_t seed)
            : shape(std::move(shape))
            , random(seed)
        {
        }

        ProgramPlan program(const std::string& name, bool maySplit)
        {
            ProgramPlan plan;
            plan.organisation = this->pick(this->shape.organisations);
            plan.latencyTarget = this->shape.latencyTarget;
            std::int64_t history = 0;
            const std::int64_t turns = this->within(this->shape.turns);
            for (std::int64_t turn = 0; turn < turns; ++turn) {
                ModelTurn call = this->turn(name + " turn " + std::to_string(turn + 1), turn == 0);
                history += estimateTokens(call.input.size()) + call.maxTokens;
                plan.budgetTokens += budgetFactor * history;
                plan.steps.emplace_back(std::move(call));
                if (turn == 0 && maySplit && this->chance(this->shape.subAgentShare))
                    this->addSubAgents(plan, name);
            }
            if (maySplit && this->chance(this->shape.recordShare)) {
                const std::string body = this->pick(this->shape.records) + " of " + name;
                plan.budgetTokens += budgetFactor * recordTokens;
                plan.steps.emplace_back(RecordCall { body, this->chance(this->shape.recordWithinShare) });
            }
            return plan;
        }

        std::int64_t within(Range range)
        {
            const auto span = static_cast<std::uint64_t>(range.high - range.low + 1);
            return range.low + static_cast<std::int64_t>(this->random() % span);
        }

    private:
        ModelTurn turn(const std::string& name, bool first)
        {
            const std::int64_t tokens = this->within(first ? this->shape.firstInput : this->shape.laterInput);
            const auto size = static_cast<std::size_t>(tokens * bytesPerToken);
            ModelTurn call;
            call.input = "[" + name + "]";
            while (call.input.size() < size)
                call.input += " " + std::to_string(this->random() % 100000);
            call.input += "\n";
            call.maxTokens = this->within(this->shape.maxTokens);
            call.pauseAfter = Milliseconds(this->within(this->shape.pause));
            call.streamed = this->chance(0.5);
            return call;
        }

        void addSubAgents(ProgramPlan& plan, const std::string& name)
        {
            SubAgents agents;
            const std::int64_t count = this->within({ 1, 2 });
            for (std::int64_t i = 0; i < count; ++i) {
                agents.programs.push_back(this->program(name + " agent " + std::to_string(i + 1), false));
                agents.programs.back().organisation = plan.organisation;
                plan.budgetTokens += agents.programs.back().budgetTokens;
            }
            plan.steps.emplace_back(std::move(agents));
        }

        bool chance(double share) { return static_cast<double>(this->random() % 10000) < share * 10000; }

        const std::string& pick(const std::vector<std::string>& choices)
        {
            return choices[this->random() % choices.size()];
        }

        Shape shape;
        std::mt19937_64 random;
    };

}

std::optional<std::vector<Arrival>> planWorkload(const WorkloadOptions& options)
{
    if (options.workload != "vadodara" && options.workload != "mizani")
        return std::nullopt;
    Planner planner(options.workload == "vadodara" ? vadodara() : mizani(), options.seed);
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < options.programs; ++i) {
        const Milliseconds at(planner.within({ 0, options.duration.count() }));
        const std::string name = options.workload + "-" + std::to_string(options.seed) + "-" + std::to_string(i + 1);
        arrivals.push_back({ at, planner.program(name, true) });
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    return arrivals;
}

}
