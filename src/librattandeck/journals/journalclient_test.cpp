#include "Rattandeck/journalclient.h"
#include "Rattandeck/journalstate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <utility>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };

/// A journal without a disk, which answers when the test calls `run`.
struct FakeJournal {
    JournalState state;
    bool isUp = true;
    bool isVoting = true;
    Epoch epoch { 1 };
    std::vector<Message> inbox;
};

}

class JournalClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalClientTest);
    CPPUNIT_TEST(storeSucceedsWithTwoCopies);
    CPPUNIT_TEST(storeFailsWithOneCopy);
    CPPUNIT_TEST(notFoundNeedsAllMembersButOne);
    CPPUNIT_TEST(fetchSucceedsWithOneJournal);
    CPPUNIT_TEST(fetchAsksOneMemberAtATimeWhileTheyAreSilent);
    CPPUNIT_TEST(fetchAsksAnotherMemberWhenALinkBreaks);
    CPPUNIT_TEST(hedgesAreLimitedByTheirBudget);
    CPPUNIT_TEST(firstRequestsAreSpreadOverNearMembers);
    CPPUNIT_TEST(chainSplitAcrossJournalsIsJoined);
    CPPUNIT_TEST(chainWithoutBeginningIsUnavailable);
    CPPUNIT_TEST(wholeChainIsFoundBesideOneWithoutBeginning);
    CPPUNIT_TEST(nonVotingJournalIsNotPartOfAQuorum);
    CPPUNIT_TEST(claimsAddUp);
    CPPUNIT_TEST(claimIsSentAgainWhenDisksAreSlow);
    CPPUNIT_TEST(claimFailsWhenNoJournalAnswersItTwice);
    CPPUNIT_TEST(concurrentClaimsAreNotBothAdmitted);
    CPPUNIT_TEST(sixConcurrentClaimsStayWithinTheBudget);
    CPPUNIT_TEST(settlementReleasesUnusedTokens);
    CPPUNIT_TEST(threeCopiesAndQuorumOfThreeWithTwoLosses);
    CPPUNIT_TEST(journalWithAnOlderSetReceivesTheSetAndTheRequestAgain);
    CPPUNIT_TEST(answersUnderANewerSetAreIgnored);
    CPPUNIT_TEST(notFoundAnswersOfAnOlderSetAreDiscarded);
    CPPUNIT_TEST(operationContinuesUnderANewSet);
    CPPUNIT_TEST(lostLinksFailTheOperation);
    CPPUNIT_TEST(inconclusiveAnswersFailTheOperation);
    CPPUNIT_TEST(quorumIsAllMembersButOne);
    CPPUNIT_TEST(answerToAnEarlierProcessIsIgnored);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    std::map<NodeId, FakeJournal> journals;
    std::unique_ptr<JournalClient> client;
    std::unique_ptr<JournalClient> otherGateway;
    /// Messages of the second client. Both clients use the same tickets, so their messages are stored separately.
    std::map<NodeId, std::vector<Message>> otherInbox;

    static JournalSet setOf(std::uint64_t epoch, const std::vector<std::string>& names)
    {
        JournalSet set;
        set.epoch = Epoch(epoch);
        for (const std::string& name : names)
            set.members.push_back({ NodeId(name), name + ":1" });
        return set;
    }

public:
    void setUp() override
    {
        this->journals.clear();
        this->otherInbox.clear();
        for (const char* name : { "a", "b", "c" })
            this->journals[NodeId(name)];
        JournalClientLimits limits;
        limits.cacheBytes = 0;
        this->client
            = std::make_unique<JournalClient>(this->timers, limits, [this](const NodeId& to, const Message& m) {
                  FakeJournal& journal = this->journals.at(to);
                  if (journal.isUp)
                      journal.inbox.push_back(m);
                  return journal.isUp;
              });
        this->otherGateway
            = std::make_unique<JournalClient>(this->timers, limits, [this](const NodeId& to, const Message& m) {
                  this->otherInbox[to].push_back(m);
                  return true;
              });
        this->client->setMembers(setOf(1, { "a", "b", "c" }));
        this->otherGateway->setMembers(setOf(1, { "a", "b", "c" }));
    }

private:
    void handle(JournalClient& to, const NodeId& node, const Message& message)
    {
        FakeJournal& journal = this->journals.at(node);
        const TimePoint now = this->timers.now();
        if (const auto* claim = std::get_if<ClaimTokens>(&message)) {
            journal.state.apply(SettleClaim { claim->budget, claim->claim, claim->retention }, now);
            if (journal.isVoting)
                to.onMessage(node, ClaimsKnown { claim->ticket, journal.epoch, journal.state.claims(claim->budget) });
        } else if (const auto* settled = std::get_if<SettleClaim>(&message)) {
            journal.state.apply(*settled, now);
        } else if (const auto* store = std::get_if<StoreTurn>(&message)) {
            journal.state.apply(store->turn, now);
            if (journal.isVoting)
                to.onMessage(node, TurnStored { store->ticket, journal.epoch });
        } else if (const auto* fetch = std::get_if<FetchTurn>(&message)) {
            TurnFetched answer { fetch->ticket, journal.epoch, false, {}, {} };
            if (auto transcript = journal.state.transcript(fetch->turn)) {
                answer.isFound = true;
                answer.missing = transcript->missing;
                answer.transcript = transcript->text;
            }
            if (answer.isFound || journal.isVoting)
                to.onMessage(node, answer);
        }
    }

    void run(const std::string& name)
    {
        const NodeId node(name);
        const auto inbox = std::move(this->journals.at(node).inbox);
        this->journals.at(node).inbox.clear();
        for (const Message& message : inbox)
            this->handle(*this->client, node, message);
    }

    void runOther(const std::string& name)
    {
        const NodeId node(name);
        const auto inbox = std::move(this->otherInbox[node]);
        this->otherInbox[node].clear();
        for (const Message& message : inbox)
            this->handle(*this->otherGateway, node, message);
    }

    static RetainedTurn turn(const std::string& id, const std::string& previous)
    {
        return { TurnId(id), TurnId(previous), "in-" + id + " ", "out-" + id + "\n", retention };
    }

    void addRecord(const std::string& journal, const RetainedTurn& record)
    {
        this->journals.at(NodeId(journal)).state.apply(record, this->timers.now());
    }

    using Outcome = std::optional<tl::expected<void, JournalError>>;
    using Fetched = std::optional<tl::expected<std::string, JournalError>>;

    std::shared_ptr<Outcome> store(const RetainedTurn& stored)
    {
        auto outcome = std::make_shared<Outcome>();
        this->client->store(stored, "", [outcome](auto result) { *outcome = result; });
        return outcome;
    }

    std::shared_ptr<Fetched> fetch(const std::string& id)
    {
        auto outcome = std::make_shared<Fetched>();
        this->client->fetch(TurnId(id), [outcome](auto result) { *outcome = result; });
        return outcome;
    }

    using Claimed = std::optional<tl::expected<ClaimOutcome, JournalError>>;

    static std::shared_ptr<Claimed> claim(
        JournalClient& gateway, const std::string& id, std::int64_t maxTokens, std::int64_t limit)
    {
        auto outcome = std::make_shared<Claimed>();
        gateway.claim(BudgetId("p"), TurnId(id), TokenCount(maxTokens), TokenCount(limit), retention,
            [outcome](auto result) { *outcome = result; });
        return outcome;
    }

    void storeSucceedsWithTwoCopies()
    {
        const auto outcome = this->store(turn("1", ""));
        this->run("b");
        CPPUNIT_ASSERT(!outcome->has_value());
        this->run("a");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
    }

    void storeFailsWithOneCopy()
    {
        this->journals.at(NodeId("a")).isUp = false;
        const auto outcome = this->store(turn("1", ""));
        this->run("b");
        this->journals.at(NodeId("c")).isUp = false;
        this->client->onLinkDown(NodeId("c"));
        CPPUNIT_ASSERT(outcome->has_value() && !(*outcome)->has_value());
    }

    void notFoundNeedsAllMembersButOne()
    {
        const auto outcome = this->fetch("1");
        this->run("a");
        CPPUNIT_ASSERT(!outcome->has_value());
        this->run("b");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::NotFound);
    }

    void fetchSucceedsWithOneJournal()
    {
        this->addRecord("c", turn("1", ""));
        this->client->setNear(NodeId("c"));
        const auto outcome = this->fetch("1");
        this->run("c");
        CPPUNIT_ASSERT(outcome->has_value() && ***outcome == std::string("in-1 out-1\n"));
    }

    /// Lets a fetch ask further members while those that it has asked are silent.
    void advanceByHedges(int count)
    {
        this->timers.advanceTo(this->timers.now() + count * JournalClientLimits().hedgeDelay);
    }

    std::size_t inboxSize(const char* name) { return this->journals.at(NodeId(name)).inbox.size(); }

    void fetchAsksOneMemberAtATimeWhileTheyAreSilent()
    {
        const auto outcome = this->fetch("1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->inboxSize("a") + this->inboxSize("b") + this->inboxSize("c"));
        this->advanceByHedges(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->inboxSize("a") + this->inboxSize("b") + this->inboxSize("c"));
        this->advanceByHedges(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->inboxSize("a") + this->inboxSize("b") + this->inboxSize("c"));
        CPPUNIT_ASSERT(!outcome->has_value());
    }

    void hedgesAreLimitedByTheirBudget()
    {
        constexpr std::size_t count = 100;
        for (std::size_t i = 0; i < count; ++i)
            this->fetch("t" + std::to_string(i));
        this->advanceByHedges(4);
        const std::size_t requests = this->inboxSize("a") + this->inboxSize("b") + this->inboxSize("c");
        CPPUNIT_ASSERT(requests > count);
        CPPUNIT_ASSERT(
            double(requests) <= count + JournalClientLimits().hedgeBurst + count * JournalClientLimits().hedgeRatio);
    }

    void firstRequestsAreSpreadOverNearMembers()
    {
        for (const char* name : { "a", "b" })
            this->client->setNear(NodeId(name));
        for (int i = 0; i < 30; ++i)
            this->fetch("t" + std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), this->inboxSize("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), this->inboxSize("b"));
    }

    void fetchAsksAnotherMemberWhenALinkBreaks()
    {
        this->addRecord("b", turn("1", ""));
        const auto outcome = this->fetch("1");
        this->journals.at(NodeId("a")).isUp = false;
        this->client->onLinkDown(NodeId("a"));
        this->run("b");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
    }

    /// Guards against a turn that counts as stored because journals had stored one for the gateway's earlier process,
    /// whose requests had the same tickets.
    void answerToAnEarlierProcessIsIgnored()
    {
        this->store(turn("1", ""));
        std::optional<tl::expected<void, JournalError>> outcome;
        this->otherGateway->store(turn("2", ""), "", [&outcome](const auto& result) { outcome = result; });
        for (const char* name : { "a", "b", "c" }) {
            const NodeId node(name);
            for (const Message& message : std::exchange(this->journals.at(node).inbox, {}))
                this->handle(*this->otherGateway, node, message);
        }
        CPPUNIT_ASSERT(!outcome);
        for (const char* name : { "a", "b" })
            this->runOther(name);
        CPPUNIT_ASSERT(outcome && outcome->has_value());
    }

    void chainSplitAcrossJournalsIsJoined()
    {
        // Each turn has two copies, but no journal has the whole chain.
        this->addRecord("a", turn("1", ""));
        this->addRecord("b", turn("1", ""));
        this->addRecord("b", turn("2", "1"));
        this->addRecord("c", turn("2", "1"));
        this->addRecord("a", turn("3", "2"));
        this->addRecord("c", turn("3", "2"));
        const auto outcome = this->fetch("3");
        this->run("b");
        this->run("a");
        this->run("b");
        this->run("a");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\nin-3 out-3\n"), ***outcome);
    }

    /// Guards against a chain that can't be continued although a journal has all of it: the journal that was asked
    /// first had its last turn alone, as one of an earlier version stores it, or a copy whose source was lost.
    void wholeChainIsFoundBesideOneWithoutBeginning()
    {
        this->client->setNear(NodeId("a"));
        this->addRecord("a", turn("2", "1"));
        this->addRecord("b", { TurnId("2"), {}, "in-1 out-1\nin-2 ", "out-2\n", retention });
        const auto outcome = this->fetch("2");
        for (int round = 0; round < 4; ++round) {
            for (const char* name : { "a", "b", "c" })
                this->run(name);
        }
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("in-1 out-1\nin-2 out-2\n"), ***outcome);
    }

    void chainWithoutBeginningIsUnavailable()
    {
        this->addRecord("a", turn("2", "1"));
        const auto outcome = this->fetch("2");
        for (int round = 0; round < 4; ++round) {
            for (const char* name : { "a", "b", "c" })
                this->run(name);
        }
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::Unavailable);
    }

    void nonVotingJournalIsNotPartOfAQuorum()
    {
        this->journals.at(NodeId("a")).isVoting = false;
        const auto outcome = this->fetch("1");
        this->advanceByHedges(2);
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(!outcome->has_value());
        this->run("c");
        CPPUNIT_ASSERT(outcome->has_value());
    }

    void claimsAddUp()
    {
        const auto first = claim(*this->client, "1", 60, 100);
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(first->has_value() && (*first)->has_value());
        CPPUNIT_ASSERT(!(*first)->value().hasOtherTurns);
        const auto second = claim(*this->client, "2", 60, 100);
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(second->has_value() && (*second).value().error() == JournalError::BudgetSpent);
        // The refused claim was withdrawn, so that a smaller one fits.
        const auto third = claim(*this->client, "3", 40, 100);
        this->run("a");
        this->run("b");
        // The first claim is still unsettled, so the claim is sent a second time.
        CPPUNIT_ASSERT(!third->has_value());
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(third->has_value() && (*third)->has_value());
        CPPUNIT_ASSERT((*third)->value().hasOtherTurns);
    }

    /// Journals whose disks take longer than the time-out have the claim on disk soon after it; a turn refused for
    /// that is refused again and again, as its caller's next claim takes as long.
    void claimIsSentAgainWhenDisksAreSlow()
    {
        const auto outcome = claim(*this->client, "1", 40, 100);
        this->timers.advanceTo(this->timers.now() + JournalClientLimits().answerTimeout);
        CPPUNIT_ASSERT(!outcome->has_value());
        const auto inbox = this->journals.at(NodeId("a")).inbox;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), inbox.size());
        const auto& first = std::get<ClaimTokens>(inbox.front());
        const auto& second = std::get<ClaimTokens>(inbox.back());
        CPPUNIT_ASSERT(first.claim == second.claim);
        // An answer to the first request is too old to count beside one to the second.
        CPPUNIT_ASSERT(first.ticket != second.ticket);
        for (const char* name : { "a", "b" }) {
            auto& journal = this->journals.at(NodeId(name));
            journal.inbox.erase(journal.inbox.begin());
            this->run(name);
        }
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
    }

    void claimFailsWhenNoJournalAnswersItTwice()
    {
        const auto outcome = claim(*this->client, "1", 40, 100);
        this->timers.advanceTo(this->timers.now() + JournalClientLimits().answerTimeout * 2);
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::Unavailable);
        CPPUNIT_ASSERT(std::holds_alternative<SettleClaim>(this->journals.at(NodeId("a")).inbox.back()));
    }

    void concurrentClaimsAreNotBothAdmitted()
    {
        const auto mine = claim(*this->client, "1", 60, 100);
        const auto other = claim(*this->otherGateway, "2", 60, 100);
        this->run("a");
        this->runOther("c");
        this->run("b");
        this->runOther("b");
        CPPUNIT_ASSERT(mine->has_value() && other->has_value());
        CPPUNIT_ASSERT(!(*mine)->has_value() || !(*other)->has_value());
    }

    /// Six gateways claim concurrently, and the claim of each reaches two of the journals first, in a circular order.
    /// No claim sees more than three others in the answers to its first request, so admission on the first answers
    /// alone could exceed the limit by more than one claim.
    void sixConcurrentClaimsStayWithinTheBudget()
    {
        constexpr std::int64_t unit = 25;
        constexpr std::int64_t limit = 4 * unit;
        const std::map<std::string, std::vector<std::size_t>> orders
            = { { "a", { 0, 1, 2, 3 } }, { "b", { 2, 3, 4, 5 } }, { "c", { 4, 5, 0, 1 } } };
        std::vector<std::map<NodeId, std::vector<Message>>> inboxes(6);
        std::vector<std::unique_ptr<JournalClient>> gateways;
        std::vector<std::shared_ptr<Claimed>> outcomes;
        for (std::size_t i = 0; i < inboxes.size(); ++i) {
            gateways.push_back(std::make_unique<JournalClient>(
                this->timers, JournalClientLimits {}, [&inboxes, i](const NodeId& to, const Message& message) {
                    inboxes[i][to].push_back(message);
                    return true;
                }));
            gateways.back()->setMembers(setOf(1, { "a", "b", "c" }));
            outcomes.push_back(claim(*gateways.back(), std::to_string(i), unit, limit));
        }
        const auto deliver = [this, &inboxes, &gateways](const std::string& journal, std::size_t i) {
            const auto messages = std::exchange(inboxes[i][NodeId(journal)], {});
            for (const Message& message : messages)
                this->handle(*gateways[i], NodeId(journal), message);
        };
        for (const auto& [journal, order] : orders) {
            for (const std::size_t i : order)
                deliver(journal, i);
        }
        for (int round = 0; round < 3; ++round) {
            for (const char* journal : { "a", "b", "c" }) {
                for (std::size_t i = 0; i < gateways.size(); ++i)
                    deliver(journal, i);
            }
        }
        std::int64_t admitted = 0;
        for (const auto& outcome : outcomes) {
            CPPUNIT_ASSERT(outcome->has_value());
            admitted += (*outcome)->has_value() ? unit : 0;
        }
        CPPUNIT_ASSERT(admitted <= limit + unit);
    }

    void threeCopiesAndQuorumOfThreeWithTwoLosses()
    {
        JournalClientLimits limits;
        limits.copies = 3;
        std::map<NodeId, std::vector<Message>> inbox;
        JournalClient gateway(this->timers, limits, [&inbox](const NodeId& to, const Message& message) {
            inbox[to].push_back(message);
            return true;
        });
        gateway.setMembers(setOf(1, { "a", "b", "c", "d", "e" }));
        bool isStored = false;
        gateway.store(turn("1", ""), "", [&isStored](const auto& outcome) { isStored = outcome.has_value(); });
        const auto& request = std::get<StoreTurn>(inbox[NodeId("a")].front());
        gateway.onMessage(NodeId("a"), TurnStored { request.ticket, Epoch(1) });
        gateway.onMessage(NodeId("b"), TurnStored { request.ticket, Epoch(1) });
        CPPUNIT_ASSERT(!isStored);
        gateway.onMessage(NodeId("d"), TurnStored { request.ticket, Epoch(1) });
        CPPUNIT_ASSERT(isStored);
        // Any three of five members include at least one of three copies.
        CPPUNIT_ASSERT(!gateway.hasQuorum({ NodeId("a"), NodeId("c") }));
        CPPUNIT_ASSERT(gateway.hasQuorum({ NodeId("a"), NodeId("c"), NodeId("e") }));
    }

    void settlementReleasesUnusedTokens()
    {
        const auto first = claim(*this->client, "1", 60, 100);
        this->run("a");
        this->run("b");
        this->client->settle(BudgetId("p"), TurnId("1"), TokenCount(30), retention);
        const auto second = claim(*this->client, "2", 60, 100);
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(second->has_value() && (*second)->has_value());
    }

    void journalWithAnOlderSetReceivesTheSetAndTheRequestAgain()
    {
        this->client->setMembers(setOf(2, { "a", "b", "c" }));
        const auto outcome = this->fetch("1");
        this->advanceByHedges(2);
        this->run("a");
        this->run("b");
        CPPUNIT_ASSERT(!outcome->has_value());
        this->journals.at(NodeId("c")).epoch = Epoch(2);
        this->run("c");
        CPPUNIT_ASSERT(!outcome->has_value());
        // The journal receives the set first and then the request again.
        const auto& inbox = this->journals.at(NodeId("a")).inbox;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), inbox.size());
        CPPUNIT_ASSERT(std::holds_alternative<JournalSet>(inbox[0]));
        this->journals.at(NodeId("a")).epoch = Epoch(2);
        this->run("a");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::NotFound);
    }

    void answersUnderANewerSetAreIgnored()
    {
        // The turn may be stored on a journal that this gateway does not know yet.
        for (const char* name : { "a", "b", "c" })
            this->journals.at(NodeId(name)).epoch = Epoch(2);
        const auto outcome = this->fetch("1");
        for (const char* name : { "a", "b", "c" })
            this->run(name);
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::Unavailable);
    }

    void notFoundAnswersOfAnOlderSetAreDiscarded()
    {
        this->journals[NodeId("d")];
        this->client->setMembers(setOf(2, { "a", "b", "c", "d" }));
        for (auto& [node, journal] : this->journals)
            journal.epoch = Epoch(2);
        const auto outcome = this->fetch("1");
        this->run("a");
        this->run("b");
        // The quorum is smaller without d, but c may hold the only remaining copy.
        this->client->setMembers(setOf(3, { "a", "b", "c" }));
        CPPUNIT_ASSERT(!outcome->has_value());
        for (auto& [node, journal] : this->journals)
            journal.epoch = Epoch(3);
        this->addRecord("c", turn("1", ""));
        this->run("c");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
    }

    void operationContinuesUnderANewSet()
    {
        this->journals[NodeId("d")].epoch = Epoch(2);
        const auto outcome = this->store(turn("1", ""));
        this->run("c");
        for (const char* name : { "a", "b" })
            this->journals.at(NodeId(name)).epoch = Epoch(2);
        this->client->setMembers(setOf(2, { "a", "b", "d" }));
        this->run("a");
        // The copy on the removed member must not be included in the required number of copies.
        CPPUNIT_ASSERT(!outcome->has_value());
        this->run("d");
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome)->has_value());
    }

    void lostLinksFailTheOperation()
    {
        const auto outcome = this->fetch("1");
        this->client->onLinkDown(NodeId("a"));
        CPPUNIT_ASSERT(!outcome->has_value());
        this->client->onLinkDown(NodeId("b"));
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::Unavailable);
    }

    void inconclusiveAnswersFailTheOperation()
    {
        const auto outcome = this->fetch("1");
        this->run("a");
        for (const char* name : { "b", "c" }) {
            const auto& request = std::get<FetchTurn>(this->journals.at(NodeId(name)).inbox.front());
            CPPUNIT_ASSERT(!outcome->has_value());
            this->client->onMessage(NodeId(name), JournalInconclusive { request.ticket });
        }
        CPPUNIT_ASSERT(outcome->has_value() && (*outcome).value().error() == JournalError::Unavailable);
    }

    void quorumIsAllMembersButOne()
    {
        const NodeId a("a");
        const NodeId b("b");
        CPPUNIT_ASSERT(this->client->hasQuorum({ a, b }));
        CPPUNIT_ASSERT(!this->client->hasQuorum({ a, NodeId("elsewhere") }));
        this->client->setMembers(setOf(2, { "a", "b", "c", "d" }));
        CPPUNIT_ASSERT(!this->client->hasQuorum({ a, b }));
        CPPUNIT_ASSERT(this->client->hasQuorum({ a, b, NodeId("d") }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalClientTest);
