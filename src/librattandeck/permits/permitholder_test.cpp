#include "Rattandeck/permitholder.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

namespace {

const EndpointId instance("e1");
const NodeId onlyJournal("j1");

struct HolderFixture {
    TimerService timers;
    std::vector<PermitRequests> sent;
    std::vector<LimitChange> changes;
    int wakeUps = 0;
    PermitHolder holder;

    HolderFixture()
        : holder(this->timers,
            { [this](const NodeId&, const Message& message) {
                 this->sent.push_back(std::get<PermitRequests>(message));
                 return true;
             },
                [this] { ++this->wakeUps; }, [this](const LimitChange& change) { this->changes.push_back(change); } })
    {
        this->holder.setMembers({ { onlyJournal, {} } });
        this->holder.onLinkUp(onlyJournal);
        this->advance(1000);
    }

    void advance(int milliseconds) { this->timers.advanceTo(this->timers.now() + Milliseconds(milliseconds)); }

    void state(std::optional<double> limit, std::int64_t startedAt = 1)
    {
        const auto rate = limit ? std::optional(CallRate(*limit)) : std::nullopt;
        this->holder.onAnswer(instance, startedAt, rate, this->timers.now());
        this->advance(10);
    }

    PermitGrant grant(std::uint32_t permits) const
    {
        PermitGrant grant;
        grant.endpoint = instance;
        grant.startedAt = 1;
        grant.isLimited = true;
        grant.limit = CallRate(10);
        grant.permits = permits;
        grant.ticket = this->sent.empty() ? 0 : this->sent.back().ticket;
        return grant;
    }

    void receive(const PermitGrant& grant) { this->holder.onMessage(onlyJournal, PermitGrants { { grant } }); }

    std::optional<Milliseconds> wait(std::size_t urgency = 0, bool isWaiting = false) const
    {
        return this->holder.expectedWait(instance, urgency, isWaiting);
    }
};

}

class PermitHolderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitHolderTest);
    CPPUNIT_TEST(anUnlimitedInstanceNeedsNoPermit);
    CPPUNIT_TEST(aLimitedInstanceNeedsAPermitForEachCall);
    CPPUNIT_TEST(permitsExpireAtTheLifetimeFromTheRequest);
    CPPUNIT_TEST(expiredPermitsAreReportedAsUnused);
    CPPUNIT_TEST(permitsAreKeptForCallsThatWaitAlready);
    CPPUNIT_TEST(requestsAreRepeatedWhileCallsWait);
    CPPUNIT_TEST(theBacklogOfTheIssuerIsTheExpectedWait);
    CPPUNIT_TEST(anAnswerToAnEarlierCallDoesNotEndTheLimit);
    CPPUNIT_TEST(anAnswerWithoutLimitEndsItForAllGateways);
    CPPUNIT_TEST(newsOfOtherGatewaysAreTaken);
    CPPUNIT_TEST(repeatedNewsDoNotRenewAStatement);
    CPPUNIT_TEST(aRestartedInstanceHasNoLimit);
    CPPUNIT_TEST(theStandbyIsAskedWhileThePrimaryIsAway);
    CPPUNIT_TEST(permitsOfAnEarlierIssuerAreNotReportedAsUnused);
    CPPUNIT_TEST(withoutIssuersOneCallPassesNowAndThen);
    CPPUNIT_TEST(theHighestNumberOfGatewaysHolds);
    CPPUNIT_TEST(oddGrantsAreHarmless);
    CPPUNIT_TEST_SUITE_END();

    void anUnlimitedInstanceNeedsNoPermit()
    {
        const HolderFixture f;
        CPPUNIT_ASSERT(f.wait() == Milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.holder.limitedInstances());
    }

    void aLimitedInstanceNeedsAPermitForEachCall()
    {
        HolderFixture f;
        f.state(10);
        CPPUNIT_ASSERT(f.wait() > Milliseconds(0));
        f.holder.want(instance, 0);
        f.advance(10);
        CPPUNIT_ASSERT(f.sent.back().requests.front().wanted == std::vector<std::uint32_t>({ 1, 0, 0, 0, 0, 0 }));
        f.receive(f.grant(1));
        CPPUNIT_ASSERT_EQUAL(1, f.wakeUps);
        CPPUNIT_ASSERT(f.wait(0, true) == Milliseconds(0));
        f.holder.unwant(instance, 0);
        f.holder.take(instance);
        CPPUNIT_ASSERT(f.wait() > Milliseconds(0));
    }

    void permitsExpireAtTheLifetimeFromTheRequest()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(5);
        const TimePoint requestedAt = f.timers.now();
        f.advance(100);
        PermitGrant late = f.grant(2);
        late.ticket = f.sent.back().ticket;
        late.heldFor = Milliseconds(60);
        f.receive(late);
        CPPUNIT_ASSERT(f.holder.take(instance) == requestedAt + Milliseconds(460));
        f.advance(400);
        CPPUNIT_ASSERT(f.wait(0, true) != Milliseconds(0));
    }

    void expiredPermitsAreReportedAsUnused()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        f.receive(f.grant(3));
        f.holder.unwant(instance, 0);
        f.holder.take(instance);
        f.advance(1000);
        f.holder.want(instance, 0);
        f.advance(10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), f.sent.back().requests.front().received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), f.sent.back().requests.front().unused);
    }

    void permitsAreKeptForCallsThatWaitAlready()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 2);
        f.advance(10);
        f.receive(f.grant(1));
        CPPUNIT_ASSERT(f.wait(2) > Milliseconds(0));
        CPPUNIT_ASSERT(f.wait(3) > Milliseconds(0));
        CPPUNIT_ASSERT(f.wait(2, true) == Milliseconds(0));
        // A more urgent call goes first.
        CPPUNIT_ASSERT(f.wait(0) == Milliseconds(0));
    }

    void requestsAreRepeatedWhileCallsWait()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        const std::size_t before = f.sent.size();
        f.advance(1000);
        CPPUNIT_ASSERT(f.sent.size() >= before + 5);
        f.holder.unwant(instance, 0);
        f.advance(200);
        const std::size_t after = f.sent.size();
        f.advance(1000);
        CPPUNIT_ASSERT_EQUAL(after, f.sent.size());
    }

    void theBacklogOfTheIssuerIsTheExpectedWait()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        PermitGrant notice = f.grant(0);
        notice.backlog = { Milliseconds(300), Milliseconds(900) };
        f.receive(notice);
        CPPUNIT_ASSERT(f.wait(0, true) == Milliseconds(300));
        f.advance(100);
        CPPUNIT_ASSERT(f.wait(0, true) == Milliseconds(200));
        CPPUNIT_ASSERT(f.wait(1) == Milliseconds(800));
    }

    void anAnswerToAnEarlierCallDoesNotEndTheLimit()
    {
        HolderFixture f;
        const TimePoint before = f.timers.now();
        f.advance(100);
        f.state(10);
        f.holder.onAnswer(instance, 1, std::nullopt, before);
        CPPUNIT_ASSERT(f.holder.limitOf(instance) == CallRate(10));
        f.advance(10);
        f.holder.onAnswer(instance, 1, std::nullopt, f.timers.now());
        CPPUNIT_ASSERT(!f.holder.limitOf(instance));
    }

    void anAnswerWithoutLimitEndsItForAllGateways()
    {
        HolderFixture f;
        f.state(10);
        f.advance(10);
        f.state(std::nullopt);
        CPPUNIT_ASSERT(f.wait() == Milliseconds(0));
        CPPUNIT_ASSERT(!f.sent.back().requests.front().isLimited);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.changes.size());
        CPPUNIT_ASSERT(f.changes.back().previous == CallRate(10) && !f.changes.back().limit);
    }

    void newsOfOtherGatewaysAreTaken()
    {
        HolderFixture f;
        f.receive(f.grant(0));
        CPPUNIT_ASSERT(f.holder.limitOf(instance) == CallRate(10));
        CPPUNIT_ASSERT_EQUAL(std::string("j1"), f.changes.back().learntFrom);
        f.advance(300);
        PermitGrant ended = f.grant(0);
        ended.isLimited = false;
        f.receive(ended);
        CPPUNIT_ASSERT(!f.holder.limitOf(instance));
    }

    void repeatedNewsDoNotRenewAStatement()
    {
        HolderFixture f;
        f.state(10);
        // Each exchange with a journal makes the statement look younger by the time that the messages take.
        const TimePoint sentAt = f.timers.now() + Milliseconds(1);
        for (int round = 0; round < 30; ++round) {
            f.holder.want(instance, 0);
            f.advance(10);
            PermitGrant echo = f.grant(0);
            echo.age = f.sent.back().requests.front().age;
            f.advance(10);
            f.receive(echo);
            f.holder.unwant(instance, 0);
        }
        f.holder.onAnswer(instance, 1, std::nullopt, sentAt);
        CPPUNIT_ASSERT(!f.holder.limitOf(instance));
    }

    void aRestartedInstanceHasNoLimit()
    {
        HolderFixture f;
        f.state(10);
        f.holder.forget(instance);
        CPPUNIT_ASSERT(f.wait() == Milliseconds(0));
        // News of the process that has gone.
        f.state(std::nullopt, 2);
        f.state(7, 2);
        f.receive(f.grant(5));
        CPPUNIT_ASSERT(f.holder.limitOf(instance) == CallRate(7));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), f.holder.heldPermits(instance));
    }

    void theStandbyIsAskedWhileThePrimaryIsAway()
    {
        HolderFixture f;
        const std::vector<JournalMember> members { { NodeId("j1"), {} }, { NodeId("j2"), {} } };
        const PermitIssuers issuers = issuersOf(members, instance);
        f.holder.setMembers(members);
        f.holder.onLinkUp(issuers.primary);
        f.holder.onLinkUp(issuers.standby);
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        const std::size_t before = f.sent.size();
        f.holder.onLinkDown(issuers.primary);
        f.advance(10);
        CPPUNIT_ASSERT(f.sent.size() > before);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), f.sent.back().ticket);
    }

    void permitsOfAnEarlierIssuerAreNotReportedAsUnused()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        f.receive(f.grant(5));
        f.holder.onLinkDown(onlyJournal);
        f.holder.onLinkUp(onlyJournal);
        f.holder.want(instance, 0);
        f.advance(10);
        PermitGrant later = f.grant(3);
        later.heldFor = Milliseconds(300);
        f.receive(later);
        // The five expire, the three don't yet.
        f.advance(500);
        f.holder.want(instance, 0);
        f.advance(10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), f.sent.back().requests.front().received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.sent.back().requests.front().unused);
    }

    void withoutIssuersOneCallPassesNowAndThen()
    {
        HolderFixture f;
        f.state(10);
        f.holder.onLinkDown(onlyJournal);
        CPPUNIT_ASSERT(!f.wait());
        f.advance(5000);
        CPPUNIT_ASSERT(f.wait() == Milliseconds(0));
        f.holder.take(instance);
        CPPUNIT_ASSERT(!f.wait());
        f.advance(4900);
        CPPUNIT_ASSERT(!f.wait());
        f.advance(200);
        CPPUNIT_ASSERT(f.wait() == Milliseconds(0));
    }

    void theHighestNumberOfGatewaysHolds()
    {
        HolderFixture f;
        CPPUNIT_ASSERT(!f.holder.gatewayCount());
        f.holder.onLinkUp(NodeId("j2"));
        f.holder.onMessage(onlyJournal, GatewaysLinked { 20 });
        f.holder.onMessage(NodeId("j2"), GatewaysLinked { 3 });
        CPPUNIT_ASSERT(f.holder.gatewayCount() == 20U);
    }

    void oddGrantsAreHarmless()
    {
        HolderFixture f;
        f.state(10);
        f.holder.want(instance, 0);
        f.advance(10);
        PermitGrant odd = f.grant(4000000000U);
        odd.ticket = 77;
        odd.heldFor = Milliseconds(-1000000);
        odd.age = Milliseconds(-1000000);
        odd.limit = CallRate(-8);
        f.receive(odd);
        CPPUNIT_ASSERT(f.wait(0, true) != Milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitHolderTest);
