#include "Rattandeck/storefollowing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

using namespace Rattandeck;

namespace {

constexpr Milliseconds linkDelay { 5 };
constexpr Milliseconds step { 10 };
/// How long the store holds a watch in these tests.
constexpr Milliseconds watchWait { 800 };

struct Process {
    Role role = Role::Gateway;
    std::unique_ptr<StoreFollowing> following;
    bool isFollowing = false;
    bool reachesStore = true;
    /// A frozen process neither sends nor receives; its links stay up.
    bool isFrozen = false;
    TimePoint followingSince;
    /// Empty until the store has been read since the process began to follow it.
    std::optional<TimePoint> lastStoreContact;
    std::set<NodeId> links;
};

}

/// A fleet with simulated links: each gateway to each journal, and journals to each other.
class StoreFollowingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreFollowingTest);
    CPPUNIT_TEST(journalFollowsUnlessEnoughBeforeItDo);
    CPPUNIT_TEST(gatewayFollowsOnlyWithoutARecentView);
    CPPUNIT_TEST(numberOfFollowersDoesNotDependOnTheFleet);
    CPPUNIT_TEST(killedFollowersAreReplacedByJournals);
    CPPUNIT_TEST(followersWithoutTheStoreAreReplacedByJournals);
    CPPUNIT_TEST(frozenFollowersAreReplacedByJournals);
    CPPUNIT_TEST(gatewaysFollowWhenNoJournalReachesTheStore);
    CPPUNIT_TEST(gatewayWithoutLinksFollows);
    CPPUNIT_TEST(viewsAreNeverOldWhileAFollowerIsLost);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    StoreFollowingLimits limits;
    std::map<NodeId, Process> processes;

    void tick() { this->timers.advanceTo(this->timers.now() + step); }
    void run(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += step)
            this->tick();
    }

    bool send(const NodeId& from, const NodeId& to, const Message& message)
    {
        if (this->processes.at(from).isFrozen)
            return true;
        this->timers.subscribeAfter(linkDelay, [this, from, to, message] {
            Process& target = this->processes.at(to);
            if (!target.isFrozen && target.links.contains(from))
                target.following->onMessage(from, message);
        });
        return true;
    }

    std::optional<Milliseconds> viewAge(Process& process) const
    {
        const TimePoint now = this->timers.now();
        if (!process.reachesStore && !process.lastStoreContact)
            return std::nullopt;
        if (!process.reachesStore)
            return std::chrono::duration_cast<Milliseconds>(now - *process.lastStoreContact);
        process.lastStoreContact = now;
        return std::chrono::duration_cast<Milliseconds>((now - process.followingSince) % watchWait);
    }

    void add(const std::string& name, Role role, std::uint32_t gateways)
    {
        const NodeId id(name);
        Process& process = this->processes[id];
        process.role = role;
        StoreFollowing::Io io;
        io.send = [this, id](const NodeId& to, const Message& message) { return this->send(id, to, message); };
        io.setFollowing = [this, &process](bool isFollowing) {
            process.isFollowing = isFollowing;
            process.followingSince = this->timers.now();
            process.lastStoreContact.reset();
        };
        io.ownViewAge = [this, &process] { return this->viewAge(process); };
        io.gatewayCount = [gateways] { return gateways; };
        process.following
            = std::make_unique<StoreFollowing>(this->timers, id, role, io, this->processes.size(), this->limits);
    }

    void setLink(const NodeId& one, const NodeId& other, bool isUp)
    {
        for (const auto& [node, peer] : { std::pair(one, other), std::pair(other, one) }) {
            Process& process = this->processes.at(node);
            if (isUp && process.links.insert(peer).second)
                process.following->onLinkUp(peer);
            if (!isUp && process.links.erase(peer) > 0)
                process.following->onLinkDown(peer);
        }
    }

    void startFleet(std::size_t journals, std::uint32_t gateways)
    {
        this->processes.clear();
        for (std::size_t i = 0; i < journals; ++i)
            this->add("store-" + std::to_string(i), Role::Journal, gateways);
        for (std::uint32_t i = 0; i < gateways; ++i)
            this->add("front-" + std::to_string(i), Role::Gateway, gateways);
        for (auto& [node, process] : this->processes)
            process.following->start();
        this->run(Milliseconds(100));
        for (const NodeId& journal : this->nodes(Role::Journal)) {
            for (const auto& [node, process] : this->processes) {
                if (node != journal)
                    this->setLink(journal, node, true);
            }
        }
        this->run(Milliseconds(4000));
    }

    std::vector<NodeId> nodes(Role role) const
    {
        std::vector<NodeId> found;
        for (const auto& [node, process] : this->processes) {
            if (process.role == role)
                found.push_back(node);
        }
        return found;
    }

    std::vector<NodeId> followers(Role role) const
    {
        std::vector<NodeId> found;
        for (const NodeId& node : this->nodes(role)) {
            if (this->processes.at(node).isFollowing)
                found.push_back(node);
        }
        return found;
    }

    /// Ends a process: its links go down and it does nothing any more.
    void kill(const NodeId& node)
    {
        const auto links = this->processes.at(node).links;
        for (const NodeId& peer : links)
            this->setLink(node, peer, false);
        this->processes.at(node).isFollowing = false;
        this->processes.at(node).isFrozen = true;
    }

    void assertFollowersReplaced(const std::vector<NodeId>& lost)
    {
        std::size_t sound = 0;
        for (const NodeId& node : this->followers(Role::Journal))
            sound += std::ranges::count(lost, node) == 0 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(this->limits.followers, sound);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->followers(Role::Gateway).size());
    }

    void journalFollowsUnlessEnoughBeforeItDo()
    {
        const TimePoint now = this->timers.now() + Milliseconds(10000);
        std::vector<NodeId> order { NodeId("j0"), NodeId("j1"), NodeId("j2"), NodeId("j3"), NodeId("j4"),
            NodeId("j5") };
        // Of any two, one comes before the other.
        const auto precedes = [&](const NodeId& one, const NodeId& other) {
            StoreFollowingLimits single;
            single.followers = 1;
            return !shouldJournalFollow(other, { { one, now } }, now, single);
        };
        std::ranges::sort(order, precedes);
        std::vector<ReportedView> views;
        for (std::size_t i = 0; i < order.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(i < this->limits.followers, shouldJournalFollow(order[i], views, now, this->limits));
            views.push_back({ order[i], now });
        }
        views.front().takenAt = now - this->limits.maxViewAge - Milliseconds(1);
        CPPUNIT_ASSERT(shouldJournalFollow(order[3], { views.begin(), views.begin() + 3 }, now, this->limits));
    }

    void gatewayFollowsOnlyWithoutARecentView()
    {
        const TimePoint now = this->timers.now() + Milliseconds(10000);
        const ReportedView recent { NodeId("j1"), now - Milliseconds(900) };
        const ReportedView old { NodeId("j2"), now - Milliseconds(1600) };
        CPPUNIT_ASSERT(shouldGatewayFollow({}, now, this->limits));
        CPPUNIT_ASSERT(shouldGatewayFollow({ old }, now, this->limits));
        CPPUNIT_ASSERT(!shouldGatewayFollow({ old, recent }, now, this->limits));
    }

    void numberOfFollowersDoesNotDependOnTheFleet()
    {
        for (const std::uint32_t gateways : { 4U, 60U, 350U }) {
            this->startFleet(12, gateways);
            CPPUNIT_ASSERT_EQUAL(this->limits.followers, this->followers(Role::Journal).size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->followers(Role::Gateway).size());
        }
    }

    void killedFollowersAreReplacedByJournals()
    {
        this->startFleet(12, 20);
        const auto lost = this->followers(Role::Journal);
        for (const NodeId& node : lost)
            this->kill(node);
        this->run(Milliseconds(300));
        CPPUNIT_ASSERT(this->followers(Role::Journal).size() >= this->limits.followers);
        this->run(Milliseconds(3000));
        this->assertFollowersReplaced(lost);
    }

    void followersWithoutTheStoreAreReplacedByJournals()
    {
        this->startFleet(12, 20);
        const auto lost = this->followers(Role::Journal);
        for (const NodeId& node : lost)
            this->processes.at(node).reachesStore = false;
        this->run(Milliseconds(4000));
        this->assertFollowersReplaced(lost);
        // They follow again, in their place, when they reach the store again.
        for (const NodeId& node : lost)
            this->processes.at(node).reachesStore = true;
        this->run(Milliseconds(3000));
        CPPUNIT_ASSERT(lost == this->followers(Role::Journal));
    }

    void frozenFollowersAreReplacedByJournals()
    {
        this->startFleet(12, 20);
        const auto lost = this->followers(Role::Journal);
        for (const NodeId& node : lost)
            this->processes.at(node).isFrozen = true;
        this->run(Milliseconds(4000));
        this->assertFollowersReplaced(lost);
    }

    void gatewaysFollowWhenNoJournalReachesTheStore()
    {
        constexpr std::uint32_t gateways = 100;
        this->startFleet(12, gateways);
        for (const NodeId& node : this->nodes(Role::Journal))
            this->processes.at(node).reachesStore = false;
        std::size_t most = 0;
        std::size_t before = 0;
        for (int i = 0; i < 300; ++i) {
            this->tick();
            const std::size_t now = this->followers(Role::Gateway).size();
            most = std::max(most, now - before);
            before = now;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(gateways), before);
        // They don't begin at the same moment: each lists two kinds.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= gateways / 2);
        for (const NodeId& node : this->nodes(Role::Journal))
            this->processes.at(node).reachesStore = true;
        this->run(Milliseconds(3000));
        this->assertFollowersReplaced({});
    }

    void gatewayWithoutLinksFollows()
    {
        this->startFleet(6, 10);
        const NodeId gateway("front-3");
        for (const NodeId& node : this->nodes(Role::Journal))
            this->setLink(gateway, node, false);
        this->run(Milliseconds(900));
        CPPUNIT_ASSERT(std::vector<NodeId> { gateway } == this->followers(Role::Gateway));
        this->setLink(gateway, this->followers(Role::Journal).front(), true);
        this->run(Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->followers(Role::Gateway).size());
    }

    /// What the store confirms is in force within 4 s, and within 2 s at a small site, also while a follower is lost.
    void viewsAreNeverOldWhileAFollowerIsLost()
    {
        constexpr Milliseconds oldest { 1700 };
        this->startFleet(6, 10);
        const auto lost = this->followers(Role::Journal);
        this->kill(lost[0]);
        this->processes.at(lost[1]).isFrozen = true;
        for (int i = 0; i < 500; ++i) {
            this->tick();
            for (const NodeId& node : this->nodes(Role::Gateway)) {
                const auto age = this->processes.at(node).following->viewAge();
                CPPUNIT_ASSERT(age && *age <= oldest);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowingTest);
