#include "plan.h"

#include <algorithm>
#include <random>

namespace RattandeckLoad {

constexpr std::int64_t bytesPerToken = 4;
/// Factor of the budget over the expected tokens. Repeated attempts are charged, too.
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

    /// Parameters of the programs of one workload.
    struct WorkloadProfile {
        std::vector<std::string> organisations;
        std::vector<std::string> records;
        Milliseconds latencyTarget { 0 };
        Range turns;
        /// Tokens of the first input, which contains the data that the program works on, and of later inputs.
        Range firstInput;
        Range laterInput;
        Range maxTokens;
        /// Run time of a tool, in milliseconds.
        Range pause;
        double recordShare = 0;
        double recordWithinShare = 0;
        double subAgentShare = 0;
    };

    /// Workload of an anodising works: short programs that consult sub-agents and issue slips and invoices.
    WorkloadProfile vadodara()
    {
        WorkloadProfile profile;
        profile.organisations = { "line-supervisors", "customer-desk", "dispatch" };
        profile.records = { "dispatch slip", "colour-lot release", "invoice" };
        profile.latencyTarget = Milliseconds(12000);
        profile.turns = { 3, 6 };
        profile.firstInput = { 400, 1500 };
        profile.laterInput = { 30, 300 };
        profile.maxTokens = { 20, 80 };
        profile.pause = { 10, 150 };
        profile.recordShare = 0.7;
        profile.recordWithinShare = 0.7;
        profile.subAgentShare = 0.25;
        return profile;
    }

    /// Workload of savings groups: few turns with a long first input (the entries of a month), and contributions to
    /// record.
    WorkloadProfile mizani()
    {
        WorkloadProfile profile;
        profile.organisations = { "chama-umoja", "church-group", "market-traders" };
        profile.records = { "contribution", "mobile money payment" };
        profile.latencyTarget = Milliseconds(15000);
        profile.turns = { 2, 4 };
        profile.firstInput = { 1500, 4000 };
        profile.laterInput = { 40, 200 };
        profile.maxTokens = { 30, 100 };
        profile.pause = { 20, 250 };
        profile.recordShare = 0.6;
        profile.recordWithinShare = 0.4;
        profile.subAgentShare = 0.1;
        return profile;
    }

    class Planner {
    public:
        Planner(WorkloadProfile profile, std::uint64_t seed)
            : profile(std::move(profile))
            , random(seed)
        {
        }

        ProgramPlan program(const std::string& name, bool allowSubAgents)
        {
            ProgramPlan plan;
            plan.organisation = this->pick(this->profile.organisations);
            plan.latencyTarget = this->profile.latencyTarget;
            std::int64_t history = 0;
            const std::int64_t turns = this->sample(this->profile.turns);
            for (std::int64_t turn = 0; turn < turns; ++turn) {
                ModelTurn call = this->turn(name + " turn " + std::to_string(turn + 1), turn == 0);
                history += estimateTokens(call.input.size()) + call.maxTokens;
                plan.budgetTokens += budgetFactor * history;
                plan.steps.emplace_back(std::move(call));
                if (turn == 0 && allowSubAgents && this->chance(this->profile.subAgentShare))
                    this->addSubAgents(plan, name);
            }
            if (allowSubAgents && this->chance(this->profile.recordShare)) {
                const std::string body = this->pick(this->profile.records) + " of " + name;
                plan.budgetTokens += budgetFactor * recordTokens;
                plan.steps.emplace_back(RecordCall { body, this->chance(this->profile.recordWithinShare) });
            }
            return plan;
        }

        std::int64_t sample(Range range)
        {
            const auto span = static_cast<std::uint64_t>(range.high - range.low + 1);
            return range.low + static_cast<std::int64_t>(this->random() % span);
        }

    private:
        ModelTurn turn(const std::string& name, bool first)
        {
            const std::int64_t tokens = this->sample(first ? this->profile.firstInput : this->profile.laterInput);
            const auto size = static_cast<std::size_t>(tokens * bytesPerToken);
            ModelTurn call;
            call.input = "[" + name + "]";
            while (call.input.size() < size)
                call.input += " " + std::to_string(this->random() % 100000);
            call.input += "\n";
            call.maxTokens = this->sample(this->profile.maxTokens);
            call.pauseAfter = Milliseconds(this->sample(this->profile.pause));
            call.streamed = this->chance(0.5);
            return call;
        }

        void addSubAgents(ProgramPlan& plan, const std::string& name)
        {
            SubAgents agents;
            const std::int64_t count = this->sample({ 1, 2 });
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

        WorkloadProfile profile;
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
        const Milliseconds at(planner.sample({ 0, options.duration.count() }));
        const std::string name = options.workload + "-" + std::to_string(options.seed) + "-" + std::to_string(i + 1);
        arrivals.push_back({ at, planner.program(name, true) });
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    return arrivals;
}

}
