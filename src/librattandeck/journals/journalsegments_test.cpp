#include "Rattandeck/journalsegments.h"

#include "Rattandeck/journal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

using namespace Rattandeck;

namespace {

constexpr Milliseconds turnRetention { 5000 };
constexpr Milliseconds claimRetention { 125000 };
constexpr Milliseconds segmentAge { 15000 };
constexpr Milliseconds tick { 250 };

/// A log in segments, and the one journal that writes it. What is appended is on disk at once.
struct Log : JournalIo {
    TimerService& timers;
    std::map<JournalSegments::Number, std::vector<JournalRecord>> segments;
    TimePoint begunAt;
    std::vector<std::pair<TurnId, DiskLocation>> written;

    explicit Log(TimerService& timers)
        : timers(timers)
    {
        this->segments[1];
    }

    JournalSegments::Number current() const { return this->segments.rbegin()->first; }
    void removeBefore(JournalSegments::Number number)
    {
        this->segments.erase(this->segments.begin(), this->segments.lower_bound(number));
    }

    void append(const JournalRecord& record) override
    {
        if (this->timers.now() - this->begunAt > segmentAge) {
            this->segments[this->current() + 1];
            this->begunAt = this->timers.now();
        }
        std::vector<JournalRecord>& segment = this->segments.rbegin()->second;
        if (const auto* turn = std::get_if<RetainedTurn>(&record))
            this->written.emplace_back(turn->id, DiskLocation { this->current(), segment.size(), 0 });
        segment.push_back(record);
    }
    std::optional<RetainedTurn> readTurn(const DiskLocation& location) override
    {
        const auto segment = this->segments.find(location.segment);
        if (segment == this->segments.end())
            return std::nullopt;
        return std::get<RetainedTurn>(segment->second.at(location.offset));
    }
    void sync(std::function<void()> onDurable) override { onDurable(); }
    bool send(const NodeId&, const Message&) override { return true; }
    void persistSyncState(const JournalSyncState&) override { }
    void persistSet(const JournalSet&) override { }
    void readSet() override { }
    void writeSet(const JournalSet&) override { }
    void onSetChanged(const JournalSet&) override { }
    void logStep(const std::string& step, const std::string& detail) override { CPPUNIT_FAIL(step + ": " + detail); }
};

/// A journal with its log, as it runs in a process.
struct Machine {
    TimerService timers;
    Log log { this->timers };
    std::unique_ptr<Journal> journal = this->newJournal();
    std::unique_ptr<JournalSegments> segments = this->newSegments();
    std::uint64_t ticket = 0;
    std::size_t removals = 0;

    Machine() { this->start(); }

    std::unique_ptr<Journal> newJournal()
    {
        JournalIo& io = this->log;
        return std::make_unique<Journal>(
            this->timers, io, JournalMember { NodeId("a"), "a:1" }, JournalMembershipLimits {});
    }

    std::unique_ptr<JournalSegments> newSegments()
    {
        JournalSegments::Io io;
        io.current = [this] { return this->log.current(); };
        io.onBegun = [this] { this->log.append(GossipItems {}); };
        io.removeBefore = [this](JournalSegments::Number number) {
            this->log.removeBefore(number);
            ++this->removals;
        };
        io.removeExpiredBefore = io.removeBefore;
        return std::make_unique<JournalSegments>(*this->journal, std::move(io));
    }

    void start()
    {
        JournalSet set;
        set.epoch = Epoch(1);
        set.members.push_back({ NodeId("a"), "a:1" });
        this->journal->start(set, { true, Epoch(1) });
    }

    /// Reads the log anew, as the next process does.
    void restart()
    {
        this->segments.reset();
        this->journal = this->newJournal();
        for (const auto& [number, records] : this->log.segments) {
            for (const JournalRecord& record : records)
                std::visit([this](const auto& each) { this->journal->restore(each); }, record);
        }
        this->log.segments[this->log.current() + 1];
        this->log.begunAt = this->timers.now();
        this->segments = this->newSegments();
        this->start();
    }

    void claim(const std::string& program, const std::string& turn)
    {
        this->tell(ClaimTokens {
            this->nextTicket(), BudgetId(program), { TurnId(turn), TokenCount(40), false }, claimRetention });
    }

    void settle(const std::string& program, const std::string& turn)
    {
        this->tell(SettleClaim { BudgetId(program), { TurnId(turn), TokenCount(30), true }, claimRetention });
    }

    void store(const std::string& turn, const std::string& previous)
    {
        this->tell(StoreTurn { this->nextTicket(), { TurnId(turn), TurnId(previous), "in", "out", turnRetention } });
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tick) {
            this->timers.advanceTo(this->timers.now() + tick);
            this->journal->expire();
            this->segments->removeOld(this->timers.now(), true);
            this->noteWritten();
        }
    }

    void tell(const Message& message)
    {
        this->journal->onMessage(NodeId("gateway"), message);
        this->noteWritten();
    }

    void noteWritten()
    {
        for (const auto& [turn, location] : std::exchange(this->log.written, {}))
            this->journal->onWritten(turn, location);
    }

    JournalTicket nextTicket() { return JournalTicket(++this->ticket); }
    std::vector<TokenClaim> claims(const std::string& program) const
    {
        return this->journal->state().claims(BudgetId(program));
    }
};

}

/// What a journal knows after a restart, when it has removed old segments of its log.
class JournalSegmentsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalSegmentsTest);
    CPPUNIT_TEST(earlierClaimsOfABudgetSurviveTheirSegment);
    CPPUNIT_TEST(whatIsKnownSurvivesRestarts);
    CPPUNIT_TEST(recordIsRewrittenOncePerSegment);
    CPPUNIT_TEST(fullDiskKeepsSegmentsWithClaims);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a budget that is given a second time after a restart: the segment of its first claims was
    /// removed, and they were not written again since the budget had got a later one.
    void earlierClaimsOfABudgetSurviveTheirSegment()
    {
        Machine machine;
        machine.store("turn", "");
        machine.claim("looping", "first");
        machine.advance(segmentAge * 3);
        machine.claim("other", "begins a segment");
        machine.advance(tick);
        // More records than a page of them holds.
        for (int number = 0; number < 600; ++number)
            machine.claim("other-" + std::to_string(number), "t" + std::to_string(number));
        machine.claim("looping", "second");
        machine.advance(std::chrono::seconds(80));
        CPPUNIT_ASSERT(machine.removals > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), machine.claims("looping").size());
        machine.restart();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), machine.claims("looping").size());
    }

    /// Programs of many lengths, whose chains and budgets go on over many segments.
    void whatIsKnownSurvivesRestarts()
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            Machine machine;
            this->run(machine, std::minstd_rand(seed));
            CPPUNIT_ASSERT(machine.removals > 5);
        }
    }

    void run(Machine& machine, std::minstd_rand random)
    {
        constexpr int programs = 30;
        constexpr int steps = 1600;
        std::map<std::string, std::string> lastTurns;
        const auto draw = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        for (int step = 0; step < steps; ++step) {
            // Programs of low numbers are active more often.
            const std::string program = "p" + std::to_string(draw(draw(programs - 1)));
            const std::string turn = "t" + std::to_string(step);
            machine.claim(program, turn);
            if (draw(9) > 0)
                machine.settle(program, turn);
            std::string& last = lastTurns[program];
            const bool isKept = machine.journal->state().hasTurn(TurnId(last));
            machine.store(turn, isKept ? last : "");
            last = turn;
            machine.advance(tick * draw(3));
            if (draw(500) == 0)
                this->expectSameAfterRestart(machine, programs, step);
        }
        this->expectSameAfterRestart(machine, programs, steps);
    }

    void expectSameAfterRestart(Machine& machine, int programs, int steps)
    {
        std::map<std::string, std::vector<TokenClaim>> claims;
        for (int number = 0; number < programs; ++number) {
            const std::string program = "p" + std::to_string(number);
            claims[program] = machine.claims(program);
        }
        std::vector<TurnId> turns;
        for (int step = 0; step < steps; ++step) {
            const TurnId turn("t" + std::to_string(step));
            if (machine.journal->state().hasTurn(turn))
                turns.push_back(turn);
        }
        machine.restart();
        for (const auto& [program, known] : claims) {
            const std::vector<TokenClaim> after = machine.claims(program);
            for (const TokenClaim& claim : known)
                CPPUNIT_ASSERT(std::ranges::find(after, claim) != after.end());
        }
        for (const TurnId& turn : turns)
            CPPUNIT_ASSERT(machine.journal->state().turn(turn).has_value());
    }

    void recordIsRewrittenOncePerSegment()
    {
        Machine machine;
        machine.store("turn", "");
        for (int number = 0; number < 100; ++number)
            machine.claim("p" + std::to_string(number), "t");
        const std::uint64_t last = machine.journal->state().lastSequence();
        const auto appended = [&machine] {
            std::size_t count = 0;
            for (const auto& [number, records] : machine.log.segments)
                count += records.size();
            return count;
        };
        const std::size_t before = appended();
        machine.journal->rewriteThrough(last);
        CPPUNIT_ASSERT_EQUAL(before + 101, appended());
        CPPUNIT_ASSERT(!machine.journal->hasRecordsThrough(last));
        machine.journal->rewriteThrough(last);
        CPPUNIT_ASSERT_EQUAL(before + 101, appended());
    }

    void fullDiskKeepsSegmentsWithClaims()
    {
        Machine machine;
        machine.claim("looping", "first");
        const std::uint64_t last = machine.journal->state().lastSequence();
        machine.claim("looping", "second");
        CPPUNIT_ASSERT(machine.journal->hasRecordsThrough(last));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalSegmentsTest);
