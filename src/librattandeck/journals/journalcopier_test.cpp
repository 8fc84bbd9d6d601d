#include "Rattandeck/journalcopier.h"

#include "Rattandeck/journalstate.h"
#include "Rattandeck/timer.h"
#include "Rattandeck/wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace Rattandeck;

namespace {

constexpr Milliseconds oneWayDelay { 120 };
/// The rate of a 30 Mbit/s link.
constexpr double linkBytesPerMs = 3750;
constexpr std::size_t pageRecords = 512;

/// One way of a link: messages are transferred one after the other.
struct LongLink {
    TimerService& timers;
    TimePoint freeAt;
    /// The longest time that a message would have waited for those before it.
    Duration longestWait { 0 };

    void send(const Message& message, std::function<void()> onArrival)
    {
        const std::chrono::duration<double, std::milli> transfer(
            static_cast<double>(encode(message).size()) / linkBytesPerMs);
        const TimePoint now = this->timers.now();
        this->freeAt = std::max(this->freeAt, now) + std::chrono::duration_cast<Duration>(transfer);
        this->longestWait = std::max(this->longestWait, Duration(this->freeAt - now));
        this->timers.subscribeAt(this->freeAt + oneWayDelay, std::move(onArrival));
    }
};

/// Copies all turns of one journal to another over a long link with a bounded rate, page by page.
class LongCopy {
public:
    LongCopy(int turns, std::size_t turnBytes)
    {
        for (int i = 0; i < turns; ++i) {
            const RetainedTurn turn { TurnId("turn-" + std::to_string(i)), {}, std::string(turnBytes, 'x'), {},
                Milliseconds(600000) };
            this->from.apply(turn, this->timers.now());
        }
        JournalCopier::Io io;
        io.isKnown = [this](const TurnId& turn) { return this->to.hasTurn(turn); };
        io.requestTurns = [this](const NodeId&, const TurnsRequest& request) {
            this->requests.send(request, [this, request] { this->answer(request); });
        };
        io.onCopied = [this](const NodeId&, const CopyPage& page) {
            this->isDone = page.isLast;
            if (!this->isDone)
                this->requestPage(page.cursor);
        };
        this->copier = std::make_unique<JournalCopier>(io);
    }

    /// Returns how long the copy took.
    Duration run(Milliseconds limit)
    {
        const TimePoint startedAt = this->timers.now();
        this->requestPage(0);
        while (!this->isDone && this->timers.now() - startedAt < limit)
            this->timers.advanceTo(this->timers.now() + Milliseconds(1));
        return this->timers.now() - startedAt;
    }

    std::size_t copiedTurns() const { return this->to.turnCount(); }
    Duration longestWait() const { return this->answers.longestWait; }

private:
    void requestPage(std::uint64_t cursor)
    {
        this->requests.send(CopyRequest { 1, cursor }, [this, cursor] {
            const CopyPage page = this->from.page(cursor, pageRecords);
            this->answers.send(page, [this, page] { this->copier->onPage(this->node, page); });
        });
    }

    void answer(const TurnsRequest& request)
    {
        TurnsPage page;
        for (const TurnId& turn : request.turns)
            page.turns.push_back(*this->from.turn(turn));
        this->answers.send(page, [this, page] {
            for (const RetainedTurn& turn : page.turns)
                this->to.apply(turn, this->timers.now());
            this->copier->onTurns(this->node, page);
        });
    }

    const NodeId node { "a" };
    TimerService timers;
    JournalState from;
    JournalState to;
    LongLink requests { this->timers, {} };
    LongLink answers { this->timers, {} };
    std::unique_ptr<JournalCopier> copier;
    bool isDone = false;
};

}

class JournalCopierTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalCopierTest);
    CPPUNIT_TEST(knownTurnsAreNotRequested);
    CPPUNIT_TEST(fetchesAreDistributedAndDoneOnce);
    CPPUNIT_TEST(turnsOfALostSourceAreFetchedFromAnother);
    CPPUNIT_TEST(pageIsCopiedWhenItsTurnsHaveExpired);
    CPPUNIT_TEST(turnsWithoutAnAnswerAreRequestedAgainWithTheirPage);
    CPPUNIT_TEST(turnsWithoutAnAnswerAreRequestedFromAnotherSource);
    CPPUNIT_TEST(smallTurnsAreCopiedFastOverALongLink);
    CPPUNIT_TEST(largeTurnsAreCopiedFastOverALongLink);
    CPPUNIT_TEST_SUITE_END();

    std::set<TurnId> known;
    std::map<NodeId, TurnsRequest> requested;
    std::vector<NodeId> copied;
    std::unique_ptr<JournalCopier> copier;
    const NodeId a { "a" };
    const NodeId b { "b" };

public:
    void setUp() override
    {
        JournalCopier::Io io;
        io.isKnown = [this](const TurnId& turn) { return this->known.contains(turn); };
        io.requestTurns = [this](const NodeId& node, const TurnsRequest& request) {
            auto& turns = this->requested[node].turns;
            turns.insert(turns.end(), request.turns.begin(), request.turns.end());
        };
        io.onCopied = [this](const NodeId& node, const CopyPage&) { this->copied.push_back(node); };
        this->copier = std::make_unique<JournalCopier>(io);
    }

private:
    static CopyPage makePage(int turns)
    {
        CopyPage page;
        for (int i = 0; i < turns; ++i)
            page.turns.emplace_back(std::to_string(i));
        return page;
    }

    /// Answers the outstanding requests to a journal. Returns the number of turns in them.
    std::size_t answer(const NodeId& node)
    {
        const auto found = this->requested.find(node);
        if (found == this->requested.end())
            return 0;
        const TurnsRequest request = found->second;
        this->requested.erase(found);
        TurnsPage page;
        for (const TurnId& turn : request.turns) {
            this->known.insert(turn);
            page.turns.push_back({ turn, {}, {}, {}, Milliseconds(600000) });
        }
        this->copier->onTurns(node, page);
        return request.turns.size();
    }

    void knownTurnsAreNotRequested()
    {
        this->known.emplace("0");
        this->copier->onPage(this->a, makePage(1));
        CPPUNIT_ASSERT(this->requested.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->copied.size());
    }

    void fetchesAreDistributedAndDoneOnce()
    {
        constexpr int turns = 100;
        this->copier->onPage(this->a, makePage(turns));
        this->copier->onPage(this->b, makePage(turns));
        std::size_t fromA = 0;
        std::size_t fromB = 0;
        while (!this->requested.empty()) {
            fromA += this->answer(this->a);
            fromB += this->answer(this->b);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(turns), fromA + fromB);
        CPPUNIT_ASSERT(fromA > 0 && fromB > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->copied.size());
    }

    void turnsOfALostSourceAreFetchedFromAnother()
    {
        this->copier->onPage(this->a, makePage(10));
        this->copier->onPage(this->b, makePage(10));
        this->copier->onLinkDown(this->a);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), this->answer(this->b));
        CPPUNIT_ASSERT(this->copied == std::vector<NodeId> { this->b });
    }

    void pageIsCopiedWhenItsTurnsHaveExpired()
    {
        this->copier->onPage(this->a, makePage(5));
        this->copier->onTurns(this->a, TurnsPage { {}, makePage(5).turns });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->copied.size());
    }

    void turnsWithoutAnAnswerAreRequestedAgainWithTheirPage()
    {
        this->copier->onPage(this->a, makePage(5));
        this->requested.clear();
        this->copier->onPage(this->a, makePage(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->answer(this->a));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->copied.size());
    }

    void turnsWithoutAnAnswerAreRequestedFromAnotherSource()
    {
        this->copier->onPage(this->a, makePage(5));
        this->copier->onPage(this->b, makePage(5));
        CPPUNIT_ASSERT(!this->requested.contains(this->b));
        this->requested.clear();
        this->copier->onPage(this->a, makePage(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), this->answer(this->b));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->copied.size());
    }

    void smallTurnsAreCopiedFastOverALongLink()
    {
        constexpr int turns = 4000;
        LongCopy copy(turns, 60);
        CPPUNIT_ASSERT(copy.run(std::chrono::seconds(8)) < std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(turns), copy.copiedTurns());
        CPPUNIT_ASSERT(copy.longestWait() <= Milliseconds(100));
    }

    void largeTurnsAreCopiedFastOverALongLink()
    {
        // 8 MB, which the link could transfer in 2.1 s.
        constexpr int turns = 2000;
        LongCopy copy(turns, 4000);
        CPPUNIT_ASSERT(copy.run(std::chrono::seconds(14)) < std::chrono::seconds(14));
        CPPUNIT_ASSERT_EQUAL(std::size_t(turns), copy.copiedTurns());
        CPPUNIT_ASSERT(copy.longestWait() <= Milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalCopierTest);
