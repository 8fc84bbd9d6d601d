#include "lease.h"

#include "members.h"
#include "shardmap.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

namespace {

TimePoint at(int milliseconds) { return TimePoint(Milliseconds(1000000 + milliseconds)); }

const NodeId holder { "h" };
constexpr Milliseconds promiseLifetime { 3000 };

}

class LeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(leaseRoundTrips);
    CPPUNIT_TEST(malformedObjectsAreRejected);
    CPPUNIT_TEST(leaseOfHolderRunsFromTheBeginOfTheWrite);
    CPPUNIT_TEST(majorityOfPromisesKeepsTheLease);
    CPPUNIT_TEST(bothGrantorSetsMustPromiseWhileAWriteIsUnconfirmed);
    CPPUNIT_TEST(promiseOfALaterIncarnationDoesNotCount);
    CPPUNIT_TEST(observerMeasuresTheLeaseFromItsFirstRead);
    CPPUNIT_TEST(activePromiseBlocksEveryRelease);
    CPPUNIT_TEST(releaseAppliesToOlderVersions);
    CPPUNIT_TEST(restartedGrantorReleasesNothingUntilOldPromisesEnd);
    CPPUNIT_TEST(membersThatEndedAfterCompleteThroughAreLost);
    CPPUNIT_TEST(shardMapRoundTrips);
    CPPUNIT_TEST(successorRanksOfAShardAreDistinct);
    CPPUNIT_TEST_SUITE_END();

    void leaseRoundTrips()
    {
        LeaseObject lease;
        lease.entry = holder;
        lease.incarnation = Incarnation(7);
        lease.duration = Milliseconds(6000);
        lease.grantors = { NodeId("a"), NodeId("b") };
        lease.completeThrough = ObjectVersion(12);
        lease.revoked = true;
        const auto parsed = parseLease(formatLease(lease));
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT(parsed->grantors == lease.grantors);
        CPPUNIT_ASSERT(parsed->revoked && !parsed->released);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), parsed->completeThrough.value);
    }

    void malformedObjectsAreRejected()
    {
        CPPUNIT_ASSERT(!parseLease("no json"));
        CPPUNIT_ASSERT(!parseLease("{}"));
        CPPUNIT_ASSERT(!parseLease(R"({"entry":1,"incarnation":"x","durationMs":5})"));
        CPPUNIT_ASSERT(!parseMember("[]", ObjectVersion(1)));
        CPPUNIT_ASSERT(!parseShardMap(R"({"shards":[{"home":3}]})", ObjectVersion(1)));
    }

    void leaseOfHolderRunsFromTheBeginOfTheWrite()
    {
        HeldLease lease;
        lease.onWritten(ObjectVersion(1), at(0), Milliseconds(6000), {});
        CPPUNIT_ASSERT(lease.holds(at(5999)));
        CPPUNIT_ASSERT(!lease.holds(at(6000)));
    }

    void majorityOfPromisesKeepsTheLease()
    {
        HeldLease lease;
        const Incarnation incarnation(1);
        lease.onWritten(ObjectVersion(1), at(0), Milliseconds(6000),
            { { NodeId("a"), incarnation }, { NodeId("b"), incarnation }, { NodeId("c"), incarnation } });
        lease.onPromise(NodeId("a"), incarnation, at(9000));
        CPPUNIT_ASSERT(!lease.holds(at(7000)));
        lease.onPromise(NodeId("stranger"), incarnation, at(9000));
        CPPUNIT_ASSERT(!lease.holds(at(7000)));
        lease.onPromise(NodeId("b"), incarnation, at(8000));
        CPPUNIT_ASSERT(lease.reliesOnPromises(at(7000)));
        CPPUNIT_ASSERT(!lease.holds(at(8000)));
    }

    void bothGrantorSetsMustPromiseWhileAWriteIsUnconfirmed()
    {
        HeldLease lease;
        const Incarnation incarnation(1);
        lease.onWritten(ObjectVersion(1), at(0), Milliseconds(6000), { { NodeId("a"), incarnation } });
        lease.unconfirmedGrantors = { { NodeId("b"), incarnation } };
        lease.onPromise(NodeId("a"), incarnation, at(9000));
        CPPUNIT_ASSERT(!lease.holds(at(7000)));
        lease.onPromise(NodeId("b"), incarnation, at(9000));
        CPPUNIT_ASSERT(lease.holds(at(7000)));
    }

    void promiseOfALaterIncarnationDoesNotCount()
    {
        HeldLease lease;
        lease.onWritten(ObjectVersion(1), at(0), Milliseconds(6000), { { NodeId("a"), Incarnation(1) } });
        lease.onPromise(NodeId("a"), Incarnation(2), at(9000));
        CPPUNIT_ASSERT(!lease.holds(at(7000)));
    }

    void observerMeasuresTheLeaseFromItsFirstRead()
    {
        LeaseObject value;
        value.duration = Milliseconds(6000);
        ObservedLease seen;
        CPPUNIT_ASSERT(seen.onSeen(ObjectVersion(3), value, at(0)));
        CPPUNIT_ASSERT(!seen.onSeen(ObjectVersion(3), value, at(500)));
        CPPUNIT_ASSERT(!seen.onSeen(ObjectVersion(2), value, at(500)));
        CPPUNIT_ASSERT(!seen.hasExpired(at(6299), Milliseconds(300)));
        CPPUNIT_ASSERT(seen.hasExpired(at(6300), Milliseconds(300)));
        value.released = true;
        seen.onSeen(ObjectVersion(4), value, at(600));
        CPPUNIT_ASSERT(seen.hasExpired(at(600), Milliseconds(300)));
    }

    void activePromiseBlocksEveryRelease()
    {
        PromiseTable promises(at(0), promiseLifetime);
        CPPUNIT_ASSERT(promises.promise(holder, ObjectVersion(5), at(4000)));
        CPPUNIT_ASSERT(promises.release(holder, ObjectVersion(9), at(5000)) == Milliseconds(2000));
        CPPUNIT_ASSERT(promises.release(NodeId("other"), ObjectVersion(9), at(5000)) == Milliseconds(0));
        CPPUNIT_ASSERT(promises.release(holder, ObjectVersion(9), at(7000)) == Milliseconds(0));
    }

    void releaseAppliesToOlderVersions()
    {
        PromiseTable promises(at(0), promiseLifetime);
        CPPUNIT_ASSERT(promises.release(holder, ObjectVersion(9), at(4000)) == Milliseconds(0));
        CPPUNIT_ASSERT(!promises.promise(holder, ObjectVersion(8), at(4001)));
        CPPUNIT_ASSERT(!promises.promise(holder, ObjectVersion(9), at(4001)));
        CPPUNIT_ASSERT(promises.promise(holder, ObjectVersion(10), at(4001)));
    }

    void restartedGrantorReleasesNothingUntilOldPromisesEnd()
    {
        PromiseTable promises(at(0), promiseLifetime);
        CPPUNIT_ASSERT(promises.release(holder, ObjectVersion(1), at(2999)).count() > 0);
        CPPUNIT_ASSERT(promises.release(holder, ObjectVersion(1), at(3000)).count() == 0);
    }

    void membersThatEndedAfterCompleteThroughAreLost()
    {
        const auto member = [](const std::string& name, std::uint64_t previous, bool removed, std::uint64_t changed) {
            return Member { NodeId(name), Incarnation(5), {}, {}, {}, Role::Sidecar, Incarnation(previous), {}, removed,
                ObjectVersion(changed) };
        };
        const std::vector<Member> members { member("first", 0, false, 20), member("replaced", 4, false, 20),
            member("gone", 0, true, 20), member("replacedBefore", 4, false, 10), member("goneBefore", 0, true, 10) };
        const RecoveryScope scope = recoveryScope(members, ObjectVersion(10));
        CPPUNIT_ASSERT_EQUAL(1U, scope.processesLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scope.removed.size());
        CPPUNIT_ASSERT(scope.removed.front().node == NodeId("gone"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), scope.mustAnswer.size());
        // The previous incarnation was marked as removed, at a revision that completeThrough covers, before it was
        // replaced.
        Member replacement { NodeId("goneBefore"), Incarnation(6), {}, {}, {}, Role::Sidecar, {}, {}, false,
            ObjectVersion(20) };
        replaceMember(members[4], replacement);
        CPPUNIT_ASSERT_EQUAL(0U, recoveryScope({ replacement }, ObjectVersion(10)).processesLost);
        CPPUNIT_ASSERT_EQUAL(1U, recoveryScope({ replacement }, ObjectVersion(9)).processesLost);
        const auto parsed = parseMember(formatMember(members[1]), ObjectVersion(20));
        CPPUNIT_ASSERT(parsed && parsed->previous == Incarnation(4) && !parsed->removed);
    }

    void shardMapRoundTrips()
    {
        ShardMap map;
        map.slots = { { holder, Epoch(3), Epoch(2), NodeId("next"), ObjectVersion(8), Incarnation(6) }, {} };
        map.writer = "w";
        const auto parsed = parseShardMap(formatShardMap(map), ObjectVersion(4));
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), parsed->slots.size());
        const ShardSlot& slot = parsed->slots[0];
        CPPUNIT_ASSERT(slot.home == holder && slot.epoch == Epoch(3) && slot.gap == Epoch(2));
        CPPUNIT_ASSERT(slot.next == NodeId("next") && slot.homeCompleteThrough == ObjectVersion(8));
        CPPUNIT_ASSERT(slot.homeIncarnation == Incarnation(6));
    }

    void successorRanksOfAShardAreDistinct()
    {
        const std::vector<NodeId> entries { NodeId("a"), NodeId("b"), NodeId("c") };
        for (std::uint32_t shard = 0; shard < 64; ++shard) {
            std::size_t sum = 0;
            for (const NodeId& entry : entries)
                sum += successorRank(ShardId(shard), entry, entries);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0 + 1 + 2), sum);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);
