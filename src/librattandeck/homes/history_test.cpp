#include "history.h"

#include "Rattandeck/digest.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

namespace {

const ProgramId program { ShardId(1), Epoch(1), 7 };
const NodeId entry("e1");
const NodeId endpoint("s1");

/// Builds a history. Each event follows one millisecond after the previous one, plus the time passed to `wait`.
struct HistoryBuilder {
    History history;
    std::uint64_t requests = 0;
    std::uint64_t runs = 0;

    void add(HistoryFact fact)
    {
        this->history.end += Milliseconds(1);
        this->history.events.push_back({ this->history.end, std::move(fact) });
    }
    void wait(Milliseconds time) { this->history.end += time; }

    RequestId send(CallKind kind, std::uint64_t call, const ProgramId& to = program, bool idempotent = true)
    {
        RequestSent sent { RequestId(++this->requests), CallId(call), entry, {} };
        sent.body.kind = kind;
        sent.body.program = to;
        sent.body.idempotent = idempotent;
        sent.body.input = call == 0 ? "" : callTag(CallId(call));
        sent.body.budget = TokenCount(100);
        sent.body.timeLeft = Milliseconds(10000);
        this->add(sent);
        return sent.request;
    }
    /// Records a completed run and returns its output.
    std::string run(std::uint64_t call, const std::string& history = "", bool idempotent = true)
    {
        const RunId id = this->start(call, history, idempotent);
        this->add(RunEnded { id, true, runTag(id), TokenCount(20) });
        return runTag(id);
    }
    RunId start(std::uint64_t call, const std::string& history = "", bool idempotent = true)
    {
        const RunId id(++this->runs);
        this->add(RunStarted {
            id, endpoint, CallId(call), program, idempotent, true, history + callTag(CallId(call)), TokenCount(20) });
        return id;
    }
    Digest answer(
        RequestId request, TurnNumber turn, std::uint64_t call, const Digest& before, const std::string& output)
    {
        AnswerDone done { program, turn, chainDigest(before, turn, callTag(CallId(call)), output), output };
        this->add(RequestEvent { request, done });
        return done.head;
    }
    void open()
    {
        const RequestId request = this->send(CallKind::OpenProgram, 0, ProgramId {});
        this->add(RequestEvent { request, AnswerDone { program } });
    }
    void end()
    {
        const RequestId request = this->send(CallKind::EndProgram, 0);
        this->add(RequestEvent { request, AnswerDone { program } });
    }
    void refuse(RequestId request, ProblemKind kind, Ran ran)
    {
        this->add(RequestEvent { request, Problem { kind, ran } });
    }
};

/// A history of two correctly answered turns.
HistoryBuilder twoTurns()
{
    HistoryBuilder builder;
    builder.open();
    const RequestId first = builder.send(CallKind::Call, 1);
    const std::string output = builder.run(1);
    const Digest head = builder.answer(first, TurnNumber(1), 1, {}, output);
    const RequestId second = builder.send(CallKind::Call, 2);
    builder.answer(second, TurnNumber(2), 2, head, builder.run(2, callTag(CallId(1)) + output));
    return builder;
}

using Check = PromiseCheck (*)(const History&, const HistoryLimits&);

void assertKept(Check check, const HistoryBuilder& builder)
{
    const PromiseCheck result = check(builder.history, {});
    CPPUNIT_ASSERT(result.checked > 0);
    CPPUNIT_ASSERT(result.violations.empty());
}

void assertViolation(Check check, const HistoryBuilder& builder, ViolationKind kind)
{
    const PromiseCheck result = check(builder.history, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.violations.size());
    CPPUNIT_ASSERT_EQUAL(std::string(toString(kind)), std::string(toString(result.violations.front().kind)));
}

}

class HistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HistoryTest);
    CPPUNIT_TEST(reportsReorderedAndOverlappingCalls);
    CPPUNIT_TEST(reportsForeignMissingAndForkedHistory);
    CPPUNIT_TEST(reportsForgottenHistoryUnlessTwoProcessesDied);
    CPPUNIT_TEST(reportsBudgetExceededBySubAgent);
    CPPUNIT_TEST(reportsPrefixHeldAfterProgramEnd);
    CPPUNIT_TEST(reportsForeignBrokenDuplicateAndMissingAnswers);
    CPPUNIT_TEST(reportsRunAfterNotRunAnswer);
    CPPUNIT_TEST(reportsSecondRunOfNonIdempotentCall);
    CPPUNIT_TEST(reportsWorkAcceptedAfterLeaving);
    CPPUNIT_TEST(reportsRequestsCutOrRejectedByStopAndEndlessStop);
    CPPUNIT_TEST(reportsLateAndRevertedConfiguration);
    CPPUNIT_TEST(emptyHistoryExercisesNothing);
    CPPUNIT_TEST_SUITE_END();

    void reportsReorderedAndOverlappingCalls()
    {
        assertKept(checkOrder, twoTurns());
        HistoryBuilder late = twoTurns();
        late.start(1);
        assertViolation(checkOrder, late, ViolationKind::StartedOutOfOrder);

        HistoryBuilder overlapping;
        const RequestId first = overlapping.send(CallKind::Call, 1);
        const RequestId second = overlapping.send(CallKind::Call, 2);
        const RunId one = overlapping.start(1);
        const std::string other = overlapping.run(2);
        overlapping.add(RunEnded { one, true, runTag(one), TokenCount(1) });
        overlapping.answer(first, TurnNumber(1), 1, {}, runTag(one));
        overlapping.answer(second, TurnNumber(2), 2, {}, other);
        assertViolation(checkOrder, overlapping, ViolationKind::Overlapped);
    }

    void reportsForeignMissingAndForkedHistory()
    {
        assertKept(checkOwnHistory, twoTurns());
        HistoryBuilder foreign = twoTurns();
        foreign.send(CallKind::Call, 8, ProgramId { ShardId(1), Epoch(1), 8 });
        foreign.send(CallKind::Call, 3);
        foreign.start(3, twoTurnsText() + callTag(CallId(8)));
        assertViolation(checkOwnHistory, foreign, ViolationKind::ForeignHistory);

        HistoryBuilder plain = twoTurns();
        plain.send(CallKind::Call, 3);
        RunStarted withTurns { RunId(99), endpoint, CallId(3), program };
        withTurns.withHistory = false;
        withTurns.prompt = callTag(CallId(1)) + callTag(CallId(3));
        plain.add(withTurns);
        assertViolation(checkOwnHistory, plain, ViolationKind::ForeignHistory);

        HistoryBuilder truncated = twoTurns();
        truncated.send(CallKind::Call, 3);
        truncated.start(3, callTag(CallId(1)) + runTag(RunId(1)));
        assertViolation(checkOwnHistory, truncated, ViolationKind::TurnMissing);

        HistoryBuilder forked = twoTurns();
        const RequestId third = forked.send(CallKind::Call, 3);
        forked.answer(third, TurnNumber(3), 3, Digest("another head"), forked.run(3, twoTurnsText()));
        assertViolation(checkOwnHistory, forked, ViolationKind::BrokenChain);

        HistoryBuilder replaced = twoTurns();
        const RequestId again = replaced.send(CallKind::Call, 2);
        replaced.answer(again, TurnNumber(2), 2, {}, runTag(RunId(9)));
        assertViolation(checkOwnHistory, replaced, ViolationKind::TwoAnswersForATurn);
    }

    static std::string twoTurnsText()
    {
        return callTag(CallId(1)) + runTag(RunId(1)) + callTag(CallId(2)) + runTag(RunId(2));
    }

    void reportsForgottenHistoryUnlessTwoProcessesDied()
    {
        HistoryBuilder forgotten = twoTurns();
        forgotten.add(ProcessDied { NodeId("e2") });
        forgotten.refuse(forgotten.send(CallKind::Call, 3), ProblemKind::UnknownProgram, Ran::No);
        assertViolation(checkOwnHistory, forgotten, ViolationKind::HistoryForgotten);

        HistoryBuilder doubled = twoTurns();
        doubled.add(ProcessDied { NodeId("e2") });
        doubled.add(ProcessDied { endpoint });
        doubled.refuse(doubled.send(CallKind::Call, 3), ProblemKind::HistoryLost, Ran::No);
        assertKept(checkOwnHistory, doubled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), checkOwnHistory(doubled.history, {}).excused);
    }

    void reportsBudgetExceededBySubAgent()
    {
        assertKept(checkBudget, twoTurns());
        HistoryBuilder over = twoTurns();
        const ProgramId child { ShardId(1), Epoch(1), 9 };
        const RequestId opening = over.send(CallKind::OpenProgram, 0, program);
        over.add(RequestEvent { opening, AnswerDone { child } });
        over.add(RunStarted { RunId(9), endpoint, CallId(3), child, true, true, "", TokenCount(21) });
        assertViolation(checkBudget, over, ViolationKind::BudgetExceeded);
    }

    void reportsPrefixHeldAfterProgramEnd()
    {
        HistoryBuilder freed = twoTurns();
        freed.add(PrefixHeld { endpoint, program });
        freed.end();
        freed.add(PrefixFreed { endpoint, program });
        freed.wait(Milliseconds(20000));
        assertKept(checkEngineMemory, freed);
        HistoryBuilder held = twoTurns();
        held.add(PrefixHeld { endpoint, program });
        held.end();
        held.wait(Milliseconds(20000));
        assertViolation(checkEngineMemory, held, ViolationKind::PrefixNotFreed);
    }

    void reportsForeignBrokenDuplicateAndMissingAnswers()
    {
        assertKept(checkOwnAnswer, twoTurns());
        HistoryBuilder foreign = twoTurns();
        const RequestId request = foreign.send(CallKind::Call, 3);
        foreign.answer(request, TurnNumber(3), 3, {}, runTag(RunId(1)));
        assertViolation(checkOwnAnswer, foreign, ViolationKind::ForeignAnswer);

        HistoryBuilder cut = twoTurns();
        const RequestId streamed = cut.send(CallKind::Call, 3);
        const std::string output = cut.run(3);
        cut.add(RequestEvent { streamed, AnswerTokens { output.substr(1) } });
        cut.answer(streamed, TurnNumber(3), 3, {}, output);
        assertViolation(checkOwnAnswer, cut, ViolationKind::BrokenStream);

        HistoryBuilder twice = twoTurns();
        twice.refuse(RequestId(2), ProblemKind::DeadlineExceeded, Ran::Unknown);
        assertViolation(checkOwnAnswer, twice, ViolationKind::AnsweredTwice);

        HistoryBuilder unanswered = twoTurns();
        unanswered.send(CallKind::Call, 3);
        unanswered.wait(Milliseconds(20000));
        assertViolation(checkOwnAnswer, unanswered, ViolationKind::NotAnswered);
    }

    void reportsRunAfterNotRunAnswer()
    {
        HistoryBuilder kept;
        kept.refuse(kept.send(CallKind::Call, 1), ProblemKind::Overloaded, Ran::No);
        kept.send(CallKind::Call, 1);
        kept.run(1);
        assertKept(checkNotRun, kept);
        HistoryBuilder broken;
        const RequestId request = broken.send(CallKind::Call, 1);
        broken.run(1);
        broken.refuse(request, ProblemKind::NotServing, Ran::No);
        assertViolation(checkNotRun, broken, ViolationKind::RanAfterAll);
        HistoryBuilder later;
        later.refuse(later.send(CallKind::Call, 1), ProblemKind::Overloaded, Ran::No);
        later.run(1);
        assertViolation(checkNotRun, later, ViolationKind::RanAfterAll);
    }

    void reportsSecondRunOfNonIdempotentCall()
    {
        HistoryBuilder once;
        once.run(1, "", false);
        once.run(2);
        once.run(2);
        assertKept(checkAtMostOnce, once);
        once.run(1, "", false);
        assertViolation(checkAtMostOnce, once, ViolationKind::RanTwice);
    }

    void reportsWorkAcceptedAfterLeaving()
    {
        HistoryBuilder builder;
        builder.add(LeavingListed { endpoint });
        builder.add(WorkAccepted { endpoint });
        builder.wait(Milliseconds(6000));
        builder.add(WorkAccepted { NodeId("s2") });
        assertKept(checkLeaving, builder);
        builder.add(WorkAccepted { endpoint });
        assertViolation(checkLeaving, builder, ViolationKind::WorkAfterLeaving);
    }

    void reportsRequestsCutOrRejectedByStopAndEndlessStop()
    {
        HistoryBuilder kept;
        const RequestId request = kept.send(CallKind::Call, 1);
        kept.add(RequestArrived { request });
        const RunId run = kept.start(1);
        kept.add(StopAsked { entry });
        kept.add(StopAsked { endpoint });
        kept.refuse(kept.send(CallKind::Call, 2), ProblemKind::ShuttingDown, Ran::No);
        HistoryBuilder rejected = kept;
        HistoryBuilder cut = kept;
        HistoryBuilder endless = kept;
        kept.add(RunEnded { run, true, runTag(run), TokenCount(1) });
        kept.answer(request, TurnNumber(1), 1, {}, runTag(run));
        kept.add(ProcessExited { endpoint });
        kept.add(ProcessExited { entry });
        assertKept(checkPlannedStop, kept);

        rejected.refuse(request, ProblemKind::ShuttingDown, Ran::No);
        assertViolation(checkPlannedStop, rejected, ViolationKind::RefusedByStop);
        cut.add(ProcessExited { endpoint });
        assertViolation(checkPlannedStop, cut, ViolationKind::CutByStop);
        endless.add(ProcessDied { endpoint });
        endless.wait(Milliseconds(100000));
        assertViolation(checkPlannedStop, endless, ViolationKind::StopNeverEnds);
    }

    void reportsLateAndRevertedConfiguration()
    {
        const ObjectKey key { "policy", "a" };
        HistoryBuilder builder;
        builder.add(ProcessStarted { entry });
        builder.add(ProcessStarted { endpoint });
        builder.add(ConfigAccepted { key, ObjectVersion(4) });
        builder.add(ConfigInForce { entry, key, ObjectVersion(4) });
        HistoryBuilder late = builder;
        builder.add(ConfigInForce { endpoint, key, ObjectVersion(4) });
        HistoryBuilder reverted = builder;
        builder.wait(Milliseconds(10000));
        assertKept(checkConfiguration, builder);
        reverted.add(ConfigInForce { endpoint, key, ObjectVersion(3) });
        assertViolation(checkConfiguration, reverted, ViolationKind::ConfigurationReverted);
        late.wait(Milliseconds(10000));
        // The check reports two violations: the time limit has passed, and the change is still missing at the end.
        const PromiseCheck result = checkConfiguration(late.history, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), result.violations.size());
        CPPUNIT_ASSERT(result.violations.front().kind == ViolationKind::ConfigurationLate);
    }

    void emptyHistoryExercisesNothing()
    {
        const std::vector<PromiseCheck> checks = checkPromises({}, {});
        CPPUNIT_ASSERT_EQUAL(promiseCount, checks.size());
        for (const PromiseCheck& check : checks)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), check.checked);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTest);
