#include "Rattandeck/gossip.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Rattandeck;

class BulletinsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BulletinsTest);
    CPPUNIT_TEST(newsReachesWhomTheStoreTurnsAway);
    CPPUNIT_TEST(whatCameByItselfIsNotAskedFor);
    CPPUNIT_TEST(olderVersionChangesNothing);
    CPPUNIT_TEST(newLinkGetsWhatIsKnown);
    CPPUNIT_TEST(removalIsSpread);
    CPPUNIT_TEST(removedTopicMayComeBack);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds patience { 300 };

    struct Node {
        std::unique_ptr<GossipTable> board;
        std::vector<GossipItem> news;
        std::size_t received = 0;
    };

    TimerService timers;
    std::map<NodeId, Node> nodes;
    std::vector<std::function<void()>> due;

    void add(const std::string& name, Milliseconds wait)
    {
        const NodeId id(name);
        Node& node = this->nodes[id];
        node.board = std::make_unique<GossipTable>(
            this->timers, GossipTable::Settings { wait, Milliseconds(60000) },
            [this, id](const NodeId& to, const Message& message) {
                this->due.push_back([this, id, to, message] {
                    Node& target = this->nodes.at(to);
                    target.received += std::holds_alternative<GossipItems>(message) ? 1 : 0;
                    target.board->onMessage(id, message);
                });
                return true;
            },
            [&node](const GossipItem& item) { node.news.push_back(item); });
    }

    void link(const std::string& one, const std::string& other)
    {
        this->nodes.at(NodeId(one)).board->onLinkUp(NodeId(other));
        this->nodes.at(NodeId(other)).board->onLinkUp(NodeId(one));
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
        this->add("g1", patience);
        this->add("g2", patience);
        this->link("journal", "g1");
        this->link("journal", "g2");
    }

private:
    void newsReachesWhomTheStoreTurnsAway()
    {
        this->at("g1").board->post({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g2").news.size());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), this->at("g2").news.front().text);
        CPPUNIT_ASSERT(this->at("g1").news.empty());
    }

    void whatCameByItselfIsNotAskedFor()
    {
        this->at("g1").board->post({ "config", 7, false, "text" });
        this->run(Milliseconds(100));
        this->at("g2").board->post({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->at("g2").received);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("journal").received);
    }

    void olderVersionChangesNothing()
    {
        this->at("g2").board->post({ "config", 8, false, "new" });
        this->at("g1").board->post({ "config", 7, false, "old" });
        this->run(Milliseconds(1000));
        CPPUNIT_ASSERT(this->at("g2").news.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->at("g1").news.back().text);
    }

    void newLinkGetsWhatIsKnown()
    {
        this->at("g1").board->post({ "config", 7, false, "text" });
        this->run(Milliseconds(500));
        this->add("g3", patience);
        this->link("journal", "g3");
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->at("g3").news.size());
    }

    void removalIsSpread()
    {
        this->at("g1").board->post({ "endpoint/1", 7, false, "text" });
        this->run(Milliseconds(500));
        this->at("g1").board->postRemoval("endpoint/1");
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT(this->at("g2").news.back().isRemoved);
    }

    void removedTopicMayComeBack()
    {
        this->at("g1").board->post({ "endpoint/1", 7, false, "text" });
        this->at("g1").board->postRemoval("endpoint/1");
        this->at("g1").board->post({ "endpoint/1", 12, false, "again" });
        this->run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("again"), this->at("g2").news.back().text);
        this->at("g1").board->postRemoval("endpoint/1");
        this->run(Milliseconds(61000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->at("g2").board->topicCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BulletinsTest);
