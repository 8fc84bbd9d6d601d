#include "Rattandeck/journalclient.h"
#include "Rattandeck/journalstate.h"
#include "Rattandeck/wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Rattandeck;

namespace {

constexpr Milliseconds retention { 60000 };
constexpr std::size_t journalCount = 10;
constexpr Milliseconds oneWayDelay { 3 };

/// The rate of a 30 Mbit/s link.
constexpr double linkBytesPerMs = 3750;

/// One way of a machine's link: messages are transferred one after the other.
struct NarrowLink {
    TimePoint freeAt;

    /// Returns when a message of `bytes` that is sent at `now` has been transferred.
    TimePoint transfer(TimePoint now, std::size_t bytes)
    {
        const std::chrono::duration<double, std::milli> duration(static_cast<double>(bytes) / linkBytesPerMs);
        this->freeAt = std::max(this->freeAt, now) + std::chrono::duration_cast<Duration>(duration);
        return this->freeAt + oneWayDelay;
    }
};

}

/// Load on the link between a small gateway and the journals of a large deployment.
class JournalLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalLoadTest);
    CPPUNIT_TEST(fetchTransfersOneTranscript);
    CPPUNIT_TEST(narrowLinkIsNotSaturatedByTranscripts);
    CPPUNIT_TEST(narrowLinkRecoversFromABurst);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    std::map<NodeId, JournalState> journals;
    NarrowLink toJournals;
    NarrowLink toGateway;
    std::uint64_t bytesToGateway = 0;
    std::unique_ptr<JournalClient> client;

public:
    void setUp() override
    {
        JournalSet set;
        set.epoch = Epoch(1);
        for (std::size_t i = 0; i < journalCount; ++i) {
            const std::string name = "j" + std::to_string(i);
            set.members.push_back({ NodeId(name), name + ":1" });
            this->journals[NodeId(name)];
        }
        JournalClientLimits limits;
        limits.copies = 3;
        limits.cacheBytes = 0;
        this->client
            = std::make_unique<JournalClient>(this->timers, limits, [this](const NodeId& node, const Message& message) {
                  const TimePoint arrival = this->toJournals.transfer(this->timers.now(), encode(message).size());
                  this->timers.subscribeAt(arrival, [this, node, message] { this->handle(node, message); });
                  return true;
              });
        this->client->setMembers(set);
    }

    void tearDown() override { this->client.reset(); }

private:
    void handle(const NodeId& node, const Message& message)
    {
        JournalState& state = this->journals.at(node);
        if (const auto* store = std::get_if<StoreTurn>(&message)) {
            state.apply(store->turn, this->timers.now());
            this->answer(node, TurnStored { store->ticket, Epoch(1) });
        } else if (const auto* fetch = std::get_if<FetchTurn>(&message)) {
            TurnFetched answer { fetch->ticket, Epoch(1), false, {}, {} };
            if (auto transcript = state.transcript(fetch->turn)) {
                answer.isFound = true;
                answer.missing = transcript->missing;
                answer.transcript = transcript->text;
            }
            this->answer(node, answer);
        }
    }

    void answer(const NodeId& node, const Message& message)
    {
        const std::size_t bytes = encode(message).size();
        this->bytesToGateway += bytes;
        const TimePoint arrival = this->toGateway.transfer(this->timers.now() + oneWayDelay, bytes);
        this->timers.subscribeAt(arrival, [this, node, message] { this->client->onMessage(node, message); });
    }

    /// Adds a turn to all journals, as an earlier gateway has stored it.
    void addTurn(const std::string& id, std::size_t bytes)
    {
        for (auto& [node, state] : this->journals)
            state.apply(RetainedTurn { TurnId(id), {}, std::string(bytes, 'x'), {}, retention }, this->timers.now());
    }

    void fetchTransfersOneTranscript()
    {
        constexpr std::size_t transcriptBytes = 20000;
        this->addTurn("t", transcriptBytes);
        bool isFetched = false;
        this->client->fetch(TurnId("t"), [&isFetched](const auto& outcome) { isFetched = outcome.has_value(); });
        this->timers.advanceTo(this->timers.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT(isFetched);
        CPPUNIT_ASSERT(this->bytesToGateway < 2 * transcriptBytes);
    }

    void narrowLinkIsNotSaturatedByTranscripts()
    {
        // A gateway of twenty that serve 700 turns a second, most of which continue a chain that another one served.
        constexpr int fetchesPerSecond = 35;
        constexpr int seconds = 5;
        constexpr std::size_t transcriptBytes = 20000;
        static constexpr Milliseconds acceptableDelay { 100 };
        int failed = 0;
        int late = 0;
        for (int i = 0; i < fetchesPerSecond * seconds; ++i) {
            const std::string id = "t" + std::to_string(i);
            this->addTurn(id, transcriptBytes);
            const TimePoint startedAt = this->timers.now();
            this->client->fetch(TurnId(id), [this, startedAt, &failed, &late](const auto& outcome) {
                failed += outcome ? 0 : 1;
                late += this->timers.now() - startedAt > acceptableDelay ? 1 : 0;
            });
            this->timers.advanceTo(this->timers.now() + std::chrono::milliseconds(1000 / fetchesPerSecond));
        }
        this->timers.advanceTo(this->timers.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(0, failed);
        CPPUNIT_ASSERT_EQUAL(0, late);
    }

    /// Other messages that arrive at the gateway all the time.
    void addOtherTraffic(std::size_t bytesPerSecond)
    {
        constexpr Milliseconds interval { 10 };
        this->toGateway.transfer(this->timers.now(), bytesPerSecond / 100);
        this->timers.subscribeAfter(interval, [this, bytesPerSecond] { this->addOtherTraffic(bytesPerSecond); });
    }

    /// Fetches at a fixed rate for a second. Returns how many took longer than is acceptable.
    std::shared_ptr<int> fetchForOneSecond(const std::string& prefix, int count)
    {
        constexpr std::size_t transcriptBytes = 20000;
        static constexpr Milliseconds acceptableDelay { 100 };
        auto late = std::make_shared<int>(0);
        const TimePoint begin = this->timers.now();
        for (int i = 0; i < count; ++i) {
            const std::string id = prefix + std::to_string(i);
            this->addTurn(id, transcriptBytes);
            this->client->fetch(TurnId(id), [this, late, startedAt = this->timers.now()](const auto& outcome) {
                *late += !outcome || this->timers.now() - startedAt > acceptableDelay ? 1 : 0;
            });
            this->timers.advanceTo(begin + std::chrono::microseconds(1000000 * (i + 1) / count));
        }
        return late;
    }

    void narrowLinkRecoversFromABurst()
    {
        constexpr std::size_t otherBytesPerSecond = 700000;
        constexpr int burst = 240;
        constexpr int usual = 35;
        constexpr int secondsToRecover = 10;
        this->addOtherTraffic(otherBytesPerSecond);
        this->fetchForOneSecond("burst", burst);
        for (int i = 0; i < secondsToRecover; ++i)
            this->fetchForOneSecond("after" + std::to_string(i) + ".", usual);
        const auto late = this->fetchForOneSecond("end", usual);
        this->timers.advanceTo(this->timers.now() + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(0, *late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalLoadTest);
