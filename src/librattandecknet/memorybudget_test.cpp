#include "RattandeckNet/memorybudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <memory>

using namespace RattandeckNet;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
using Time = Rattandeck::TimePoint;

/// A client that sends a request of a known size, at a steady rate up to a point, and is refused when its memory is
/// needed.
class Client : public MemoryHolder {
public:
    Client(MemoryBudget& budget, const Time& now, std::size_t size)
        : share(budget, *this)
        , now(now)
        , began(now)
        , progress(now)
        , size(size)
    {
    }

    /// Reserves memory for the request; false if it is refused at once.
    bool arrive() { return this->share.reserve(this->size, this->now); }
    void advance() { this->progress = this->now; }
    milliseconds age() const { return std::chrono::duration_cast<milliseconds>(this->now - this->began); }

    ConnectionUse memoryUse() const override
    {
        return { ConnectionStage::Receiving, this->share.bytes(), this->age(),
            std::chrono::duration_cast<milliseconds>(this->now - this->progress) };
    }
    void reclaimMemory() override
    {
        this->isRefused = true;
        this->share.set(0);
    }

    bool isRefused = false;
    MemoryShare share;

private:
    const Time& now;
    Time began;
    Time progress;
    std::size_t size;
};

}

/// The budget of all connections, and what callers get of it while a crowd takes all it can.
class MemoryBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(whatIsHeldIsCountedUntilItIsReturned);
    CPPUNIT_TEST(largeSharesLeaveAPartForSmallOnes);
    CPPUNIT_TEST(stalledClientMakesRoom);
    CPPUNIT_TEST(steadyClientDoesNotMakeRoom);
    CPPUNIT_TEST(crowdOfStalledBodiesDoesNotKeepOrdinaryCallersOut);
    CPPUNIT_TEST(crowdOfTricklingBodiesDoesNotKeepSmallCallersOut);
    CPPUNIT_TEST_SUITE_END();

    Time now;
    MemoryBudget budget { 32 * megabyte };

    void pass(milliseconds time) { this->now += time; }

    void whatIsHeldIsCountedUntilItIsReturned()
    {
        {
            Client client(this->budget, this->now, megabyte);
            CPPUNIT_ASSERT(client.arrive());
            CPPUNIT_ASSERT_EQUAL(megabyte, this->budget.used());
            client.share.set(10);
            CPPUNIT_ASSERT_EQUAL(std::size_t(10), this->budget.used());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->budget.used());
    }

    void largeSharesLeaveAPartForSmallOnes()
    {
        Client large(this->budget, this->now, 24 * megabyte);
        CPPUNIT_ASSERT(large.arrive());
        Client second(this->budget, this->now, megabyte);
        CPPUNIT_ASSERT(!second.arrive());
        Client small(this->budget, this->now, 8 * kilobyte);
        CPPUNIT_ASSERT(small.arrive());
    }

    void stalledClientMakesRoom()
    {
        Client stalled(this->budget, this->now, 20 * megabyte);
        CPPUNIT_ASSERT(stalled.arrive());
        this->pass(milliseconds(1100));
        Client next(this->budget, this->now, 20 * megabyte);
        CPPUNIT_ASSERT(next.arrive());
        CPPUNIT_ASSERT(stalled.isRefused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->budget.refused(RefusalCause::Memory));
    }

    void steadyClientDoesNotMakeRoom()
    {
        Client steady(this->budget, this->now, 20 * megabyte);
        CPPUNIT_ASSERT(steady.arrive());
        this->pass(milliseconds(1100));
        steady.advance();
        Client next(this->budget, this->now, 20 * megabyte);
        CPPUNIT_ASSERT(!next.arrive());
        CPPUNIT_ASSERT(!steady.isRefused);
    }

    /// What ordinary callers got.
    struct Served {
        int small = 0;
        int smallRefused = 0;
        int large = 0;
        int largeRefused = 0;
    };

    /// Replays 20 s with 60 hostile connections, each of which sends 4 MB and then stops or trickles, and begins anew
    /// when it is refused. Beside them, 100 callers a second send 8 kB in 20 ms, and four a second 1 MB in 300 ms.
    Served replay(bool trickles)
    {
        constexpr milliseconds step { 10 };
        constexpr int steps = 2000;
        constexpr int crowdSize = 60;
        struct Caller {
            std::unique_ptr<Client> client;
            milliseconds needs;
            bool isLarge;
        };
        Served served;
        std::vector<std::unique_ptr<Client>> crowd(crowdSize);
        std::list<Caller> callers;
        for (int i = 0; i < steps; ++i) {
            this->pass(step);
            for (auto& client : crowd) {
                if (!client || client->isRefused) {
                    client = std::make_unique<Client>(this->budget, this->now, 4 * megabyte);
                    client->isRefused = !client->arrive();
                } else if (trickles || client->age() < milliseconds(100)) {
                    client->advance();
                }
            }
            const auto add = [&](std::size_t size, milliseconds needs, bool isLarge) {
                auto client = std::make_unique<Client>(this->budget, this->now, size);
                if (client->arrive())
                    callers.push_back({ std::move(client), needs, isLarge });
                else
                    ++(isLarge ? served.largeRefused : served.smallRefused);
            };
            add(8 * kilobyte, milliseconds(20), false);
            if (i % 25 == 0)
                add(megabyte, milliseconds(300), true);
            for (auto caller = callers.begin(); caller != callers.end();) {
                caller->client->advance();
                if (caller->client->isRefused)
                    ++(caller->isLarge ? served.largeRefused : served.smallRefused);
                else if (caller->client->age() >= caller->needs)
                    ++(caller->isLarge ? served.large : served.small);
                else {
                    ++caller;
                    continue;
                }
                caller = callers.erase(caller);
            }
            CPPUNIT_ASSERT(this->budget.used() <= this->budget.limit());
        }
        return served;
    }

    void crowdOfStalledBodiesDoesNotKeepOrdinaryCallersOut()
    {
        const Served served = this->replay(false);
        CPPUNIT_ASSERT_EQUAL(0, served.smallRefused);
        CPPUNIT_ASSERT(served.small > 1990);
        // They compete with the crowd for what it has to leave each second.
        CPPUNIT_ASSERT(served.large > 0);
    }

    void crowdOfTricklingBodiesDoesNotKeepSmallCallersOut()
    {
        const Served served = this->replay(true);
        CPPUNIT_ASSERT_EQUAL(0, served.smallRefused);
        CPPUNIT_ASSERT(served.small > 1990);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
