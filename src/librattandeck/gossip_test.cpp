#include "Rattandeck/gossip.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Rattandeck;

class GossipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GossipTest);
    CPPUNIT_TEST(updateReachesPeerThatHasNotReadIt);
    CPPUNIT_TEST(updateReadFromTheStoreIsNotRequested);
    CPPUNIT_TEST(olderVersionIsIgnored);
    CPPUNIT_TEST(newPeerReceivesExistingItems);
    CPPUNIT_TEST(removalReachesPeers);
    CPPUNIT_TEST(removedTopicCanReturnAndItsTombstoneExpires);
    CPPUNIT_TEST(aPeerThatWasAwayDoesNotBringBackWhatWasRemoved);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds requestDelay { 300 };

    struct Node {
        std::unique_ptr<GossipTable> table;
        std::vector<GossipItem> updates;
        std::size_t received = 0;
    };

    TimerService timers;
    std::map<NodeId, Node> nodes;
    std::vector<std::function<void()>> due;

    void add(const std::string& name, Milliseconds wait, std::chrono::hours tombstoneRetention = std::chrono::hours(1))
    {
        const NodeId id(name);
        Node& node = this->nodes[id];
        node.table = std::make_unique<GossipTable>(
            this->timers, GossipTable::Settings { wait, tombstoneRetention },
            [this, id](const NodeId& to, const Message& message) {
                this->due.push_back([this, id, to, message] {
                    Node& target = this->nodes.at(to);
                    target.received += std::holds_alternative<GossipItems>(message) ? 1 : 0;
                    target.table->onMessage(id, message);
                });
                return true;
            },
            [&node](const GossipItem& item) { node.updates.push_back(item); });
    }

    void link(const std::string& one, const std::string& other)
    {
        this->nodes.at(NodeId(one)).table->onLinkUp(NodeId(other));
        this->nodes.at(NodeId(other)).table->onLinkUp(NodeId(one));
    }

    void run(Milliseconds time)
    {
        constexpr Milliseconds step { 10 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            const auto now = std::move(this->due);
            this->due.clear();
            for (const auto& task : now)
                task();
            this->timers.advanceTo(this->timers.now() + step);
        }
    }

    Node& at(const char* name) { return this->nodes.at(NodeId(name)); }

public:
    void setUp() override
    {
        this->nodes.clear();
        this->add("journal", Milliseconds(0));
        this->add("g1", requestDelay);
        this->add("g2", requestDelay);
        this->link("journal", "g1");
        this->link("journal", "g2");
    }

private:
    void updateReachesPeerThatHasNotReadIt()
    {
        this->at("g1").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g2").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), this->at("g2").updates.front().text);
        CPPUNIT_ASSERT(this->at("g1").updates.empty());
    }

    void updateReadFromTheStoreIsNotRequested()
    {
        this->at("g1").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(100));
        this->at("g2").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->at("g2").received);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("journal").received);
    }

    void olderVersionIsIgnored()
    {
        this->at("g2").table->publish({ "config", 8, false, "new" });
        this->at("g1").table->publish({ "config", 7, false, "old" });
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT(this->at("g2").updates.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->at("g1").updates.back().text);
    }

    void newPeerReceivesExistingItems()
    {
        this->at("g1").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        this->add("g3", requestDelay);
        this->link("journal", "g3");
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g3").updates.size());
    }

    void removalReachesPeers()
    {
        this->at("g1").table->publish({ "endpoint/1", 7, false, "text" });
        this->run(Milliseconds(500));
        this->at("g1").table->publishRemoval("endpoint/1");
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->at("g2").updates.back().isRemoved);
    }

    void removedTopicCanReturnAndItsTombstoneExpires()
    {
        this->at("g1").table->publish({ "endpoint/1", 7, false, "text" });
        this->at("g1").table->publishRemoval("endpoint/1");
        this->at("g1").table->publish({ "endpoint/1", 12, false, "again" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("again"), this->at("g2").updates.back().text);
        this->at("g1").table->publishRemoval("endpoint/1");
        this->run(Milliseconds(61 * 60 * 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->at("g2").table->topicCount());
    }

    void aPeerThatWasAwayDoesNotBringBackWhatWasRemoved()
    {
        const auto retention = GossipTable::Settings().tombstoneRetention;
        for (const char* name : { "j1", "j2", "g3" })
            this->add(name, Milliseconds(0), retention);
        this->link("j1", "j2");
        this->link("j1", "g3");
        this->at("g3").table->publish({ "endpoint/1", 7, false, "text" });
        this->run(Milliseconds(500));
        this->at("j1").table->onLinkDown(NodeId("j2"));
        this->at("j2").table->onLinkDown(NodeId("j1"));
        this->at("g3").table->publishRemoval("endpoint/1");
        // Longer than the outage of a region.
        this->run(Milliseconds(15 * 60 * 1000));
        this->link("j1", "j2");
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->at("g3").updates.empty());
        CPPUNIT_ASSERT(this->at("j2").updates.back().isRemoved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);
