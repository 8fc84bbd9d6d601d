#include "storegossip.h"

#include "librattandecknet/testloop.h"
#include "names.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace Platform;
using namespace Rattandeck;
using namespace RattandeckNet;

/// A journal or gateway beside a store that answers as the test says, and a peer whose messages the test makes.
class StoreGossipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreGossipTest);
    CPPUNIT_TEST(journalReadsTheStoreAndOffersWhatItRead);
    CPPUNIT_TEST(gatewayWithARecentViewMakesNoCall);
    CPPUNIT_TEST(gatewayWithoutAViewReadsTheStore);
    CPPUNIT_TEST(instanceHeardOfAfterTheListIsKept);
    CPPUNIT_TEST(instanceMissingFromTheListIsRemoved);
    CPPUNIT_TEST(removalOlderThanTheInstanceIsIgnored);
    CPPUNIT_TEST(removalIsPassedOn);
    CPPUNIT_TEST(instanceThatLeftIsNotBroughtBack);
    CPPUNIT_TEST(everythingKnownSurvivesARestart);
    CPPUNIT_TEST(olderStateOfAnInstanceIsIgnored);
    CPPUNIT_TEST(followerTellsTheAgeOfTheConfiguration);
    CPPUNIT_TEST(restoredConfigurationIsNotConfirmed);
    CPPUNIT_TEST(configurationThatIsNotListedIsNotConfirmed);
    CPPUNIT_TEST_SUITE_END();

    TestLoop test;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<StoreGossip> news;
    std::vector<HttpRequest> requests;
    /// Answers to lists and watches of instances, in this order; further requests wait.
    std::deque<std::string> endpointAnswers;
    std::string configList = R"({"items":[],"has_more":false,"current_rev":20})";
    std::vector<HttpResponder> waitingForEndpoints;
    std::vector<HttpResponder> waitingForConfig;
    std::vector<Message> sent;
    std::vector<std::string> steps;
    std::vector<GossipItem> items;
    /// Passed to `restore` at the next start.
    std::vector<GossipItem> restored;
    NodeId peer { "peer" };

public:
    void setUp() override
    {
        this->server = std::make_unique<HttpServer>(
            this->test.loop, HttpLimits {}, [this](const HttpRequest& request, const HttpResponder& responder) {
                this->requests.push_back(request);
                this->answer(request, responder);
            });
        CPPUNIT_ASSERT(this->server->listen({ "127.0.0.1", 0 }).has_value());
        this->store = std::make_unique<ObjectStore>(this->test.loop, Address { "127.0.0.1", this->server->port() });
    }
    void tearDown() override
    {
        this->news.reset();
        this->store.reset();
        this->waitingForEndpoints.clear();
        this->waitingForConfig.clear();
    }

private:
    void answer(const HttpRequest& request, const HttpResponder& responder)
    {
        const bool isConfig = request.path == std::string(Names::objectsPath) + Names::configKind;
        if (isConfig && !request.query.contains("watch")) {
            responder.send({ 200, {}, this->configList });
        } else if (!isConfig && !this->endpointAnswers.empty()) {
            responder.send({ 200, {}, this->endpointAnswers.front() });
            this->endpointAnswers.pop_front();
        } else {
            (isConfig ? this->waitingForConfig : this->waitingForEndpoints).push_back(responder);
        }
    }

    static std::string object(const std::string& name, int revision)
    {
        return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(revision)
            + R"(},"spec":{"service":"app","address":"127.0.0.1:80","zone":"z","slots":4,"phase":"ready","version":"v1"}})";
    }
    static std::string list(const std::string& items, int revision)
    {
        return R"({"items":[)" + items + R"(],"has_more":false,"current_rev":)" + std::to_string(revision) + "}";
    }
    static std::string change(const std::string& changed, bool isRemoved, int revision)
    {
        return R"({"events":[{"tombstone":)" + std::string(isRemoved ? "true" : "false") + R"(,"object":)" + changed
            + R"(}],"current_rev":)" + std::to_string(revision) + "}";
    }

    void start(Role role)
    {
        StoreNewsHandlers handlers;
        handlers.onEndpoint = [this](const StoredObject& object) {
            this->steps.push_back(object.name + "@" + std::to_string(object.revision));
        };
        handlers.onItem = [this](const GossipItem& item) { this->items.push_back(item); };
        handlers.onEndpointRemoved = [this](const EndpointId& id) { this->steps.push_back(id.value + " removed"); };
        this->news = std::make_unique<StoreGossip>(
            this->test.loop, NodeId("self"), role,
            [this](const NodeId&, const Message& message) {
                this->sent.push_back(message);
                return true;
            },
            [] { return 1U; }, handlers);
        this->news->restore(this->restored);
        this->news->onLinkUp(this->peer);
        this->news->start(*this->store);
    }

    std::optional<ConfigAgeAnswer> askConfigAge(std::uint64_t ticket)
    {
        this->news->onMessage(this->peer, ConfigAgeRequest { ticket });
        const auto* answer = std::get_if<ConfigAgeAnswer>(&this->sent.back());
        return answer ? std::optional(*answer) : std::nullopt;
    }

    void followerTellsTheAgeOfTheConfiguration()
    {
        this->configList = list(object(Names::configName, 12), 20);
        this->test.runUntil("the loop's time is the present", [] { return true; });
        this->start(Role::Journal);
        const auto early = this->askConfigAge(1);
        CPPUNIT_ASSERT((early == ConfigAgeAnswer { 1, false, 0, Milliseconds(0) }));
        this->test.runUntil("watched", [this] { return !this->waitingForConfig.empty(); });
        const auto answer = this->askConfigAge(2);
        CPPUNIT_ASSERT(answer && answer->ticket == 2 && answer->isKnown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), answer->revision);
        CPPUNIT_ASSERT(answer->age >= Milliseconds(0) && answer->age < Milliseconds(2000));
        // A later revision that another follower has read was current later still.
        this->news->onMessage(this->peer, GossipItems { { { "config", 15, false, "{}" } } });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), this->askConfigAge(3)->revision);
    }

    /// A journal that has lost power knows the configuration of its disk, which may have been replaced meanwhile.
    void restoredConfigurationIsNotConfirmed()
    {
        this->restored = { { "config", 12, false, "{}" } };
        this->start(Role::Journal);
        CPPUNIT_ASSERT(!this->askConfigAge(1)->isKnown);
        CPPUNIT_ASSERT(!this->news->configView());
    }

    /// What the store omits may have changed.
    void configurationThatIsNotListedIsNotConfirmed()
    {
        this->restored = { { "config", 12, false, "{}" } };
        this->start(Role::Journal);
        this->test.runUntil("watched", [this] { return !this->waitingForConfig.empty(); });
        CPPUNIT_ASSERT(!this->askConfigAge(1)->isKnown);
        this->waitingForConfig.front().send({ 200, {}, change(object(Names::configName, 21), false, 21) });
        this->test.runUntil("read", [this] { return this->news->configView().has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(21), this->askConfigAge(2)->revision);
    }

    /// Receives the state of an instance from the peer.
    void hear(const std::string& name, std::uint64_t version)
    {
        const auto json = nlohmann::json::parse(object(name, 0));
        this->news->onMessage(
            this->peer, GossipItems { { { "endpoint/" + name, version, false, json["spec"].dump() } } });
    }

    void runFor(Milliseconds time)
    {
        const TimePoint end = this->test.loop.timers().now() + time;
        this->test.runUntil("time passed", [&] { return this->test.loop.timers().now() >= end; });
    }

    void awaitSteps(std::size_t count)
    {
        this->test.runUntil("steps", [&] { return this->steps.size() >= count; });
    }

    void answerWatch(const std::string& body)
    {
        this->test.runUntil("watched", [this] { return !this->waitingForEndpoints.empty(); });
        this->waitingForEndpoints.back().send({ 200, {}, body });
    }

    template <typename Kind> bool hasSent() const
    {
        return std::ranges::any_of(
            this->sent, [](const Message& message) { return std::holds_alternative<Kind>(message); });
    }

    void journalReadsTheStoreAndOffersWhatItRead()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Journal);
        this->awaitSteps(1);
        this->test.runUntil("offered", [this] { return this->hasSent<GossipOffers>(); });
        this->test.runUntil("view reported", [this] { return this->hasSent<StoreView>(); });
        CPPUNIT_ASSERT_EQUAL(std::string("e1@7"), this->steps.front());
    }

    void gatewayWithARecentViewMakesNoCall()
    {
        this->start(Role::Gateway);
        for (int i = 0; i < 10; ++i) {
            this->news->onMessage(this->peer, StoreView { Milliseconds(300) });
            this->runFor(Milliseconds(100));
        }
        this->hear("e1", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e1@7"), this->steps.front());
    }

    void gatewayWithoutAViewReadsTheStore()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Gateway);
        this->awaitSteps(1);
        CPPUNIT_ASSERT(!this->hasSent<StoreView>());
    }

    void instanceHeardOfAfterTheListIsKept()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Journal);
        this->hear("e2", 21);
        this->awaitSteps(2);
        this->runFor(Milliseconds(100));
        CPPUNIT_ASSERT((std::vector<std::string> { "e2@21", "e1@7" }) == this->steps);
    }

    void instanceMissingFromTheListIsRemoved()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Journal);
        this->hear("e2", 19);
        // It is kept for a while, since the store may have been away.
        this->awaitSteps(3);
        CPPUNIT_ASSERT((std::vector<std::string> { "e2@19", "e1@7", "e2 removed" }) == this->steps);
    }

    void removalOlderThanTheInstanceIsIgnored()
    {
        this->endpointAnswers = { list(object("e1", 7), 7) };
        this->start(Role::Journal);
        this->awaitSteps(1);
        // The instance has left and come back, which a peer has read sooner.
        this->hear("e1", 22);
        this->answerWatch(change(object("e1", 21), true, 21));
        this->runFor(Milliseconds(100));
        CPPUNIT_ASSERT((std::vector<std::string> { "e1@7", "e1@22" }) == this->steps);
    }

    void removalIsPassedOn()
    {
        this->endpointAnswers = { list(object("e1", 7), 7) };
        this->start(Role::Journal);
        this->awaitSteps(1);
        this->runFor(Milliseconds(100));
        this->sent.clear();
        this->answerWatch(change(object("e1", 21), true, 21));
        this->awaitSteps(2);
        this->test.runUntil("offered", [this] { return this->hasSent<GossipOffers>(); });
        CPPUNIT_ASSERT((std::vector<std::string> { "e1@7", "e1 removed" }) == this->steps);
    }

    /// A process that was away may offer an instance of which the others have forgotten that it left.
    void instanceThatLeftIsNotBroughtBack()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Journal);
        this->awaitSteps(1);
        this->hear("e2", 19);
        this->awaitSteps(2);
        CPPUNIT_ASSERT((std::vector<std::string> { "e1@7", "e2 removed" }) == this->steps);
    }

    void everythingKnownSurvivesARestart()
    {
        this->endpointAnswers = { list(object("e1", 7) + "," + object("e2", 9), 20) };
        this->start(Role::Journal);
        this->awaitSteps(2);
        this->hear("e3", 30);
        this->answerWatch(change(object("e2", 31), true, 31));
        this->awaitSteps(4);
        const auto before = this->news->items();
        this->restored = this->items;
        this->news.reset();
        this->sent.clear();
        // The store is down now.
        this->server.reset();
        this->start(Role::Journal);
        CPPUNIT_ASSERT(before == this->news->items());
        // A peer that knows nothing is offered everything.
        this->news->onMessage(this->peer, GossipDigests {});
        const auto* offers = std::get_if<GossipOffers>(&this->sent.back());
        CPPUNIT_ASSERT(offers && offers->offers.size() == before.size());
    }

    void olderStateOfAnInstanceIsIgnored()
    {
        this->endpointAnswers = { list(object("e1", 7), 20) };
        this->start(Role::Journal);
        this->hear("e1", 8);
        this->runFor(Milliseconds(300));
        CPPUNIT_ASSERT((std::vector<std::string> { "e1@8" }) == this->steps);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreGossipTest);
