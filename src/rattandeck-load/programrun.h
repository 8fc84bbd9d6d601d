#pragma once

#include "callerapi.h"
#include "plan.h"
#include "results.h"

#include "Rattandeck/types.h"

#include <functional>
#include <memory>
#include <string>

namespace RattandeckLoad {

/// What the programs of one run share.
struct RunContext {
    RattandeckNet::EventLoop& loop;
    CallerApi& api;
    Results& results;
    std::string modelService;
    std::string plainService;
    /// Sets the keys of this run apart from those of others with the same seed.
    std::string keyPrefix;
};

/// Runs one program step by step and checks each answer: that it is whole, the caller's own, on the right history and
/// within the budget.
///
/// Thread safety: use from the loop's thread. Precondition: the context outlives this object.
class ProgramRun : public std::enable_shared_from_this<ProgramRun> {
public:
    /// `number` spreads programs over the entries. `parent` is empty unless this is a sub-agent.
    ProgramRun(RunContext& context, ProgramPlan plan, std::size_t number, std::string parent);

    /// Calls `done` once, with the reason if the program did not finish.
    void start(std::function<void(const std::string& failure)> done);

private:
    void open();
    void nextStep();
    void run(const ModelTurn& turn);
    void run(const RecordCall& record);
    void run(const SubAgents& agents);
    void call(const ApiCall& call, std::function<void(const Json&)> answered);
    void onModelAnswer(const ModelTurn& turn, const Json& answer);
    void onRecordOutcome(const std::string& key, const RecordCall& record, const ApiOutcome& outcome);
    void checkProgramAnswer(const Json& answer, const std::string& input, const std::string& expectedOutput);
    void countPrefill(const ModelTurn& turn, const Json& answer);
    Json callBody(const std::string& input) const;
    void end();
    void fail(const std::string& reason);
    void violation(const std::string& what);

    RunContext& context;
    ProgramPlan plan;
    std::size_t number;
    std::string parent;
    std::function<void(const std::string&)> done;

    std::string program;
    std::size_t step = 0;
    std::uint32_t turn = 0;
    std::string head;
    /// What the model has been told and has answered so far.
    std::string modelHistory;
    std::int64_t charged = 0;
};

}
