#include "Rattandeck/journal.h"
#include "Rattandeck/journalclient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };
constexpr Milliseconds oneWayDelay { 1 };

/// A disk that syncs one batch after the other: what is appended while a sync is under way waits for the next one.
struct SlowDisk {
    Milliseconds syncTime;
    TimePoint lastStart;
    TimePoint lastEnd;

    /// Returns when a sync that is requested now has ended.
    TimePoint requestSync(TimePoint now)
    {
        const bool hasNextBatch = now < this->lastStart;
        if (!hasNextBatch) {
            this->lastStart = std::max(now, this->lastEnd);
            this->lastEnd = this->lastStart + this->syncTime;
        }
        return this->lastEnd;
    }
};

struct JournalOnSlowDisk : JournalIo {
    JournalOnSlowDisk(TimerService& timers, Milliseconds syncTime)
        : timers(timers)
        , disk { syncTime, {}, {} }
    {
    }

    bool send(const NodeId& to, const Message& message) override
    {
        this->timers.subscribeAfter(oneWayDelay, [this, to, message] { this->deliver(to, message); });
        return true;
    }
    void append(const JournalRecord&) override { }
    std::optional<RetainedTurn> readTurn(const DiskLocation&) override { return std::nullopt; }
    void sync(std::function<void()> onDurable) override
    {
        this->timers.subscribeAt(this->disk.requestSync(this->timers.now()), std::move(onDurable));
    }
    void persistSyncState(const JournalSyncState&) override { }
    void persistSet(const JournalSet&) override { }
    void readSet() override { }
    void writeSet(const JournalSet&) override { }
    void onSetChanged(const JournalSet&) override { }
    void logStep(const std::string&, const std::string&) override { }

    TimerService& timers;
    SlowDisk disk;
    std::function<void(const NodeId& to, const Message& message)> deliver;
    std::unique_ptr<Journal> journal;
};

}

/// Turns of several gateways while the disks of all journals are slow.
class SlowDisksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlowDisksTest);
    CPPUNIT_TEST(claimsAreAdmitted);
    CPPUNIT_TEST(repeatedStoresEndWithTheSecondSync);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    std::map<NodeId, std::unique_ptr<JournalOnSlowDisk>> journals;
    std::map<NodeId, std::unique_ptr<JournalClient>> clients;

    /// The journals' disks are out of step, as each begins a sync when its first record arrives.
    void start(Milliseconds syncTime)
    {
        this->clients.clear();
        this->journals.clear();
        this->timers.advanceTo(this->timers.now() + std::chrono::seconds(10));
        JournalSet set;
        set.epoch = Epoch(1);
        for (const char* name : { "a", "b", "c" })
            set.members.push_back({ NodeId(name), std::string(name) + ":1" });
        for (std::size_t i = 0; i < set.members.size(); ++i) {
            const JournalMember& member = set.members[i];
            auto node = std::make_unique<JournalOnSlowDisk>(this->timers, syncTime);
            node->disk.lastEnd = this->timers.now() + syncTime * static_cast<int>(i) / 3;
            JournalIo& io = *node;
            node->deliver = [this, from = member.node](const NodeId& to, const Message& message) {
                if (const auto client = this->clients.find(to); client != this->clients.end())
                    client->second->onMessage(from, message);
            };
            node->journal = std::make_unique<Journal>(this->timers, io, member, JournalMembershipLimits {});
            node->journal->start(set, { true, set.epoch });
            this->journals.emplace(member.node, std::move(node));
        }
        for (const char* name : { "g1", "g2" }) {
            const NodeId self(name);
            const auto send = [this, self](const NodeId& to, const Message& message) {
                this->timers.subscribeAfter(oneWayDelay,
                    [this, self, to, message] { this->journals.at(to)->journal->onMessage(self, message); });
                return true;
            };
            this->clients[self] = std::make_unique<JournalClient>(this->timers, JournalClientLimits {}, send);
            this->clients[self]->setMembers(set);
        }
    }

    void advance(Milliseconds time) { this->timers.advanceTo(this->timers.now() + time); }

    JournalClient& clientOf(int number) { return *this->clients.at(NodeId(number % 2 == 0 ? "g1" : "g2")); }

    /// Guards against turns that are refused although all journals work: a claim that no quorum had on disk within the
    /// time-out was given up. Pairs of claims belong to one program, so that both are asked for twice.
    void claimsAreAdmitted()
    {
        constexpr int claims = 400;
        constexpr Milliseconds interval { 20 };
        for (const Milliseconds syncTime : { Milliseconds(300), Milliseconds(400), Milliseconds(500) }) {
            this->start(syncTime);
            int admitted = 0;
            for (int i = 0; i < claims; ++i) {
                this->clientOf(i).claim(BudgetId("p" + std::to_string(i / 2)), TurnId("t" + std::to_string(i)),
                    TokenCount(10), TokenCount(1000), retention,
                    [&admitted](const auto& outcome) { admitted += outcome ? 1 : 0; });
                this->advance(interval);
            }
            this->advance(std::chrono::seconds(4));
            CPPUNIT_ASSERT_EQUAL(claims, admitted);
        }
    }

    /// Guards against stores that take a further sync for each repetition. A store that fails is repeated, as gateways
    /// do until the deadline of the call.
    void repeatedStoresEndWithTheSecondSync()
    {
        constexpr int turns = 200;
        constexpr Milliseconds interval { 20 };
        constexpr Milliseconds retryDelay { 50 };
        for (const Milliseconds syncTime : { Milliseconds(300), Milliseconds(400), Milliseconds(500) }) {
            this->start(syncTime);
            const Milliseconds longest = syncTime * 2 + retryDelay + oneWayDelay * 4;
            int stored = 0;
            int late = 0;
            for (int i = 0; i < turns; ++i) {
                const TimePoint startedAt = this->timers.now();
                const RetainedTurn turn { TurnId("t" + std::to_string(i)), {}, "in", "out", retention };
                this->storeUntilDone(this->clientOf(i), turn, retryDelay, [this, startedAt, longest, &stored, &late] {
                    ++stored;
                    late += this->timers.now() - startedAt > longest ? 1 : 0;
                });
                this->advance(interval);
            }
            this->advance(std::chrono::seconds(4));
            CPPUNIT_ASSERT_EQUAL(turns, stored);
            CPPUNIT_ASSERT_EQUAL(0, late);
        }
    }

    void storeUntilDone(
        JournalClient& client, const RetainedTurn& turn, Milliseconds retryDelay, const std::function<void()>& done)
    {
        client.store(turn, "", [this, &client, turn, retryDelay, done](const auto& outcome) {
            if (outcome)
                done();
            else
                this->timers.subscribeAfter(retryDelay,
                    [this, &client, turn, retryDelay, done] { this->storeUntilDone(client, turn, retryDelay, done); });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowDisksTest);
