#include "Rattandeck/configconfirmation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace Rattandeck;

namespace {

constexpr Milliseconds maxAge { 5000 };
constexpr Milliseconds applied { 4500 };

}

/// A gateway's confirmation beside journals whose answers the test makes.
class ConfigConfirmationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigConfirmationTest);
    CPPUNIT_TEST(nineTenthsOfTheBoundAreApplied);
    CPPUNIT_TEST(neverConfirmedIsTooOld);
    CPPUNIT_TEST(nobodyIsAskedWithoutABoundOrKeys);
    CPPUNIT_TEST(ageCountsFromTheQuestion);
    CPPUNIT_TEST(confirmationOfALaterRevisionCountsOnceItIsHere);
    CPPUNIT_TEST(laterRevisionHoldsForAnEarlierConfirmation);
    CPPUNIT_TEST(earlierConfirmationDoesNotReplaceALaterOne);
    CPPUNIT_TEST(anotherJournalIsAskedAfterTheTimeout);
    CPPUNIT_TEST(anotherJournalIsAskedAtOnceIfOneDoesNotKnow);
    CPPUNIT_TEST(lateAnswerCounts);
    CPPUNIT_TEST(unknownTicketIsIgnored);
    CPPUNIT_TEST(journalsThatFollowTheStoreAreAskedFirst);
    CPPUNIT_TEST(ownViewIsUsed);
    CPPUNIT_TEST(storeIsReadWhenNoJournalConfirms);
    CPPUNIT_TEST(storeIsNotReadWhileJournalsConfirm);
    CPPUNIT_TEST(restartedGatewayIsNotConfirmed);
    CPPUNIT_TEST(linkAfterAnOutageIsAskedAtOnce);
    CPPUNIT_TEST_SUITE_END();

    struct Question {
        NodeId to;
        std::uint64_t ticket = 0;
    };

    TimerService timers;
    std::vector<Question> questions;
    std::uint32_t reads = 0;
    std::optional<ConfigConfirmed> ownView;
    std::vector<TimePoint> confirmed;
    std::unique_ptr<ConfigConfirmation> confirmation;

public:
    void setUp() override
    {
        this->timers.advanceTo(TimePoint(std::chrono::hours(1)));
        this->create();
    }

private:
    void create()
    {
        ConfigConfirmation::Io io;
        io.send = [this](const NodeId& to, const Message& message) {
            this->questions.push_back({ to, std::get<ConfigAgeRequest>(message).ticket });
            return true;
        };
        io.readStore = [this] { ++this->reads; };
        io.ownView = [this] { return this->ownView; };
        io.gatewayCount = [] { return 22U; };
        io.onConfirmed = [this](TimePoint at) { this->confirmed.push_back(at); };
        this->confirmation = std::make_unique<ConfigConfirmation>(this->timers, io, 1);
        this->confirmation->setMaxAge(maxAge);
    }

    void advance(Milliseconds time) { this->timers.advanceTo(this->timers.now() + time); }

    void link(const std::vector<std::string>& names)
    {
        for (const std::string& name : names)
            this->confirmation->onLinkUp(NodeId(name));
    }

    void answer(const Question& question, std::uint64_t revision, Milliseconds age, bool isKnown = true)
    {
        // An answer may add a question to the list that this one is in.
        const NodeId from = question.to;
        this->confirmation->onMessage(from, ConfigAgeAnswer { question.ticket, isKnown, revision, age });
    }

    void assertAge(Milliseconds expected) const
    {
        CPPUNIT_ASSERT(this->confirmation->confirmedAt().has_value());
        CPPUNIT_ASSERT_EQUAL(expected.count(),
            std::chrono::duration_cast<Milliseconds>(this->timers.now() - *this->confirmation->confirmedAt()).count());
    }

    void nineTenthsOfTheBoundAreApplied()
    {
        const TimePoint at = this->timers.now();
        CPPUNIT_ASSERT(!isConfigTooOld(at, maxAge, at + applied));
        CPPUNIT_ASSERT(isConfigTooOld(at, maxAge, at + applied + Milliseconds(1)));
        CPPUNIT_ASSERT(keysValidUntil(at, maxAge) == at + applied);
        CPPUNIT_ASSERT(!isConfigTooOld(at, Milliseconds(0), at + std::chrono::hours(1)));
    }

    void neverConfirmedIsTooOld()
    {
        CPPUNIT_ASSERT(isConfigTooOld(std::nullopt, maxAge, this->timers.now()));
        CPPUNIT_ASSERT(!keysValidUntil(std::nullopt, maxAge));
        CPPUNIT_ASSERT(!isConfigTooOld(std::nullopt, Milliseconds(0), this->timers.now()));
    }

    /// Deployments without keys, or without the bound, must not pay for it.
    void nobodyIsAskedWithoutABoundOrKeys()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, false);
        this->advance(Milliseconds(10000));
        CPPUNIT_ASSERT(this->questions.empty());
        this->confirmation->setMaxAge(Milliseconds(0));
        this->confirmation->onConfig(8, true);
        this->advance(Milliseconds(10000));
        CPPUNIT_ASSERT(this->questions.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), this->reads);
        this->confirmation->setMaxAge(maxAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->questions.size());
        this->confirmation->onConfig(9, false);
        this->advance(Milliseconds(10000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->questions.size());
    }

    /// A link that holds the answer, or a journal that was paused before it read the question, must not make the
    /// configuration seem newer.
    void ageCountsFromTheQuestion()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->advance(Milliseconds(200));
        this->answer(this->questions.at(0), 7, Milliseconds(900));
        this->assertAge(Milliseconds(1100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->confirmed.size());
    }

    void confirmationOfALaterRevisionCountsOnceItIsHere()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->answer(this->questions.at(0), 9, Milliseconds(100));
        CPPUNIT_ASSERT(!this->confirmation->confirmedAt());
        this->confirmation->onConfig(8, true);
        CPPUNIT_ASSERT(!this->confirmation->confirmedAt());
        this->confirmation->onConfig(9, true);
        this->assertAge(Milliseconds(100));
    }

    void laterRevisionHoldsForAnEarlierConfirmation()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(9, true);
        this->answer(this->questions.at(0), 7, Milliseconds(100));
        this->assertAge(Milliseconds(100));
    }

    /// Journals follow the store with different delays, and the ones that follow change.
    void earlierConfirmationDoesNotReplaceALaterOne()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->answer(this->questions.at(0), 7, Milliseconds(100));
        this->advance(Milliseconds(500));
        this->answer(this->questions.at(1), 7, Milliseconds(1500));
        this->assertAge(Milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->confirmed.size());
    }

    void anotherJournalIsAskedAfterTheTimeout()
    {
        this->link({ "j1", "j2" });
        this->confirmation->onConfig(7, true);
        this->advance(Milliseconds(299));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->questions.size());
        this->advance(Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->questions.size());
        CPPUNIT_ASSERT(this->questions[0].to != this->questions[1].to);
    }

    void anotherJournalIsAskedAtOnceIfOneDoesNotKnow()
    {
        this->link({ "j1", "j2" });
        this->confirmation->onConfig(7, true);
        this->answer(this->questions.at(0), 0, Milliseconds(0), false);
        CPPUNIT_ASSERT(!this->confirmation->confirmedAt());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->questions.size());
        CPPUNIT_ASSERT(this->questions[0].to != this->questions[1].to);
        this->answer(this->questions.at(1), 0, Milliseconds(0), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->questions.size());
    }

    void lateAnswerCounts()
    {
        this->link({ "j1", "j2" });
        this->confirmation->onConfig(7, true);
        this->advance(Milliseconds(700));
        this->answer(this->questions.at(0), 7, Milliseconds(100));
        this->assertAge(Milliseconds(800));
    }

    /// An answer to a question of an earlier process, or one that comes twice.
    void unknownTicketIsIgnored()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->answer({ NodeId("j1"), this->questions.at(0).ticket + 1 }, 7, Milliseconds(0));
        CPPUNIT_ASSERT(!this->confirmation->confirmedAt());
        this->answer(this->questions.at(0), 7, Milliseconds(0));
        const auto at = this->confirmation->confirmedAt();
        this->advance(Milliseconds(100));
        this->answer(this->questions.at(0), 7, Milliseconds(-1000));
        CPPUNIT_ASSERT(this->confirmation->confirmedAt() == at);
    }

    /// Answers of others are no use, and cost a round trip.
    void journalsThatFollowTheStoreAreAskedFirst()
    {
        this->link({ "j1", "j2", "j3", "j4", "j5", "j6" });
        this->confirmation->onMessage(NodeId("j4"), StoreView { Milliseconds(100) });
        this->confirmation->onConfig(7, true);
        CPPUNIT_ASSERT_EQUAL(std::string("j4"), this->questions.at(0).to.value);
        this->answer(this->questions.at(0), 7, Milliseconds(100));
        this->advance(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("j4"), this->questions.at(1).to.value);
        // The journal has stopped, and another one follows the store in its place.
        this->answer(this->questions.at(1), 7, Milliseconds(100));
        this->advance(Milliseconds(1500));
        this->confirmation->onMessage(NodeId("j2"), StoreView { Milliseconds(100) });
        this->questions.clear();
        this->advance(Milliseconds(500));
        CPPUNIT_ASSERT(
            std::ranges::any_of(this->questions, [](const Question& asked) { return asked.to.value == "j2"; }));
    }

    void ownViewIsUsed()
    {
        this->ownView = ConfigConfirmed { 7, this->timers.now() - Milliseconds(300) };
        this->confirmation->onConfig(7, true);
        this->assertAge(Milliseconds(300));
    }

    /// During an update all journals that follow the store may be of a version that doesn't know the question.
    void storeIsReadWhenNoJournalConfirms()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->advance(Milliseconds(1500));
        CPPUNIT_ASSERT(this->reads >= 1);
        const TimePoint sentAt = this->timers.now() - Milliseconds(200);
        this->confirmation->onStoreRead(7, sentAt);
        this->assertAge(Milliseconds(200));
        const std::uint32_t readBefore = this->reads;
        this->advance(Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(readBefore, this->reads);
        this->advance(Milliseconds(2000));
        CPPUNIT_ASSERT(this->reads > readBefore);
    }

    void storeIsNotReadWhileJournalsConfirm()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        for (int round = 0; round < 100; ++round) {
            this->answer(this->questions.back(), 7, Milliseconds(1600));
            this->advance(Milliseconds(500));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), this->reads);
        CPPUNIT_ASSERT(this->questions.size() <= 102);
    }

    /// What came by gossip or from a disk is not confirmed by that.
    void restartedGatewayIsNotConfirmed()
    {
        this->link({ "j1" });
        this->confirmation->onConfig(7, true);
        this->answer(this->questions.at(0), 7, Milliseconds(0));
        this->create();
        this->confirmation->onConfig(7, true);
        CPPUNIT_ASSERT(!this->confirmation->confirmedAt());
    }

    void linkAfterAnOutageIsAskedAtOnce()
    {
        this->confirmation->onConfig(7, true);
        CPPUNIT_ASSERT(this->questions.empty());
        this->link({ "j1" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->questions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigConfirmationTest);
