#pragma once

#include "callerapi.h"
#include "plan.h"
#include "results.h"

#include "Rattandeck/types.h"

#include <functional>
#include <memory>
#include <string>

namespace RattandeckLoad {

/// State and settings that all programs of one run share.
struct RunContext {
    RattandeckNet::EventLoop& loop;
    CallerApi& api;
    Results& results;
    std::string modelService;
    std::string plainService;
    /// Prefix of the idempotency keys. It makes the keys of runs with the same seed distinct.
    std::string keyPrefix;
};

/// Runs one program step by step. Checks that each answer is complete, belongs to this program and turn, is based on
/// the right history and stays within the budget.
///
/// Thread safety: use from the loop's thread. Precondition: the context outlives this object.
class ProgramRun : public std::enable_shared_from_this<ProgramRun> {
public:
    /// `number` selects the entry that is tried first, which distributes programs over the entries. `parent` is the
    /// program of which this one is a sub-agent, or empty.
    ProgramRun(RunContext& context, ProgramPlan plan, std::size_t number, std::string parent);

    /// Calls `done` once when the program ends. `failure` is empty when the program finished, else the reason.
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
    void addViolation(const std::string& what);

    RunContext& context;
    ProgramPlan plan;
    std::size_t number;
    std::string parent;
    std::function<void(const std::string&)> done;

    std::string program;
    std::size_t step = 0;
    std::uint32_t turn = 0;
    std::string head;
    /// Concatenated inputs and outputs of the model calls so far.
    std::string modelHistory;
    std::int64_t charged = 0;
};

}
