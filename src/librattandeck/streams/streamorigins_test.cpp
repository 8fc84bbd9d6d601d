#include "Rattandeck/streamorigins.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

using namespace Rattandeck;

namespace {

const StreamOrigin someOrigin { ServiceName("llm"), SoftwareVersion("v1") };

/// Gateways and journals, whose messages arrive when `deliver` is called.
struct World {
    struct Sent {
        NodeId from;
        NodeId to;
        Message message;
    };

    TimerService timers;
    std::vector<JournalMember> members;
    std::map<NodeId, std::unique_ptr<StreamOriginTable>> journals;
    std::map<NodeId, std::unique_ptr<StreamOriginClient>> gateways;
    std::vector<Sent> inFlight;
    /// Journals that receive and answer nothing.
    std::set<NodeId> silent;
    std::size_t delivered = 0;

    explicit World(int journalCount)
    {
        for (int i = 0; i < journalCount; ++i) {
            const NodeId node("j" + std::to_string(i));
            this->members.push_back({ node, node.value + ":1" });
            this->journals[node] = std::make_unique<StreamOriginTable>(this->timers);
        }
        for (const char* name : { "g1", "g2" })
            this->addGateway(NodeId(name));
    }

    static FailureDomain domainOf(const NodeId& journal) { return FailureDomain(journal.value == "j0" ? "a" : "b"); }

    void addGateway(const NodeId& gateway)
    {
        this->gateways[gateway] = std::make_unique<StreamOriginClient>(
            this->timers, [this, gateway](const NodeId& to, const Message& message) {
                this->inFlight.push_back({ gateway, to, message });
                return true;
            });
        this->gateways[gateway]->setMembers(this->members);
        for (const JournalMember& member : this->members)
            this->gateways[gateway]->onLinkUp(member.node, domainOf(member.node));
    }

    StreamOriginClient& gateway(const char* name) { return *this->gateways.at(NodeId(name)); }

    void record(const std::string& request, Milliseconds retention = Milliseconds(3000))
    {
        this->gateway("g1").record({ TurnId(request), someOrigin, retention });
        this->deliver();
    }

    void deliver()
    {
        while (!this->inFlight.empty()) {
            const Sent sent = this->inFlight.front();
            this->inFlight.erase(this->inFlight.begin());
            if (this->silent.contains(sent.from) || this->silent.contains(sent.to))
                continue;
            ++this->delivered;
            if (this->gateways.contains(sent.to)) {
                this->gateways.at(sent.to)->onMessage(sent.from, sent.message);
                continue;
            }
            this->journals.at(sent.to)->onMessage(
                sent.from, sent.message, [&](const NodeId& to, const Message& answer) {
                    this->inFlight.push_back({ sent.to, to, answer });
                    return true;
                });
        }
    }

    /// What a gateway finds out, within the time that all rounds take.
    std::optional<tl::expected<KnownStream, StreamOriginError>> find(
        const char* gateway, const std::string& request, const std::string& lastEvent = {})
    {
        std::optional<tl::expected<KnownStream, StreamOriginError>> result;
        this->gateway(gateway).find(TurnId(request), lastEvent, [&](auto outcome) { result = std::move(outcome); });
        this->deliver();
        for (std::uint32_t round = 0; round < StreamOriginLimits().rounds && !result; ++round) {
            this->advance(StreamOriginLimits().roundTimeout);
            this->deliver();
        }
        return result;
    }

    void advance(Milliseconds time) { this->timers.advanceTo(this->timers.now() + time); }

    void recordOutput(
        const char* gateway, const std::string& request, const std::string& text, const std::string& event)
    {
        const std::vector<StreamMark> events { { event, text.size() } };
        this->gateway(gateway).recordOutput({ TurnId(request), TurnId(request), text, events, Milliseconds(3000) });
        this->deliver();
    }

    std::vector<NodeId> holders(const std::string& request) const
    {
        std::vector<NodeId> nodes;
        for (const auto& [node, table] : this->journals) {
            if (table->find(TurnId(request)))
                nodes.push_back(node);
        }
        return nodes;
    }
};

}

class StreamOriginsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOriginsTest);
    CPPUNIT_TEST(originIsKnownAtOtherGateways);
    CPPUNIT_TEST(costsDoNotGrowWithTheNumberOfJournals);
    CPPUNIT_TEST(originOutlivesAnyOfItsJournals);
    CPPUNIT_TEST(copiesAreInTwoFailureDomains);
    CPPUNIT_TEST(unknownStreamIsReportedAsUnknown);
    CPPUNIT_TEST(silentJournalsAreReportedAsUnavailable);
    CPPUNIT_TEST(brokenLinkEndsTheWait);
    CPPUNIT_TEST(originIsFoundAfterAChangeOfTheSet);
    CPPUNIT_TEST(originExpires);
    CPPUNIT_TEST(firstOriginOfARequestHolds);
    CPPUNIT_TEST(numberOfOriginsIsBounded);
    CPPUNIT_TEST(longRetentionDoesNotKeepOtherOrigins);
    CPPUNIT_TEST(answerToAnEarlierProcessIsIgnored);
    CPPUNIT_TEST(outputIsKnownAtOtherGateways);
    CPPUNIT_TEST(outputOutlivesAnyOfItsJournals);
    CPPUNIT_TEST(missingOutputIsReportedAsSuch);
    CPPUNIT_TEST_SUITE_END();

    void originIsKnownAtOtherGateways()
    {
        World world(3);
        world.record("r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.holders("r").size());
        CPPUNIT_ASSERT(world.find("g2", "r")->value().origin == someOrigin);
        CPPUNIT_ASSERT(world.find("g1", "r")->value().origin == someOrigin);
    }

    void outputIsKnownAtOtherGateways()
    {
        World world(5);
        world.record("r");
        world.recordOutput("g1", "r", "one\n", "1");
        for (const char* gateway : { "g1", "g2" }) {
            const auto found = world.find(gateway, "r", "1");
            CPPUNIT_ASSERT(found->value().origin == someOrigin);
            CPPUNIT_ASSERT_EQUAL(std::string("one\n"), found->value().output);
        }
        CPPUNIT_ASSERT(world.find("g2", "r")->value().output.empty());
    }

    void outputOutlivesAnyOfItsJournals()
    {
        for (int lost = 0; lost < 2; ++lost) {
            World world(5);
            world.record("r");
            world.recordOutput("g1", "r", "one\n", "1");
            world.silent.insert(world.holders("r").at(static_cast<std::size_t>(lost)));
            CPPUNIT_ASSERT_EQUAL(std::string("one\n"), world.find("g2", "r", "1")->value().output);
        }
    }

    void missingOutputIsReportedAsSuch()
    {
        World world(3);
        world.record("r");
        for (const char* gateway : { "g1", "g2" })
            CPPUNIT_ASSERT(world.find(gateway, "r", "1")->error() == StreamOriginError::OutputUnknown);
        CPPUNIT_ASSERT(world.find("g2", "other", "1")->error() == StreamOriginError::Unknown);
    }

    /// Guards against a stream that goes on at the version of another one, about which the gateway had asked before it
    /// was restarted.
    void answerToAnEarlierProcessIsIgnored()
    {
        World world(3);
        world.record("r");
        world.gateway("g2").find(TurnId("r"), {}, [](const auto&) {});
        world.addGateway(NodeId("g2"));
        CPPUNIT_ASSERT(world.find("g2", "never begun")->error() == StreamOriginError::Unknown);
    }

    void costsDoNotGrowWithTheNumberOfJournals()
    {
        for (const int journals : { 3, 40, 120 }) {
            World world(journals);
            world.record("r");
            CPPUNIT_ASSERT(world.find("g2", "r")->has_value());
            // Two records, two questions, two answers.
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), world.delivered);
        }
    }

    void originOutlivesAnyOfItsJournals()
    {
        for (int lost = 0; lost < 2; ++lost) {
            World world(5);
            world.record("r");
            world.silent.insert(world.holders("r").at(static_cast<std::size_t>(lost)));
            CPPUNIT_ASSERT(world.find("g2", "r")->value().origin == someOrigin);
        }
    }

    void copiesAreInTwoFailureDomains()
    {
        for (int number = 0; number < 50; ++number) {
            World world(5);
            const std::string request = "r" + std::to_string(number);
            world.record(request);
            const auto holders = world.holders(request);
            CPPUNIT_ASSERT(World::domainOf(holders.at(0)) != World::domainOf(holders.at(1)));
        }
    }

    void unknownStreamIsReportedAsUnknown()
    {
        World world(5);
        CPPUNIT_ASSERT(world.find("g2", "never")->error() == StreamOriginError::Unknown);
    }

    void silentJournalsAreReportedAsUnavailable()
    {
        World world(3);
        world.record("r");
        for (const JournalMember& member : world.members)
            world.silent.insert(member.node);
        CPPUNIT_ASSERT(world.find("g2", "r")->error() == StreamOriginError::Unavailable);
        World alone(0);
        CPPUNIT_ASSERT(alone.find("g2", "r")->error() == StreamOriginError::Unavailable);
    }

    void brokenLinkEndsTheWait()
    {
        World world(3);
        world.record("r");
        for (const JournalMember& member : world.members)
            world.silent.insert(member.node);
        std::optional<tl::expected<KnownStream, StreamOriginError>> result;
        world.gateway("g2").find(TurnId("r"), {}, [&](auto outcome) { result = std::move(outcome); });
        for (const JournalMember& member : world.members)
            world.gateway("g2").onLinkDown(member.node);
        CPPUNIT_ASSERT(result && result->error() == StreamOriginError::Unavailable);
    }

    void originIsFoundAfterAChangeOfTheSet()
    {
        World world(10);
        for (int number = 0; number < 50; ++number)
            world.record("r" + std::to_string(number));
        // One journal leaves, another one comes.
        world.silent.insert(NodeId("j3"));
        std::erase_if(world.members, [](const JournalMember& member) { return member.node == NodeId("j3"); });
        world.members.push_back({ NodeId("j99"), "j99:1" });
        world.journals[NodeId("j99")] = std::make_unique<StreamOriginTable>(world.timers);
        world.addGateway(NodeId("g3"));
        for (int number = 0; number < 50; ++number)
            CPPUNIT_ASSERT(world.find("g3", "r" + std::to_string(number))->has_value());
    }

    void originExpires()
    {
        World world(3);
        world.record("r", Milliseconds(1000));
        world.advance(Milliseconds(1001));
        CPPUNIT_ASSERT(world.find("g2", "r")->error() == StreamOriginError::Unknown);
        world.record("other");
        for (const auto& [node, table] : world.journals)
            CPPUNIT_ASSERT(table->size() <= 1);
    }

    void firstOriginOfARequestHolds()
    {
        TimerService timers;
        StreamOriginTable table(timers);
        table.put({ TurnId("r"), someOrigin, Milliseconds(1000) });
        table.put({ TurnId("r"), { ServiceName("llm"), SoftwareVersion("v2") }, Milliseconds(9000) });
        CPPUNIT_ASSERT(*table.find(TurnId("r")) == someOrigin);
    }

    void numberOfOriginsIsBounded()
    {
        TimerService timers;
        StreamOriginLimits limits;
        limits.maxOrigins = 10;
        StreamOriginTable table(timers, limits);
        for (int number = 0; number < 100; ++number)
            table.put({ TurnId("r" + std::to_string(number)), someOrigin, Milliseconds(1000 + number) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), table.size());
        CPPUNIT_ASSERT(table.find(TurnId("r99")));
    }

    void longRetentionDoesNotKeepOtherOrigins()
    {
        TimerService timers;
        StreamOriginTable table(timers);
        table.put({ TurnId("long"), someOrigin, std::chrono::hours(24) });
        for (int number = 0; number < 20; ++number)
            table.put({ TurnId("r" + std::to_string(number)), someOrigin, Milliseconds(1000) });
        timers.advanceTo(timers.now() + Milliseconds(2000));
        table.put({ TurnId("last"), someOrigin, Milliseconds(1000) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.size());
        timers.advanceTo(timers.now() + StreamOriginLimits().maxRetention);
        CPPUNIT_ASSERT(!table.find(TurnId("long")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);
