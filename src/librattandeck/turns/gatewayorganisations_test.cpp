#include "gatewayorganisations.h"

#include "gatewayfixture_test.h"
#include "Rattandeck/turnscope.h"

#include <algorithm>

using namespace Rattandeck;

/// Calls where the configuration has organisations.
class GatewayOrganisationsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayOrganisationsTest);
    CPPUNIT_TEST(holderOfTheKeyIsFound);
    CPPUNIT_TEST(unknownKeysAreRefusedExceptOnPublicRoutes);
    CPPUNIT_TEST(withoutOrganisationsKeysAreIgnored);
    CPPUNIT_TEST(sharedKeyBelongsToTheFirstHolder);
    CPPUNIT_TEST(refusalIsImmediateAndFinal);
    CPPUNIT_TEST(checksAreMadeInTheirOrder);
    CPPUNIT_TEST(emptyListOfOrganisationsRefusesAllKeys);
    CPPUNIT_TEST(keyOfANewConfigurationCounts);
    CPPUNIT_TEST(instanceGetsTheOrganisation);
    CPPUNIT_TEST(sendsWithoutOrganisationsAreAsBefore);
    CPPUNIT_TEST(keyIsHiddenWhenTheConfigurationGetsOrganisationsMeanwhile);
    CPPUNIT_TEST(rankOfTheOrganisationReplacesThatOfTheRoute);
    CPPUNIT_TEST(queueIsOrderedByTheRankOfTheOrganisation);
    CPPUNIT_TEST(fingerprintsOfOrganisationsDiffer);
    CPPUNIT_TEST(turnIsContinuedByItsOrganisation);
    CPPUNIT_TEST(turnOfAnotherOrganisationIsUnknown);
    CPPUNIT_TEST(streamOfAnotherOrganisationIsUnknown);
    CPPUNIT_TEST(turnWithoutAnOrganisationIsUnknownToOrganisations);
    CPPUNIT_TEST(turnStoredBeforeThereWereOrganisationsIsRefusedAsNotRun);
    CPPUNIT_TEST(plainIdThatCannotBeLookedUpIsRefusedAsUnavailable);
    CPPUNIT_TEST(withoutOrganisationsTurnsAreStoredUnderTheirIds);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<GatewayFixture> f;

public:
    void setUp() override
    {
        this->f = std::make_unique<GatewayFixture>();
        this->configure(organisations());
        this->f->addInstance("e1");
        this->f->addInstance("e2");
    }

private:
    static Organisation organisation(const std::string& name, std::optional<std::uint32_t> rank = {})
    {
        Organisation organisation;
        organisation.id = OrganisationId(name);
        organisation.keys = { digestOfKey("key-of-" + name), digestOfKey("spare-of-" + name) };
        organisation.rank = rank;
        return organisation;
    }

    static std::vector<Organisation> organisations() { return { organisation("north"), organisation("south", 12) }; }

    void configure(std::optional<std::vector<Organisation>> organisations, std::uint64_t version = 1)
    {
        RoutingConfig config;
        config.version = version;
        Route plain = GatewayFixture::route("plain", CallSafety::Safe);
        plain.rank = 4;
        Route open = GatewayFixture::route("open", CallSafety::Safe);
        open.isPublic = true;
        Route retained = GatewayFixture::route("retained", CallSafety::Stream);
        retained.retainsTurns = true;
        Route resumable = GatewayFixture::route("resumable", CallSafety::Stream);
        resumable.canResume = true;
        config.routes = { plain, open, retained, resumable };
        ServiceConfig service;
        service.name = ServiceName("service");
        config.services = { service };
        config.organisations = std::move(organisations);
        this->f->gateway.setConfig(config);
    }

    static GatewayCall callOf(const std::string& organisation, const std::string& route = "plain")
    {
        GatewayCall call = GatewayFixture::callOn(route);
        if (!organisation.empty())
            call.key = digestOfKey("key-of-" + organisation);
        return call;
    }

    static GatewayCall turnOf(
        const std::string& organisation, const std::string& request, const std::string& previous = {})
    {
        GatewayCall call = callOf(organisation, "retained");
        call.program = BudgetId("p");
        call.request = TurnId(request);
        call.previousTurn = TurnId(previous);
        return call;
    }

    GatewayFixture::Caller& caller(CallId id) { return this->f->callers.at(id); }
    const GatewayFixture::Sent& lastSend() const { return this->f->sends.back(); }
    RejectionReason refusalOf(CallId id)
    {
        CPPUNIT_ASSERT(this->caller(id).refusal.has_value());
        return this->caller(id).refusal->reason;
    }

    void completeTurn(GatewayCall call)
    {
        const CallId id = this->f->call(std::move(call));
        this->f->runJournals();
        const auto sent = this->lastSend();
        CPPUNIT_ASSERT(sent.call == id);
        this->f->head(sent, 200, true);
        this->f->event(sent, 1);
        this->f->end(sent);
        this->f->runJournals();
        CPPUNIT_ASSERT(this->caller(id).isEnded);
    }

    // Decision -------------------------------------------------------------------------------------------------------

    static std::optional<KeyDigest> keyOf(const char* name) { return digestOfKey("key-of-" + std::string(name)); }

    void holderOfTheKeyIsFound()
    {
        const OrganisationDirectory directory(organisations());
        Route route;
        for (const bool isPublic : { false, true }) {
            route.isPublic = isPublic;
            CPPUNIT_ASSERT((*organisationOf(&directory, route, keyOf("north")))->id == OrganisationId("north"));
            CPPUNIT_ASSERT((*organisationOf(&directory, route, keyOf("south")))->id == OrganisationId("south"));
        }
        const auto spare = organisationOf(&directory, route, digestOfKey("spare-of-south"));
        CPPUNIT_ASSERT((*spare)->id == OrganisationId("south"));
    }

    void unknownKeysAreRefusedExceptOnPublicRoutes()
    {
        const OrganisationDirectory directory(organisations());
        Route route;
        for (const auto& key : { std::optional<KeyDigest>(), keyOf("west"), std::optional(KeyDigest("key-of-north")),
                 std::optional(digestOfKey("north")) }) {
            route.isPublic = false;
            CPPUNIT_ASSERT(organisationOf(&directory, route, key).error() == RejectionReason::KeyUnknown);
            route.isPublic = true;
            CPPUNIT_ASSERT(*organisationOf(&directory, route, key) == nullptr);
        }
    }

    void withoutOrganisationsKeysAreIgnored()
    {
        for (const auto& key : { std::optional<KeyDigest>(), keyOf("north") })
            CPPUNIT_ASSERT(*organisationOf(nullptr, Route(), key) == nullptr);
    }

    void sharedKeyBelongsToTheFirstHolder()
    {
        std::vector<Organisation> listed = organisations();
        listed[1].keys.push_back(digestOfKey("key-of-north"));
        // A key that one organisation lists twice is not shared.
        listed[1].keys.push_back(digestOfKey("key-of-south"));
        const OrganisationDirectory directory(listed);
        CPPUNIT_ASSERT(directory.findByKey(*keyOf("north"))->id == OrganisationId("north"));
        const std::vector<SharedKey> expected { { OrganisationId("north"), OrganisationId("south") } };
        CPPUNIT_ASSERT(findSharedKeys(listed) == expected);
        CPPUNIT_ASSERT(findSharedKeys(organisations()).empty());
    }

    // Calls ----------------------------------------------------------------------------------------------------------

    /// Guards against a refused call that is sent anyway, or whose caller comes back in vain.
    void refusalIsImmediateAndFinal()
    {
        for (const char* name : { "", "west" }) {
            const CallId id = this->f->call(callOf(name));
            CPPUNIT_ASSERT(this->refusalOf(id) == RejectionReason::KeyUnknown);
            CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
            CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter == Milliseconds(0));
        }
        const CallId turn = this->f->call(turnOf("west", "t1", "t0"));
        CPPUNIT_ASSERT(this->refusalOf(turn) == RejectionReason::KeyUnknown);
        CPPUNIT_ASSERT(this->f->sends.empty() && this->f->toJournals.empty());
    }

    void checksAreMadeInTheirOrder()
    {
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("west", "nowhere"))) == RejectionReason::NoRoute);
        this->f = std::make_unique<GatewayFixture>();
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("west"))) == RejectionReason::NotReady);
        GatewayLimits full;
        full.maxCalls = 0;
        this->f = std::make_unique<GatewayFixture>(full);
        this->configure(organisations());
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("west"))) == RejectionReason::KeyUnknown);
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("north"))) == RejectionReason::Overloaded);
    }

    void emptyListOfOrganisationsRefusesAllKeys()
    {
        this->configure(std::vector<Organisation>(), 2);
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("north"))) == RejectionReason::KeyUnknown);
        this->f->call(callOf("", "open"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void keyOfANewConfigurationCounts()
    {
        this->configure(std::vector { organisation("west") }, 2);
        this->f->call(callOf("west"));
        CPPUNIT_ASSERT(this->lastSend().details.organisation == OrganisationId("west"));
        CPPUNIT_ASSERT(this->refusalOf(this->f->call(callOf("north"))) == RejectionReason::KeyUnknown);
        // A call that was admitted before goes on.
        this->configure(organisations(), 3);
        this->f->head(this->lastSend(), 200);
        this->f->end(this->lastSend());
        CPPUNIT_ASSERT(this->caller(CallId(1)).isEnded);
    }

    void instanceGetsTheOrganisation()
    {
        this->f->call(callOf("north"));
        CPPUNIT_ASSERT(this->lastSend().details.hasOrganisations);
        CPPUNIT_ASSERT(this->lastSend().details.organisation == OrganisationId("north"));
        this->f->call(callOf("north", "open"));
        CPPUNIT_ASSERT(this->lastSend().details.organisation == OrganisationId("north"));
        for (const char* name : { "", "west" }) {
            this->f->call(callOf(name, "open"));
            CPPUNIT_ASSERT(this->lastSend().details.hasOrganisations && !this->lastSend().details.organisation);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->f->sends.size());
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        CPPUNIT_ASSERT(this->f->ends.back().organisation == OrganisationId("north"));
    }

    /// Guards against a change for deployments without organisations.
    void sendsWithoutOrganisationsAreAsBefore()
    {
        this->configure(std::nullopt, 2);
        for (const char* name : { "", "north" }) {
            this->f->call(callOf(name));
            const EndpointSend& details = this->lastSend().details;
            CPPUNIT_ASSERT(!details.hasOrganisations && !details.organisation);
            CPPUNIT_ASSERT(details.priority == 4U);
        }
    }

    /// Guards against a key that reaches an instance because its call arrived before the configuration changed.
    void keyIsHiddenWhenTheConfigurationGetsOrganisationsMeanwhile()
    {
        this->configure(std::nullopt, 2);
        this->f->call(callOf("north"));
        this->configure(organisations(), 3);
        this->f->head(this->lastSend(), 503, false, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        CPPUNIT_ASSERT(this->lastSend().details.hasOrganisations && !this->lastSend().details.organisation);
    }

    // Rank -----------------------------------------------------------------------------------------------------------

    void rankOfTheOrganisationReplacesThatOfTheRoute()
    {
        const Organisation urgent = organisation("north", 0);
        const Organisation without = organisation("south");
        Route route;
        route.rank = 4;
        GatewayCallState call;
        call.route = &route;
        CPPUNIT_ASSERT_EQUAL(4U, rankOf(call));
        call.organisation = &urgent;
        CPPUNIT_ASSERT_EQUAL(0U, rankOf(call));
        call.organisation = &without;
        CPPUNIT_ASSERT_EQUAL(4U, rankOf(call));

        this->f->call(callOf("north"));
        CPPUNIT_ASSERT(this->lastSend().details.priority == 4U);
        this->f->call(callOf("south"));
        // Engines know ten ranks.
        CPPUNIT_ASSERT(this->lastSend().details.priority == 9U);
    }

    void queueIsOrderedByTheRankOfTheOrganisation()
    {
        for (int call = 0; call < 6; ++call)
            this->f->call(callOf("north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), this->f->sends.size());
        const CallId later = this->f->call(callOf("south"));
        const CallId sooner = this->f->call(callOf("north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->gateway.queuedCalls());
        this->f->head(this->f->sends.front(), 200);
        this->f->end(this->f->sends.front());
        this->f->advance(Milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), this->f->sends.size());
        CPPUNIT_ASSERT(this->lastSend().call == sooner && this->lastSend().call != later);
    }

    // Fingerprints ---------------------------------------------------------------------------------------------------

    /// Guards against an organisation whose harmless requests are held for the crashes of another one's.
    void fingerprintsOfOrganisationsDiffer()
    {
        const GatewayCall call = GatewayFixture::callOn("plain");
        const Organisation north = organisation("north");
        const Organisation south = organisation("south");
        const Fingerprint none = fingerprintOf(call, nullptr);
        CPPUNIT_ASSERT(fingerprintOf(call, &north) != none);
        CPPUNIT_ASSERT(fingerprintOf(call, &north) != fingerprintOf(call, &south));
        // As computed by the version before organisations.
        CPPUNIT_ASSERT_EQUAL(std::string("12298151419469405155.2707975779098953019"), none.value);
    }

    // Retained turns -------------------------------------------------------------------------------------------------

    void turnIsContinuedByItsOrganisation()
    {
        this->completeTurn(turnOf("north", "t1"));
        const TurnId recorded = scopedTurn(OrganisationId("north"), TurnId("t1"));
        CPPUNIT_ASSERT(this->f->states[NodeId("j1")].transcript(recorded).has_value());
        CPPUNIT_ASSERT(!this->f->states[NodeId("j1")].transcript(TurnId("t1")).has_value());
        this->f->call(turnOf("north", "t2", "t1"));
        this->f->runJournals();
        CPPUNIT_ASSERT_EQUAL(std::string("inputd1\ninput"), *this->lastSend().details.body);
        // Also with the organisation's other key.
        GatewayCall spare = turnOf("north", "t3", "t1");
        spare.key = digestOfKey("spare-of-north");
        this->f->call(std::move(spare));
        this->f->runJournals();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->f->sends.size());
    }

    /// Guards against one organisation reading the turns of another. This gateway holds the transcript in its cache.
    void turnOfAnotherOrganisationIsUnknown()
    {
        this->completeTurn(turnOf("north", "t1"));
        const std::string forged = scopedTurn(OrganisationId("north"), TurnId("t1")).value;
        std::vector<CallId> refused;
        for (const std::string& previous : { std::string("t1"), std::string("5:northt1"), forged })
            refused.push_back(this->f->call(turnOf("south", "s" + previous, previous)));
        refused.push_back(this->f->call(turnOf("south", "s0", "never")));
        for (int round = 0; round < 3; ++round)
            this->f->runJournals();
        for (const CallId id : refused) {
            CPPUNIT_ASSERT(this->refusalOf(id) == RejectionReason::UnknownTurn);
            CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
            CPPUNIT_ASSERT(this->caller(id).refusal->retryAfter == Milliseconds(0));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    /// Guards against an organisation that takes up a stranger's stream, and keeps its text as a turn of its own.
    void streamOfAnotherOrganisationIsUnknown()
    {
        this->f->gateway.setJournals({ { NodeId("j1"), "j1:1" } });
        this->f->gateway.onJournalUp(NodeId("j1"));
        std::vector<TurnId> asked;
        for (const char* organisation : { "north", "south" }) {
            GatewayCall call = callOf(organisation, "resumable");
            call.resumeAfter = "1";
            call.resumedRequest = TurnId("r");
            this->f->call(std::move(call));
            asked.push_back(std::get<StreamOriginRequest>(this->f->aboutStreams.back().second).request);
        }
        CPPUNIT_ASSERT(asked[0] == scopedTurn(OrganisationId("north"), TurnId("r")));
        CPPUNIT_ASSERT(asked[1] == scopedTurn(OrganisationId("south"), TurnId("r")));
    }

    void turnWithoutAnOrganisationIsUnknownToOrganisations()
    {
        RoutingConfig config;
        config.version = 2;
        Route open = GatewayFixture::route("retained", CallSafety::Stream);
        open.retainsTurns = true;
        open.isPublic = true;
        config.routes = { open };
        config.organisations = organisations();
        this->f->gateway.setConfig(config);
        this->completeTurn(turnOf("", "t1"));
        this->f->call(turnOf("", "t2", "t1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->f->sends.size());
        const CallId other = this->f->call(turnOf("north", "t3", "t1"));
        for (int round = 0; round < 3; ++round)
            this->f->runJournals();
        CPPUNIT_ASSERT(this->refusalOf(other) == RejectionReason::UnknownTurn);
    }

    /// Guards against 404 for a turn that exists, and against giving it to an organisation that may not own it.
    void turnStoredBeforeThereWereOrganisationsIsRefusedAsNotRun()
    {
        this->configure(std::nullopt, 2);
        this->completeTurn(turnOf("north", "t1"));
        this->configure(organisations(), 3);
        const CallId id = this->f->call(turnOf("north", "t2", "t1"));
        for (int round = 0; round < 3; ++round)
            this->f->runJournals();
        CPPUNIT_ASSERT(this->refusalOf(id) == RejectionReason::TurnOwnerUnknown);
        CPPUNIT_ASSERT(!this->caller(id).refusal->mayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->f->sends.size());
    }

    void plainIdThatCannotBeLookedUpIsRefusedAsUnavailable()
    {
        const CallId id = this->f->call(turnOf("north", "t2", "t1"));
        // The scoped id is denied; then no journal can be asked.
        const auto isPlainIdLookedUp = [this] {
            return std::ranges::any_of(this->f->toJournals, [](const auto& sent) {
                const auto* fetch = std::get_if<FetchTurn>(&sent.second);
                return fetch && fetch->turn == TurnId("t1");
            });
        };
        for (const char* name : { "j1", "j2", "j3", "j1", "j2" }) {
            if (!isPlainIdLookedUp())
                this->f->runJournal(name);
        }
        CPPUNIT_ASSERT(isPlainIdLookedUp());
        this->f->unlinked = { NodeId("j1"), NodeId("j2"), NodeId("j3") };
        this->f->toJournals.clear();
        this->f->advance(Milliseconds(2000));
        CPPUNIT_ASSERT(this->refusalOf(id) == RejectionReason::JournalsUnavailable);
    }

    void withoutOrganisationsTurnsAreStoredUnderTheirIds()
    {
        this->configure(std::nullopt, 2);
        this->completeTurn(turnOf("north", "t1"));
        CPPUNIT_ASSERT(this->f->states[NodeId("j1")].transcript(TurnId("t1")).has_value());
        const CallId id = this->f->call(turnOf("south", "t2", "t1"));
        this->f->runJournals();
        CPPUNIT_ASSERT(!this->caller(id).refusal && this->f->sends.size() == 2);
        // An id that doesn't exist is looked up once.
        const CallId unknown = this->f->call(turnOf("south", "t3", "never"));
        this->f->runJournals();
        CPPUNIT_ASSERT(this->refusalOf(unknown) == RejectionReason::UnknownTurn);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayOrganisationsTest);
