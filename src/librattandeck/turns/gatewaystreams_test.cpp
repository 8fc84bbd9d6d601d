#include "gatewayfixture_test.h"

using namespace Rattandeck;

/// Streams that may be resumed, at a service with instances of several software versions.
class GatewayStreamsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayStreamsTest);
    CPPUNIT_TEST(originIsToldBeforeTheFirstEventIsPassedOn);
    CPPUNIT_TEST(resumedStreamGoesOnAtItsVersion);
    CPPUNIT_TEST(streamResumedAfterItsLastEventEnds);
    CPPUNIT_TEST(resumedStreamWithoutEventsMustStateItsEnd);
    CPPUNIT_TEST(movedStreamWithoutFurtherEventsMustStateItsEnd);
    CPPUNIT_TEST(streamOfAnUnknownOriginIsRefusedAsNotRun);
    CPPUNIT_TEST(streamWithoutTheRequestThatBeganItIsRefused);
    CPPUNIT_TEST(streamWhoseVersionIsGoneIsRefusedAsNotRun);
    CPPUNIT_TEST(streamDoesNotGoOnAtAServiceThatItsRouteHasLeft);
    CPPUNIT_TEST(interruptedStreamGoesOnAtItsVersionOnly);
    CPPUNIT_TEST(stalledStreamIsKeptWhenItsVersionHasNoOtherInstance);
    CPPUNIT_TEST(versionIsThatOfTheProcessThatRan);
    CPPUNIT_TEST(versionIsUnknownAfterARefusedConnection);
    CPPUNIT_TEST(versionIsUnknownWithoutARecentViewOrAnOpenConnection);
    CPPUNIT_TEST(instanceThatHasNotToldIsAskedRatherThanPassedOver);
    CPPUNIT_TEST(versionIsUnknownAfterAllConnectionsWereLost);
    CPPUNIT_TEST(whatTheProcessTellsComesBeforeItsEntry);
    CPPUNIT_TEST(entryAloneDoesNotTellAtWhichVersionAStreamBegan);
    CPPUNIT_TEST(originIsToldOnceTheProcessHasTold);
    CPPUNIT_TEST(heldStreamThatBreaksGoesOn);
    CPPUNIT_TEST(heldStreamThatBreaksBeginsAnew);
    CPPUNIT_TEST(heldStreamThatEndsIsWhole);
    CPPUNIT_TEST(processIsAskedBeforeAStreamGoesOnThere);
    CPPUNIT_TEST(entryOfAnEarlierProcessLeavesTheVersionUnknown);
    CPPUNIT_TEST(streamGoesOnAfterManyInstancesHaveCrashed);
    CPPUNIT_TEST(resumedStreamLeavesTheQueueFirst);
    CPPUNIT_TEST(streamGoesOnAtAnInstanceThatHasJustAnnouncedItsLeave);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        this->f->configure({ resumable() });
        this->f->gateway.setJournals({ { NodeId("j1"), "j1:1" }, { NodeId("j2"), "j2:1" } });
        this->f->gateway.onJournalUp(NodeId("j1"), FailureDomain("a"));
        this->f->gateway.onJournalUp(NodeId("j2"), FailureDomain("b"));
    }

private:
    static Route resumable()
    {
        Route route = GatewayFixture::route("resumable", CallSafety::Stream);
        route.canResume = true;
        return route;
    }

    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    GatewayFixture::Sent& lastSend() { return this->f->sends.back(); }

    void add(const std::string& id, const std::string& version, std::int64_t startedAt = 1, bool isDraining = false)
    {
        EndpointInstance instance;
        instance.id = EndpointId(id);
        instance.service = ServiceName("service");
        instance.address = id + ":80";
        instance.domain = FailureDomain("here");
        instance.slots = 2;
        instance.version = SoftwareVersion(version);
        instance.startedAt = startedAt;
        instance.isDraining = isDraining;
        this->f->gateway.onInstance(instance);
    }

    CallId begin() { return this->f->call(GatewayFixture::callOn("resumable")); }

    CallId resume(const std::string& request)
    {
        GatewayCall call = GatewayFixture::callOn("resumable");
        call.resumeAfter = "1";
        call.resumedRequest = TurnId(request);
        return this->f->call(std::move(call));
    }

    template <typename Type> std::vector<std::pair<NodeId, Type>> told() const
    {
        std::vector<std::pair<NodeId, Type>> found;
        for (const auto& [node, message] : this->f->aboutStreams) {
            if (const auto* wanted = std::get_if<Type>(&message))
                found.emplace_back(node, *wanted);
        }
        return found;
    }

    /// All journals answer the last question.
    void answer(const std::optional<std::string>& version)
    {
        const auto questions = this->told<StreamOriginRequest>();
        for (const auto& [node, question] : questions) {
            StreamOriginAnswer answer;
            answer.ticket = question.ticket;
            answer.isKnown = version.has_value();
            answer.origin = { ServiceName("service"), SoftwareVersion(version.value_or("")) };
            this->f->gateway.onJournalMessage(node, answer);
        }
    }

    /// The process that serves at the instance's address has told which one it is.
    void tell(const std::string& id, std::int64_t startedAt) { this->f->processes[id + ":80"] = startedAt; }

    void originIsToldBeforeTheFirstEventIsPassedOn()
    {
        this->add("e1", "v1");
        this->tell("e1", 1);
        GatewayCall call = GatewayFixture::callOn("resumable");
        call.timeLeft = Milliseconds(2000);
        this->f->call(call);
        this->f->head(this->lastSend(), 200, true);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
        this->f->event(this->lastSend(), 1);
        const auto begun = this->told<StreamBegun>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), begun.size());
        CPPUNIT_ASSERT(begun[0].second.request == TurnId("r1"));
        CPPUNIT_ASSERT((begun[0].second.origin == StreamOrigin { ServiceName("service"), SoftwareVersion("v1") }));
        CPPUNIT_ASSERT(begun[0].second.retention >= Milliseconds(2000));
        this->f->event(this->lastSend(), 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->told<StreamBegun>().size());
    }

    void resumedStreamGoesOnAtItsVersion()
    {
        for (const char* id : { "e1", "e2", "e3" })
            this->add(id, "v1");
        this->add("e4", "v2");
        this->resume("earlier");
        CPPUNIT_ASSERT(this->f->sends.empty());
        this->answer("v2");
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e4"));
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 2);
        // It is known already what the stream began at.
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
    }

    CallId resumeAtV1()
    {
        this->add("e1", "v1");
        const CallId id = this->resume("earlier");
        this->answer("v1");
        return id;
    }

    /// Guards against a stream that can never be finished: its caller has had all events, but not the end, and what
    /// the instance answers then, a whole stream without events, was taken for one that had broken off.
    void streamResumedAfterItsLastEventEnds()
    {
        const CallId id = this->resumeAtV1();
        this->f->head(this->lastSend(), 200, true);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(id).head.has_value());
        CPPUNIT_ASSERT(this->caller(id).isEnded && !this->caller(id).refusal);
        CPPUNIT_ASSERT(this->caller(id).bytes.empty());
    }

    /// An instance that ended before its first event looks the same if only its connection tells the end.
    void resumedStreamWithoutEventsMustStateItsEnd()
    {
        const CallId id = this->resumeAtV1();
        this->endWithItsConnection();
        CPPUNIT_ASSERT(!this->caller(id).isEnded);
    }

    /// The instance answers without events, and only the end of its connection tells the end of the answer.
    void endWithItsConnection()
    {
        EndpointAnswer answer;
        answer.status = 200;
        answer.isEventStream = answer.isSigned = true;
        this->f->gateway.onAnswerHead(this->lastSend().id, answer);
        this->f->end(this->lastSend());
    }

    /// Guards against a stream that ends as complete before its last event: the instance that it was moved to ended
    /// before its first event.
    void movedStreamWithoutFurtherEventsMustStateItsEnd()
    {
        for (const char* name : { "e1", "e2" }) {
            this->add(name, "v1");
            this->tell(name, 1);
        }
        for (const bool statesItsEnd : { false, true }) {
            const CallId id = this->begin();
            this->f->head(this->lastSend(), 200, true);
            this->f->event(this->lastSend(), 1);
            this->f->end(this->lastSend(), SendOutcome::Broken);
            if (statesItsEnd) {
                this->f->head(this->lastSend(), 200, true);
                this->f->end(this->lastSend());
            } else {
                this->endWithItsConnection();
            }
            CPPUNIT_ASSERT_EQUAL(statesItsEnd, this->caller(id).isEnded);
            CPPUNIT_ASSERT_EQUAL(!statesItsEnd, this->caller(id).isBroken);
        }
    }

    void streamOfAnUnknownOriginIsRefusedAsNotRun()
    {
        this->add("e1", "v1");
        const CallId id = this->resume("earlier");
        this->answer(std::nullopt);
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamUnknown);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun && this->f->sends.empty());
        CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter == Milliseconds(0));
    }

    void streamWithoutTheRequestThatBeganItIsRefused()
    {
        this->add("e1", "v1");
        const CallId id = this->resume("");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamUnknown);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun && this->f->sends.empty());
    }

    void streamWhoseVersionIsGoneIsRefusedAsNotRun()
    {
        this->add("e1", "v2");
        const CallId id = this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamVersionGone);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun && this->f->sends.empty());
    }

    void streamDoesNotGoOnAtAServiceThatItsRouteHasLeft()
    {
        this->add("e1", "v1");
        Route moved = resumable();
        moved.services = { { ServiceName("other"), 1 } };
        this->f->configure({ moved }, 2);
        const CallId id = this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->caller(id).refusal->reason == RejectionReason::StreamVersionGone);
    }

    void interruptedStreamGoesOnAtItsVersionOnly()
    {
        this->add("e1", "v1");
        this->tell("e1", 1);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->add("e2", "v2");
        this->add("e3", "v2");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(this->caller(id).isBroken);

        this->add("e4", "v1");
        this->f->gateway.onInstanceRemoved(EndpointId("e1"));
        const CallId second = this->resume("r1");
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e4"));
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 2);
        this->add("e5", "v1");
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e5") && !this->caller(second).isBroken);
    }

    void stalledStreamIsKeptWhenItsVersionHasNoOtherInstance()
    {
        this->add("e1", "v1");
        this->tell("e1", 1);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->add("e2", "v2");
        this->f->advance(GatewayLimits().streamStallTimeout + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        CPPUNIT_ASSERT(!this->lastSend().isCancelled && !this->caller(id).isBroken);
    }

    void versionIsThatOfTheProcessThatRan()
    {
        this->add("e1", "v1", 1);
        this->begin();
        // The instance has started again with another version since the call was sent.
        this->add("e1", "v2", 2);
        this->tell("e1", 2);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
    }

    void versionIsUnknownAfterARefusedConnection()
    {
        this->add("e1", "v1");
        this->begin();
        this->f->end(this->lastSend(), SendOutcome::Unreachable);
        this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
        // A stream of that version is not sent there unasked.
        this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->lastSend().details.processCheck == ProcessCheck::First);

        const TimePoint now = this->f->timers.now();
        this->f->gateway.onStoreViewed(now + EndpointCosts().registrationPeriod - Milliseconds(1));
        CPPUNIT_ASSERT(!this->f->gateway.endpoints().versionOf(EndpointId("e1"), 1, now));
        this->f->gateway.onStoreViewed(now + EndpointCosts().registrationPeriod);
        CPPUNIT_ASSERT(this->f->gateway.endpoints().versionOf(EndpointId("e1"), 1, now) == SoftwareVersion("v1"));
    }

    void versionIsUnknownWithoutARecentViewOrAnOpenConnection()
    {
        this->add("e1", "v1");
        this->f->connected["e1:80"] = this->f->timers.now();
        this->f->advance(EndpointCosts().registrationPeriod);
        this->f->isStoreViewed = false;
        this->f->advance(EndpointCosts().recentView + Milliseconds(1));
        this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        // The connection broke, and there is a new one: another process may be at its other end.
        this->f->connected["e1:80"] = this->f->timers.now();
        this->resume("another");
        this->answer("v1");
        CPPUNIT_ASSERT(this->lastSend().details.processCheck == ProcessCheck::First);
        this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
    }

    /// Guards against streams that are refused although instances of their version serve: all connections to these had
    /// been lost, and they had not been asked since.
    void instanceThatHasNotToldIsAskedRatherThanPassedOver()
    {
        this->add("e1", "v1", 5);
        this->f->gateway.onConnectionsLost("e1:80");
        const CallId id = this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(!this->caller(id).refusal);
        CPPUNIT_ASSERT(this->lastSend().details.processCheck == ProcessCheck::First);
        // Whoever tells nothing of its start is not asked, and not trusted either.
        this->setUp();
        this->add("e1", "v1", 0);
        this->f->gateway.onConnectionsLost("e1:80");
        const CallId refused = this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->caller(refused).refusal->reason == RejectionReason::StreamVersionGone);
    }

    void versionIsUnknownAfterAllConnectionsWereLost()
    {
        this->add("e1", "v1");
        this->add("e2", "v1");
        const auto versionOf = [&](const char* id) {
            return this->f->gateway.endpoints().versionOf(EndpointId(id), 1, this->f->timers.now());
        };
        // The entry of the process that may have been started since is late.
        this->f->gateway.onConnectionsLost("e1:80");
        this->f->advance(Milliseconds(1000));
        CPPUNIT_ASSERT(!versionOf("e1") && versionOf("e2"));
        this->f->advance(EndpointCosts().registrationPeriod);
        CPPUNIT_ASSERT(versionOf("e1") == SoftwareVersion("v1"));
    }

    void whatTheProcessTellsComesBeforeItsEntry()
    {
        this->add("e1", "v1", 1);
        // The entry is recent, but a later process answers there.
        this->f->processes["e1:80"] = 2;
        const CallId refused = this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->caller(refused).refusal->reason == RejectionReason::StreamVersionGone);
        this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
        // It registers as another version. Neither the age of the view nor a lost connection matters while it answers.
        this->add("e1", "v2", 2);
        this->f->isStoreViewed = false;
        this->f->gateway.onConnectionsLost("e1:80");
        this->f->advance(EndpointCosts().recentView + Milliseconds(1));
        const std::size_t before = this->f->sends.size();
        this->resume("another");
        this->answer("v2");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->f->sends.size());
    }

    /// Guards against review/3: an instance that had started again under its id as another version counted by the entry
    /// of the process before, if its first event came before it told which process it is.
    void entryAloneDoesNotTellAtWhichVersionAStreamBegan()
    {
        this->add("e1", "v1", 5);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        CPPUNIT_ASSERT(!this->caller(id).head);
        // The event is not held for long.
        this->f->advance(GatewayLimits().maxProcessWait);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->told<StreamBegun>().empty());
        // It may tell later.
        this->tell("e1", 5);
        this->f->gateway.onProcessTold("e1:80");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->told<StreamBegun>().size());
    }

    void originIsToldOnceTheProcessHasTold()
    {
        for (const std::int64_t told : { 5, 6 }) {
            this->setUp();
            this->add("e1", "v1", 5);
            const CallId id = this->begin();
            this->f->head(this->lastSend(), 200, true);
            this->f->event(this->lastSend(), 1);
            this->f->event(this->lastSend(), 2);
            CPPUNIT_ASSERT(!this->caller(id).head);
            this->tell("e1", told);
            this->f->gateway.onProcessTold("e1:80");
            this->f->gateway.onProcessTold("e1:80");
            CPPUNIT_ASSERT_EQUAL(std::size_t(told == 5 ? 2 : 0), this->told<StreamBegun>().size());
            CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"), this->caller(id).bytes);
        }
    }

    /// A stream that breaks while its first event is held goes on at its version once its process has told.
    void heldStreamThatBreaksGoesOn()
    {
        this->add("e1", "v1", 5);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->add("e2", "v2", 7);
        this->add("e3", "v1", 8);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
        this->tell("e1", 5);
        this->f->gateway.onProcessTold("e1:80");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e3"));
        CPPUNIT_ASSERT(this->lastSend().details.resumeAfter == "1");
        CPPUNIT_ASSERT(this->f->sends.front().isCancelled);
    }

    /// If its process doesn't tell, what was held is lost, and the stream may begin anew at any version.
    void heldStreamThatBreaksBeginsAnew()
    {
        this->add("e1", "v1", 5);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->add("e2", "v2", 7);
        this->f->end(this->lastSend(), SendOutcome::Broken);
        this->f->advance(GatewayLimits().maxProcessWait);
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e2"));
        CPPUNIT_ASSERT(!this->lastSend().details.resumeAfter);
        this->tell("e2", 7);
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    /// A stream that ends while its first event is held is passed on whole.
    void heldStreamThatEndsIsWhole()
    {
        this->add("e1", "v1", 5);
        const CallId id = this->begin();
        this->f->head(this->lastSend(), 200, true);
        this->f->event(this->lastSend(), 1);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: d1\n\n"), this->caller(id).bytes);
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    void processIsAskedBeforeAStreamGoesOnThere()
    {
        this->add("e1", "v1", 5);
        this->begin();
        CPPUNIT_ASSERT(this->lastSend().details.processCheck == ProcessCheck::Meanwhile);
        this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->lastSend().details.processCheck == ProcessCheck::First);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), this->lastSend().details.startedAt);
        // Another process has answered: the call is placed anew, elsewhere.
        this->add("e2", "v1");
        this->f->processes["e1:80"] = 6;
        this->f->end(this->lastSend(), SendOutcome::NotSent);
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e2"));
    }

    void entryOfAnEarlierProcessLeavesTheVersionUnknown()
    {
        const EndpointId id("e1");
        const auto versionAt = [&](std::int64_t startedAt, Milliseconds later) {
            this->f->gateway.onStoreViewed(this->f->timers.now() + later);
            return this->f->gateway.endpoints().versionOf(id, startedAt, this->f->timers.now() + later);
        };
        this->add("e1", "v1", 1);
        this->add("e1", "v2", 2);
        CPPUNIT_ASSERT(versionAt(2, Milliseconds(0)) == SoftwareVersion("v2"));
        // Written late by the process before.
        this->add("e1", "v1", 1);
        CPPUNIT_ASSERT(!versionAt(1, Milliseconds(0)) && !versionAt(1, Milliseconds(2000)));
        // It stays: the clock of its machine was set back.
        CPPUNIT_ASSERT(versionAt(1, EndpointCosts().registrationPeriod) == SoftwareVersion("v1"));
    }

    /// Guards against streams that are refused although instances of their version serve: the instances of a failure
    /// domain had crashed at one moment, seemed idle, and refused connections until no further send was allowed.
    void streamGoesOnAfterManyInstancesHaveCrashed()
    {
        constexpr int crashed = 8;
        for (int number = 0; number <= crashed; ++number)
            this->add("e" + std::to_string(number), "v1");
        const CallId id = this->resume("earlier");
        this->answer("v1");
        for (int number = 0; number < crashed; ++number) {
            CPPUNIT_ASSERT(!this->caller(id).refusal);
            this->f->end(this->lastSend(), SendOutcome::Unreachable);
        }
        CPPUNIT_ASSERT(!this->caller(id).refusal);
        CPPUNIT_ASSERT_EQUAL(std::size_t(crashed + 1), this->f->sends.size());
        // None is tried twice.
        this->f->end(this->lastSend(), SendOutcome::Unreachable);
        CPPUNIT_ASSERT(this->caller(id).refusal && !this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(crashed + 1), this->f->sends.size());
    }

    void resumedStreamLeavesTheQueueFirst()
    {
        this->add("e1", "v1");
        const auto fill = static_cast<int>(2 * GatewayLimits().resumedMaxLoad);
        for (int number = 0; number < fill; ++number)
            this->begin();
        const std::size_t sent = this->f->sends.size();
        this->f->gateway.onAnswerHead(this->f->sends.front().id, this->loadedAnswer(fill));
        this->begin();
        this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT_EQUAL(sent, this->f->sends.size());
        for (std::size_t number = 0; number < sent; ++number) {
            this->f->head(this->f->sends[number], 200, true);
            this->f->event(this->f->sends[number], 1);
        }
        const auto first = this->f->sends;
        this->f->gateway.onAnswerHead(first.front().id, this->loadedAnswer(static_cast<int>(sent)));
        for (const GatewayFixture::Sent& ended : first)
            this->f->end(ended);
        this->f->advance(GatewayLimits().queueInterval);
        CPPUNIT_ASSERT(this->f->sends.size() > sent);
        CPPUNIT_ASSERT(this->f->decisions.at(sent).resumedRequest == TurnId("earlier"));
    }

    static EndpointAnswer loadedAnswer(int running)
    {
        EndpointAnswer answer;
        answer.status = 200;
        answer.isEventStream = true;
        answer.isSigned = true;
        answer.load = EndpointLoad { static_cast<std::uint32_t>(running), 0, 2 };
        return answer;
    }

    void streamGoesOnAtAnInstanceThatHasJustAnnouncedItsLeave()
    {
        this->add("e1", "v1");
        this->add("e2", "v2");
        this->add("e1", "v1", 1, true);
        this->resume("earlier");
        this->answer("v1");
        CPPUNIT_ASSERT(this->lastSend().details.endpoint == EndpointId("e1"));
        this->f->advance(EndpointCosts().leavingGracePeriod);
        const CallId late = this->resume("another");
        this->answer("v1");
        CPPUNIT_ASSERT(this->caller(late).refusal->reason == RejectionReason::StreamVersionGone);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStreamsTest);
