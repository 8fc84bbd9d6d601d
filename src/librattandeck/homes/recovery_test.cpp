#include "recovery.h"

#include "Rattandeck/config.h"
#include "Rattandeck/digest.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

namespace {

const ProgramId program { ShardId(1), Epoch(2), 3 };

TurnRecord finished(std::uint32_t turn, const Digest& headBefore, const std::string& output, std::uint32_t attempt = 1)
{
    TurnRecord record;
    record.program = program;
    record.turn = TurnNumber(turn);
    record.attempt = attempt;
    record.state = RecordState::Finished;
    record.input = "in";
    record.output = output;
    record.charged = TokenCount(10);
    record.headBefore = headBefore;
    record.headAfter = chainDigest(headBefore, record.turn, record.input, output);
    return record;
}

TurnRecord started(std::uint32_t turn, const Digest& headBefore, bool idempotent)
{
    TurnRecord record = finished(turn, headBefore, "");
    record.state = RecordState::Started;
    record.headAfter = Digest();
    record.idempotent = idempotent;
    record.charged = TokenCount(50);
    return record;
}

ReceivedAnswer answerOf(std::uint32_t process, std::vector<TurnRecord> records)
{
    ReceivedAnswer answer;
    answer.process = ProcessIndex(process);
    answer.node = NodeId("s" + std::to_string(process));
    ProgramHeader header;
    header.id = program;
    header.root = program;
    answer.answer.programs.push_back(header);
    answer.answer.records = std::move(records);
    return answer;
}

HomeProgram merged(const std::vector<ReceivedAnswer>& answers, bool complete = true)
{
    return std::move(mergeAnswers(answers, complete).programs.at(program).program);
}

}

class RecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(chainIsMergedFromSeveralMembers);
    CPPUNIT_TEST(missingTurnMarksTheProgramDamaged);
    CPPUNIT_TEST(recordWithInvalidDigestIsIgnored);
    CPPUNIT_TEST(finishedRecordTakesPrecedenceOverStarted);
    CPPUNIT_TEST(nextTurnDecidesBetweenTwoFinishedRecords);
    CPPUNIT_TEST(startedCallThatNoMemberRunsBecomesUnknown);
    CPPUNIT_TEST(startedIdempotentCallCanRunAgainAfterCompleteRecovery);
    CPPUNIT_TEST(runningCallIsAdopted);
    CPPUNIT_TEST(lateRecordIsKeptOutOfTheChain);
    CPPUNIT_TEST(deletionsFoundByAListLeaveTombstones);
    CPPUNIT_TEST_SUITE_END();

    void chainIsMergedFromSeveralMembers()
    {
        const TurnRecord first = finished(1, Digest(), "a");
        const TurnRecord second = finished(2, first.headAfter, "b");
        const HomeProgram mergedProgram = merged({ answerOf(1, { second }), answerOf(2, { first, second }) });
        CPPUNIT_ASSERT(!mergedProgram.isDamaged);
        CPPUNIT_ASSERT(mergedProgram.head == second.headAfter);
        CPPUNIT_ASSERT_EQUAL(2U, mergedProgram.lastTurn.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), mergedProgram.records.at(TurnNumber(2)).holders.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), chargedTokens(mergedProgram).value);
    }

    void missingTurnMarksTheProgramDamaged()
    {
        const TurnRecord first = finished(1, Digest(), "a");
        const TurnRecord second = finished(2, first.headAfter, "b");
        const TurnRecord third = finished(3, second.headAfter, "c");
        CPPUNIT_ASSERT(merged({ answerOf(1, { first, third }) }).isDamaged);
        CPPUNIT_ASSERT(merged({ answerOf(1, { second }) }).isDamaged);
    }

    void recordWithInvalidDigestIsIgnored()
    {
        TurnRecord record = finished(1, Digest(), "a");
        record.output = "another";
        CPPUNIT_ASSERT(merged({ answerOf(1, { record }) }).records.empty());
    }

    void finishedRecordTakesPrecedenceOverStarted()
    {
        const HomeProgram mergedProgram
            = merged({ answerOf(1, { started(1, Digest(), true) }), answerOf(2, { finished(1, Digest(), "a", 2) }) });
        CPPUNIT_ASSERT(mergedProgram.records.at(TurnNumber(1)).record.state == RecordState::Finished);
        // The other attempt may also have run, so that it is charged as well.
        CPPUNIT_ASSERT_EQUAL(std::int64_t(60), chargedTokens(mergedProgram).value);
    }

    void nextTurnDecidesBetweenTwoFinishedRecords()
    {
        const TurnRecord delivered = finished(1, Digest(), "told", 1);
        const TurnRecord other = finished(1, Digest(), "other", 2);
        const TurnRecord next = finished(2, delivered.headAfter, "b");
        const HomeProgram mergedProgram = merged({ answerOf(1, { other }), answerOf(2, { delivered, next }) });
        CPPUNIT_ASSERT(!mergedProgram.isDamaged);
        CPPUNIT_ASSERT_EQUAL(std::string("told"), mergedProgram.records.at(TurnNumber(1)).record.output);
    }

    void startedCallThatNoMemberRunsBecomesUnknown()
    {
        const HomeProgram mergedProgram = merged({ answerOf(1, { started(1, Digest(), false) }) });
        CPPUNIT_ASSERT(mergedProgram.records.at(TurnNumber(1)).record.state == RecordState::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(50), chargedTokens(mergedProgram).value);
    }

    void startedIdempotentCallCanRunAgainAfterCompleteRecovery()
    {
        const std::vector<ReceivedAnswer> answers { answerOf(1, { started(1, Digest(), true) }) };
        CPPUNIT_ASSERT_EQUAL(0U, merged(answers).lastTurn.value);
        CPPUNIT_ASSERT_EQUAL(1U, merged(answers, false).lastTurn.value);
    }

    void runningCallIsAdopted()
    {
        const TurnRecord first = finished(1, Digest(), "a");
        const TurnRecord open = started(2, first.headAfter, false);
        ReceivedAnswer answer = answerOf(1, { first, open });
        answer.answer.running.push_back({ OrderId(9), open });
        const MergedShard shard = mergeAnswers({ answer }, true);
        const MergedProgram& found = shard.programs.at(program);
        CPPUNIT_ASSERT(found.running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), found.running->order.value);
        CPPUNIT_ASSERT_EQUAL(1U, found.program.lastTurn.value);
    }

    void lateRecordIsKeptOutOfTheChain()
    {
        const TurnRecord late = finished(1, Digest(), "late");
        const TurnRecord next = finished(2, Digest(), "b");
        const HomeProgram mergedProgram = merged({ answerOf(1, { late, next }) });
        CPPUNIT_ASSERT(!mergedProgram.isDamaged);
        CPPUNIT_ASSERT(!mergedProgram.records.at(TurnNumber(1)).isOnChain);
        CPPUNIT_ASSERT(mergedProgram.head == next.headAfter);
        CPPUNIT_ASSERT_EQUAL(std::string("inb"), historyText(mergedProgram, ServiceName()));
    }

    void deletionsFoundByAListLeaveTombstones()
    {
        ConfigReplica replica;
        replica.applyList("policy", { { { "policy", "p" }, ObjectVersion(3), false, "{}" } }, ObjectVersion(5));
        CPPUNIT_ASSERT(replica.find({ "policy", "p" }));
        replica.applyList("policy", {}, ObjectVersion(9));
        CPPUNIT_ASSERT(!replica.find({ "policy", "p" }));
        CPPUNIT_ASSERT(!replica.apply({ "policy", "p", ObjectVersion(3), false, "{}" }));
        CPPUNIT_ASSERT(replica.apply({ "policy", "p", ObjectVersion(10), false, "{}" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), replica.all().objects.size());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
