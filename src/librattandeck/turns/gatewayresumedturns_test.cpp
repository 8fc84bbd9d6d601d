#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Turns that are retained, and whose streams their callers take up again.
class GatewayResumedTurnsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayResumedTurnsTest);
    CPPUNIT_TEST(resumedTurnIsStoredWithItsFirstEvents);
    CPPUNIT_TEST(turnThatBeginsAnewIsStoredOnce);
    CPPUNIT_TEST(turnWithoutItsFirstEventsIsRefusedAsNotRun);
    CPPUNIT_TEST(turnIsNotResumedOnARouteWithoutResumption);
    CPPUNIT_TEST(eventsAreRecordedBeforeTheyArePassedOn);
    CPPUNIT_TEST(eventsBeforeTheVersionIsKnownAreRecordedWithIt);
    CPPUNIT_TEST(resumedEventsAreRecordedWithThoseBefore);
    CPPUNIT_TEST(streamsThatAreNotRetainedAreNotRecorded);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        Route retained = GatewayFixture::route("retained", CallSafety::Stream);
        retained.retainsTurns = true;
        retained.turnRetention = Milliseconds(60000);
        Route resumable = retained;
        resumable.name = "resumable";
        resumable.pathPrefix = "/resumable/";
        resumable.canResume = true;
        this->f->configure({ retained, resumable });
        this->f->gateway.setJournals({ { NodeId("j1"), "j1:1" }, { NodeId("j2"), "j2:1" } });
        this->f->gateway.onJournalUp(NodeId("j1"), FailureDomain("a"));
        this->f->gateway.onJournalUp(NodeId("j2"), FailureDomain("b"));
        EndpointInstance instance;
        instance.id = EndpointId("e1");
        instance.service = ServiceName("service");
        instance.address = "e1:80";
        instance.domain = FailureDomain("here");
        instance.slots = 4;
        instance.version = SoftwareVersion("v1");
        instance.startedAt = 1;
        this->f->gateway.onInstance(instance);
        this->f->processes["e1:80"] = 1;
    }

private:
    static constexpr const char* firstEvents = "d1\nd2\n";

    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    GatewayFixture::Sent& lastSend() { return this->f->sends.back(); }

    static GatewayCall turnOn(const std::string& route)
    {
        GatewayCall call = GatewayFixture::callOn(route);
        call.program = BudgetId("p");
        call.tokenLimit = TokenCount(100);
        call.maxOutputTokens = TokenCount(40);
        return call;
    }

    CallId begin(const std::string& route)
    {
        const CallId id = this->f->call(turnOn(route));
        this->f->runJournals();
        this->f->head(this->lastSend(), 200, true);
        return id;
    }

    CallId resume(const std::string& route, const std::string& after)
    {
        GatewayCall call = turnOn(route);
        call.request = TurnId("again");
        call.resumeAfter = after;
        call.resumedRequest = TurnId("earlier");
        const CallId id = this->f->call(std::move(call));
        this->f->runJournals();
        return id;
    }

    template <typename Type> std::vector<Type> told() const
    {
        std::vector<Type> found;
        for (const auto& [node, message] : this->f->aboutStreams) {
            if (const auto* wanted = std::get_if<Type>(&message))
                found.push_back(*wanted);
        }
        return found;
    }

    /// All journals know the origin of the stream, and its output as stated.
    void answer(const std::optional<std::string>& output)
    {
        for (const StreamOriginRequest& question : this->told<StreamOriginRequest>()) {
            StreamOriginAnswer answer { question.ticket, true, { ServiceName("service"), SoftwareVersion("v1") },
                output.has_value(), output.value_or("") };
            for (const char* journal : { "j1", "j2" })
                this->f->gateway.onJournalMessage(NodeId(journal), answer);
        }
    }

    /// The turn as its journals keep it.
    std::string stored(const std::string& turn)
    {
        this->f->runJournals();
        const auto transcript = this->f->states[NodeId("j1")].transcript(TurnId(turn));
        return transcript ? transcript->text : "unknown";
    }

    /// Guards against a turn that is retained without the events that an earlier request has brought, so that the next
    /// turn's instance gets a conversation that lacks them.
    void resumedTurnIsStoredWithItsFirstEvents()
    {
        const CallId id = this->resume("resumable", "2");
        CPPUNIT_ASSERT_EQUAL(std::string("2"), this->told<StreamOriginRequest>().front().lastEvent);
        this->answer(firstEvents);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 3);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\nd2\nd3\n"), this->stored("again"));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: d3\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void turnThatBeginsAnewIsStoredOnce()
    {
        this->resume("resumable", "");
        CPPUNIT_ASSERT(this->told<StreamOriginRequest>().front().lastEvent.empty());
        this->answer(std::nullopt);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\n"), this->stored("again"));
    }

    void turnWithoutItsFirstEventsIsRefusedAsNotRun()
    {
        const CallId id = this->resume("resumable", "2");
        this->answer(std::nullopt);
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamOutputUnknown);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun && this->f->sends.empty());
    }

    void turnIsNotResumedOnARouteWithoutResumption()
    {
        const CallId id = this->resume("retained", "2");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamOutputUnknown);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun && this->f->sends.empty());
    }

    void eventsAreRecordedBeforeTheyArePassedOn()
    {
        const CallId id = this->begin("resumable");
        this->f->event(this->lastSend(), 1);
        this->f->event(this->lastSend(), 2);
        const auto recorded = this->told<StreamPassedOn>();
        // Two events, two journals.
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), recorded.size());
        const TurnId request("r" + std::to_string(id.value));
        CPPUNIT_ASSERT(recorded.back().stream == request && recorded.back().request == request);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), recorded.back().offset);
        CPPUNIT_ASSERT_EQUAL(std::string("d2\n"), recorded.back().text);
        CPPUNIT_ASSERT((recorded.back().events == std::vector<StreamMark> { { "2", 6 } }));
        CPPUNIT_ASSERT(recorded.back().retention >= Milliseconds(3000));
    }

    void eventsBeforeTheVersionIsKnownAreRecordedWithIt()
    {
        this->f->processes.clear();
        this->begin("resumable");
        this->f->event(this->lastSend(), 1);
        this->f->advance(GatewayLimits().maxProcessWait);
        CPPUNIT_ASSERT(this->told<StreamPassedOn>().empty());
        this->f->processes["e1:80"] = 1;
        this->f->gateway.onProcessTold("e1:80");
        CPPUNIT_ASSERT_EQUAL(std::string("d1\n"), this->told<StreamPassedOn>().front().text);
    }

    void resumedEventsAreRecordedWithThoseBefore()
    {
        this->resume("resumable", "2");
        this->answer(firstEvents);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 3);
        const auto recorded = this->told<StreamPassedOn>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), recorded.size());
        CPPUNIT_ASSERT(recorded.front().stream == TurnId("earlier") && recorded.front().request == TurnId("again"));
        CPPUNIT_ASSERT_EQUAL(std::string("d1\nd2\nd3\n"), recorded.front().text);
        CPPUNIT_ASSERT((recorded.front().events == std::vector<StreamMark> { { "2", 6 }, { "3", 9 } }));
    }

    void streamsThatAreNotRetainedAreNotRecorded()
    {
        this->begin("retained");
        this->f->event(this->lastSend(), 1);
        this->f->call(GatewayFixture::callOn("resumable"));
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->told<StreamPassedOn>().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayResumedTurnsTest);
