#include "programrun.h"

#include "../rattandeck-standin/modeltext.h"

#include "Rattandeck/digest.h"

namespace RattandeckLoad {

using namespace Rattandeck;

static std::string stringField(const Json& answer, const char* field)
{
    const auto found = answer.find(field);
    return found != answer.end() && found->is_string() ? found->get<std::string>() : std::string();
}

static std::int64_t integerField(const Json& answer, const char* field)
{
    const auto found = answer.find(field);
    return found != answer.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
}

ProgramRun::ProgramRun(RunContext& context, ProgramPlan plan, std::size_t number, std::string parent)
    : context(context)
    , plan(std::move(plan))
    , number(number)
    , parent(std::move(parent))
{
}

// Start and end --------------------------------------------------------------------------------------------------

void ProgramRun::start(std::function<void(const std::string& failure)> whenDone)
{
    this->done = std::move(whenDone);
    this->open();
}

void ProgramRun::open()
{
    ApiCall opening;
    opening.path = "/v1/programs";
    opening.entry = this->number;
    opening.body = { { "organisation", this->plan.organisation }, { "service", this->context.modelService },
        { "aim_ms", this->plan.latencyTarget.count() }, { "budget_tokens", this->plan.budgetTokens } };
    if (!this->parent.empty())
        opening.body["parent"] = this->parent;
    this->call(opening, [this](const Json& answer) {
        this->program = stringField(answer, "program");
        if (this->program.empty())
            this->fail("opening without a program id");
        else
            this->nextStep();
    });
}

void ProgramRun::nextStep()
{
    if (this->step == this->plan.steps.size()) {
        this->end();
        return;
    }
    const Step& next = this->plan.steps[this->step++];
    std::visit([this](const auto& typed) { this->run(typed); }, next);
}

void ProgramRun::end()
{
    ApiCall ending;
    ending.method = "DELETE";
    ending.path = "/v1/programs/" + this->program;
    ending.entry = this->number;
    this->context.api.call(ending, [self = this->shared_from_this()](const ApiOutcome& outcome) {
        const auto* problem = std::get_if<ApiProblem>(&outcome);
        // The answer to an earlier attempt may have been lost: then the program has ended already.
        const bool hasEnded = std::holds_alternative<Json>(outcome) || (problem && problem->name == "program-ended");
        if (hasEnded)
            self->done({});
        else
            self->done(problem ? "end: " + problem->name : "end: gave up");
    });
}

void ProgramRun::fail(const std::string& reason)
{
    // Ends the program so that it holds no memory any longer. The answer is ignored.
    if (!this->program.empty()) {
        ApiCall ending;
        ending.method = "DELETE";
        ending.path = "/v1/programs/" + this->program;
        ending.entry = this->number;
        this->context.api.call(ending, [](const ApiOutcome&) {});
    }
    this->done(reason);
}

void ProgramRun::addViolation(const std::string& what)
{
    this->context.results.violations.push_back(this->program + " turn " + std::to_string(this->turn) + ": " + what);
}

void ProgramRun::call(const ApiCall& call, std::function<void(const Json&)> answered)
{
    this->context.api.call(
        call, [self = this->shared_from_this(), answered = std::move(answered)](const ApiOutcome& outcome) {
            if (const auto* answer = std::get_if<Json>(&outcome)) {
                ++self->context.results.calls;
                answered(*answer);
                return;
            }
            const auto* problem = std::get_if<ApiProblem>(&outcome);
            if (problem && (problem->name == "history-lost" || problem->name == "history-mismatch"))
                self->addViolation(problem->name);
            self->fail(problem ? problem->name + (problem->ran == "no" ? "" : ", ran " + problem->ran) : "gave up");
        });
}

// Model calls ----------------------------------------------------------------------------------------------------

Json ProgramRun::callBody(const std::string& input) const
{
    Json body { { "input", input }, { "turn", this->turn } };
    if (!this->head.empty())
        body["head"] = this->head;
    return body;
}

void ProgramRun::run(const ModelTurn& turn)
{
    ++this->turn;
    ApiCall call;
    call.path = "/v1/programs/" + this->program + "/calls";
    call.entry = this->number;
    call.streamed = turn.streamed;
    call.body = this->callBody(turn.input);
    call.body["max_tokens"] = turn.maxTokens;
    call.body["expected_pause_ms"] = turn.pauseAfter.count();
    this->call(call, [this, &turn](const Json& answer) { this->onModelAnswer(turn, answer); });
}

void ProgramRun::onModelAnswer(const ModelTurn& turn, const Json& answer)
{
    const std::string prompt = this->modelHistory + turn.input;
    const std::string expected = RattandeckStandin::modelText(this->program, prompt, turn.maxTokens);
    this->checkProgramAnswer(answer, turn.input, expected);
    this->countPrefill(turn, answer);
    this->modelHistory = prompt + stringField(answer, "output");
    this->context.loop.timers().subscribeAfter(
        turn.pauseAfter, [self = this->shared_from_this()] { self->nextStep(); });
}

void ProgramRun::checkProgramAnswer(const Json& answer, const std::string& input, const std::string& expectedOutput)
{
    const std::string output = stringField(answer, "output");
    if (output != expectedOutput)
        this->addViolation("the output is not the answer to this prompt: \"" + output.substr(0, 40) + "\"");
    if (stringField(answer, "program") != this->program || integerField(answer, "turn") != this->turn)
        this->addViolation("the answer names another program or turn");
    const Digest expectedHead = chainDigest(Digest(this->head), TurnNumber(this->turn), input, output);
    this->head = stringField(answer, "head");
    if (this->head != expectedHead.value)
        this->addViolation("the head is not that of this history");
    this->charged += integerField(answer, "charged");
    if (integerField(answer, "budget_left") < 0)
        this->addViolation("the budget is exceeded");
    // A sub-agent is charged to the budget of its root program.
    if (this->parent.empty() && this->charged > this->plan.budgetTokens)
        this->addViolation("more was charged than the budget has");
}

void ProgramRun::countPrefill(const ModelTurn& turn, const Json& answer)
{
    const std::int64_t cached = std::max<std::int64_t>(integerField(answer, "cached_tokens"), 0);
    const std::int64_t prefilled = std::max<std::int64_t>(integerField(answer, "prefilled_tokens"), 0);
    // No endpoint can have the new input in its cache. Rounding may add one token for each text of the history.
    const std::int64_t fresh = estimateTokens(turn.input.size()) + static_cast<std::int64_t>(this->step);
    Results& results = this->context.results;
    results.cachedTokens += static_cast<std::uint64_t>(cached);
    results.prefilledTokens += static_cast<std::uint64_t>(prefilled);
    results.wastedTokens += static_cast<std::uint64_t>(std::max<std::int64_t>(prefilled - fresh, 0));
}

// Calls that must run once ---------------------------------------------------------------------------------------

void ProgramRun::run(const RecordCall& record)
{
    const std::string key = this->context.keyPrefix + "-" + this->program + "-" + std::to_string(this->step);
    this->context.results.records[key].body = record.body;
    ApiCall call;
    call.key = key;
    call.entry = this->number;
    if (record.withinProgram) {
        ++this->turn;
        call.path = "/v1/programs/" + this->program + "/calls";
        call.body = this->callBody(record.body);
        call.body["service"] = this->context.plainService;
        call.body["idempotent"] = false;
    } else {
        call.path = "/v1/calls";
        call.body = { { "organisation", this->plan.organisation }, { "service", this->context.plainService },
            { "input", record.body } };
    }
    this->context.api.call(call, [self = this->shared_from_this(), key, &record](const ApiOutcome& outcome) {
        self->onRecordOutcome(key, record, outcome);
    });
}

void ProgramRun::onRecordOutcome(const std::string& key, const RecordCall& record, const ApiOutcome& outcome)
{
    IssuedRecord& issued = this->context.results.records[key];
    const auto* problem = std::get_if<ApiProblem>(&outcome);
    if (problem && problem->ran == "no") {
        issued.reported = ReportedOutcome::NotRun;
        this->fail("record: " + problem->name);
        return;
    }
    const auto* answer = std::get_if<Json>(&outcome);
    if (!answer) {
        // The outcome can be determined only from the ledger of the service. The remaining steps don't depend on it.
        issued.reported = ReportedOutcome::Unknown;
        this->nextStep();
        return;
    }
    issued.reported = ReportedOutcome::Done;
    ++this->context.results.calls;
    const std::string expected = RattandeckStandin::serviceText(record.body);
    if (record.withinProgram)
        this->checkProgramAnswer(*answer, record.body, expected);
    else if (stringField(*answer, "output") != expected)
        this->addViolation("the output is not the answer to this record");
    this->nextStep();
}

// Sub-agents -----------------------------------------------------------------------------------------------------

void ProgramRun::run(const SubAgents& agents)
{
    struct Progress {
        std::size_t open = 0;
        std::string failure;
    };
    const auto progress = std::make_shared<Progress>(Progress { agents.programs.size(), {} });
    for (const ProgramPlan& agent : agents.programs) {
        const auto run = std::make_shared<ProgramRun>(this->context, agent, this->number, this->program);
        run->start([self = this->shared_from_this(), progress](const std::string& failure) {
            if (!failure.empty())
                progress->failure = "sub-agent: " + failure;
            if (--progress->open > 0)
                return;
            if (progress->failure.empty())
                self->nextStep();
            else
                self->fail(progress->failure);
        });
    }
}

}
