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
    CPPUNIT_TEST(versionOfferedByManyIsRequestedOnce);
    CPPUNIT_TEST(requestWithoutAnAnswerIsRepeatedAtAnotherPeer);
    CPPUNIT_TEST(leavesOfferOnlyWhatTheyHaveRead);
    CPPUNIT_TEST(newsOfOneMomentIsOfferedInOneMessage);
    CPPUNIT_TEST(processThatStartsIsOfferedEverythingOnce);
    CPPUNIT_TEST(peerThatDoesNotCompareHoldsUpNobody);
    CPPUNIT_TEST(itemsAreFoundByPrefix);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds requestDelay { 300 };

    struct Node {
        std::unique_ptr<GossipTable> table;
        std::vector<GossipItem> updates;
        std::size_t received = 0;
        /// Messages with offers, and the offers in them.
        std::size_t offers = 0;
        std::size_t offeredTopics = 0;
        std::size_t requests = 0;
        /// Receives nothing.
        bool isDeaf = false;
    };

    TimerService timers;
    std::map<NodeId, Node> nodes;
    std::vector<std::function<void()>> due;

    void add(const std::string& name, Milliseconds wait, std::chrono::hours tombstoneRetention = std::chrono::hours(1))
    {
        GossipTable::Settings settings;
        settings.requestDelay = wait;
        settings.tombstoneRetention = tombstoneRetention;
        this->add(name, settings);
    }

    void add(const std::string& name, const GossipTable::Settings& settings)
    {
        const NodeId id(name);
        Node& node = this->nodes[id];
        node.table = std::make_unique<GossipTable>(
            this->timers, settings,
            [this, id](const NodeId& to, const Message& message) {
                this->due.push_back([this, id, to, message] {
                    Node& target = this->nodes.at(to);
                    if (target.isDeaf)
                        return;
                    target.received += std::holds_alternative<GossipItems>(message) ? 1 : 0;
                    if (const auto* offers = std::get_if<GossipOffers>(&message)) {
                        target.offers += offers->offers.empty() ? 0 : 1;
                        target.offeredTopics += offers->offers.size();
                    }
                    target.requests += std::holds_alternative<GossipRequest>(message) ? 1 : 0;
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

    void versionOfferedByManyIsRequestedOnce()
    {
        for (const char* name : { "j1", "j2", "j3", "g3" })
            this->add(name, Milliseconds(0));
        for (const char* name : { "j1", "j2", "j3" }) {
            this->link(name, "g3");
            this->at(name).table->publish({ "config", 7, false, "text" });
        }
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g3").received);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), this->at("j1").requests + this->at("j2").requests + this->at("j3").requests);
    }

    void requestWithoutAnAnswerIsRepeatedAtAnotherPeer()
    {
        for (const char* name : { "j1", "j2", "g3" })
            this->add(name, Milliseconds(0));
        this->link("j1", "g3");
        this->link("j2", "g3");
        this->at("j1").isDeaf = true;
        this->at("j1").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(100));
        this->at("j2").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(100));
        CPPUNIT_ASSERT(this->at("g3").updates.empty());
        this->run(Milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g3").updates.size());
    }

    void leavesOfferOnlyWhatTheyHaveRead()
    {
        GossipTable::Settings leaf;
        leaf.isLeaf = true;
        for (const char* name : { "j1", "j2" })
            this->add(name, Milliseconds(0));
        this->add("leaf", leaf);
        this->link("j1", "leaf");
        this->link("j2", "leaf");
        this->at("j1").table->publish({ "endpoint/1", 7, false, "text" });
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("leaf").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->at("j2").offers);
        this->at("leaf").table->publish({ "endpoint/1", 8, false, "text" });
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("j1").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("j2").updates.size());
    }

    /// At the start of a fleet all instances register within a second or two.
    void newsOfOneMomentIsOfferedInOneMessage()
    {
        constexpr std::uint64_t instances = 166;
        // The links have been up for a while.
        this->run(Milliseconds(100));
        for (std::uint64_t i = 0; i < instances; ++i)
            this->at("g1").table->publish({ "endpoint/" + std::to_string(i), i + 1, false, "text" });
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(instances), this->at("g2").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("journal").offers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g2").offers);
    }

    /// At 300 machines there are 3,000 instances and 20 journals.
    void processThatStartsIsOfferedEverythingOnce()
    {
        constexpr std::uint64_t instances = 3000;
        constexpr int journals = 20;
        this->add("g3", Milliseconds(0));
        for (int i = 0; i < journals; ++i) {
            const std::string name = "j" + std::to_string(i);
            this->add(name, Milliseconds(0));
            for (std::uint64_t k = 0; k < instances; ++k)
                this->at(name.c_str()).table->publish({ "endpoint/" + std::to_string(k), k + 1, false, "text" });
        }
        this->run(Milliseconds(100));
        for (int i = 0; i < journals; ++i)
            this->link("j" + std::to_string(i), "g3");
        this->run(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(instances), this->at("g3").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(instances), this->at("g3").offeredTopics);
        // One more change costs the offer of its bucket at most.
        this->at("j0").table->publish({ "endpoint/7", instances + 1, false, "text" });
        this->run(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(instances + 1), this->at("g3").updates.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(instances + 1), this->at("g3").offeredTopics);
    }

    /// A peer that is frozen, or of a version that knows no digests: that one offers everything by itself.
    void peerThatDoesNotCompareHoldsUpNobody()
    {
        for (const char* name : { "silent", "g3" })
            this->add(name, Milliseconds(0));
        this->at("silent").isDeaf = true;
        this->at("journal").table->publish({ "config", 7, false, "text" });
        this->run(Milliseconds(100));
        this->link("silent", "g3");
        this->link("journal", "g3");
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g3").updates.size());
        this->at("g3").table->onMessage(NodeId("silent"), GossipOffers { { { "config", 9 } }, false });
        this->at("silent").isDeaf = false;
        this->run(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("silent").requests);
    }

    void itemsAreFoundByPrefix()
    {
        GossipTable& table = *this->at("g1").table;
        table.publish({ "config", 1, false, "c" });
        table.publish({ "endpoint/1", 2, false, "a" });
        table.publish({ "endpoint/2", 3, false, "b" });
        table.publishRemoval("endpoint/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.items("endpoint/").size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), table.items("endpoint/").front().text);
        CPPUNIT_ASSERT(table.find("endpoint/1")->isRemoved);
        CPPUNIT_ASSERT(!table.find("endpoint/3"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);
