#include "Rattandeck/crashwatch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class CrashWatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashWatchTest);
    CPPUNIT_TEST(threeCrashesQuarantineARequest);
    CPPUNIT_TEST(lostAnswersWithoutFailureAreNotCrashes);
    CPPUNIT_TEST(failureAfterTheEvidenceWindowIsNotACrash);
    CPPUNIT_TEST(sameCrashIsCountedOnce);
    CPPUNIT_TEST(answerClearsTheRecordOfARequest);
    CPPUNIT_TEST(instancesThatFailAtOneMomentAreNotEnough);
    CPPUNIT_TEST(copiesOfASuspectedRequestAreTriedOneAtATime);
    CPPUNIT_TEST(requestThatCrashesReachesFewInstancesAtManyGateways);
    CPPUNIT_TEST(answerAtAnotherGatewayVoidsCrashes);
    CPPUNIT_TEST(crashReportedAfterTheAnswerOfItsRoundIsVoid);
    CPPUNIT_TEST(reportsOfOtherGatewaysAreCounted);
    CPPUNIT_TEST(crashesExpire);
    CPPUNIT_TEST_SUITE_END();

    CrashWatch watch;
    const Fingerprint request { "f" };
    TimePoint now { std::chrono::seconds(1000) };

    CrashWatch::Send sendTo(const std::string& instance) const
    {
        return { this->request, EndpointId(instance), 1, this->watch.nextRound(this->request) };
    }

    std::vector<CrashReport> crash(const std::string& instance, Milliseconds after = Milliseconds(100))
    {
        this->watch.onAnswerLost(this->sendTo(instance), this->now);
        this->now += after;
        return this->watch.onInstanceFailed(EndpointId(instance), this->now);
    }

    void threeCrashesQuarantineARequest()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->crash("e1").size());
        this->crash("e2");
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        this->crash("e3");
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
        CPPUNIT_ASSERT(!this->watch.isQuarantined(Fingerprint("other"), this->now));
    }

    void lostAnswersWithoutFailureAreNotCrashes()
    {
        for (const char* instance : { "e1", "e2", "e3", "e4" })
            this->watch.onAnswerLost(this->sendTo(instance), this->now);
        this->watch.onInstanceFailed(EndpointId("e5"), this->now);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void failureAfterTheEvidenceWindowIsNotACrash()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            CPPUNIT_ASSERT(this->crash(instance, Milliseconds(6000)).empty());
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void sameCrashIsCountedOnce()
    {
        for (int i = 0; i < 3; ++i)
            this->crash("e1");
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
    }

    void answerClearsTheRecordOfARequest()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        const auto report = this->watch.onAnswered(this->request, this->watch.nextRound(this->request), this->now);
        CPPUNIT_ASSERT(report && report->isAnswer);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        // Nothing is left to count: it takes as many crashes as before.
        this->crash("e4");
        this->crash("e5");
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        this->crash("e6");
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
    }

    /// Guards against review/4: the instances of a failure domain that crashed at one moment, while they ran alike
    /// requests, held such requests everywhere for 10 minutes.
    void instancesThatFailAtOneMomentAreNotEnough()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->watch.onAnswerLost(this->sendTo(instance), this->now);
        for (const char* instance : { "e1", "e2", "e3" })
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->watch.onInstanceFailed(EndpointId(instance), this->now).size());
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now));
        // A request that crashes instances does so again when it is sent again.
        this->crash("e4");
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
    }

    void copiesOfASuspectedRequestAreTriedOneAtATime()
    {
        using Admission = CrashWatch::Admission;
        for (const char* instance : { "e1", "e2", "e3" })
            this->watch.onAnswerLost(this->sendTo(instance), this->now);
        for (const char* instance : { "e1", "e2", "e3" })
            this->watch.onInstanceFailed(EndpointId(instance), this->now);
        CPPUNIT_ASSERT(this->watch.admission(this->request, this->now) == Admission::Trial);
        this->watch.beginTrial(this->request, this->now);
        CPPUNIT_ASSERT(this->watch.admission(this->request, this->now) == Admission::AwaitsTrial);
        // Nothing has come of it: its caller has left, say.
        this->now += CrashWatchLimits().trialPeriod;
        CPPUNIT_ASSERT(this->watch.admission(this->request, this->now) == Admission::Trial);
        this->watch.onAnswered(this->request, this->watch.nextRound(this->request), this->now);
        CPPUNIT_ASSERT(this->watch.admission(this->request, this->now) == Admission::Free);
    }

    /// A request that crashes whatever runs it arrives in many copies at once, at several gateways, again and again.
    void requestThatCrashesReachesFewInstancesAtManyGateways()
    {
        constexpr std::size_t gateways = 4;
        constexpr std::size_t copies = 20;
        std::vector<std::unique_ptr<CrashWatch>> watches(gateways);
        for (auto& each : watches)
            each = std::make_unique<CrashWatch>();
        const auto tell = [&](const CrashReport& report) {
            for (const auto& each : watches)
                each->onReport(report, this->now);
        };
        std::size_t crashes = 0;
        for (int burst = 0; burst < 5; ++burst) {
            std::vector<std::pair<CrashWatch*, CrashWatch::Send>> underWay;
            for (std::size_t copy = 0; copy < copies; ++copy) {
                CrashWatch& at = *watches[copy % gateways];
                const auto admission = at.admission(this->request, this->now);
                if (admission == CrashWatch::Admission::Trial)
                    tell(at.beginTrial(this->request, this->now));
                else if (admission != CrashWatch::Admission::Free)
                    continue;
                const EndpointId instance("e" + std::to_string(crashes + underWay.size()));
                underWay.push_back({ &at, { this->request, instance, 1, at.nextRound(this->request) } });
            }
            for (const auto& [at, send] : underWay)
                at->onAnswerLost(send, this->now);
            for (const auto& [at, send] : underWay) {
                for (const CrashReport& report : at->onInstanceFailed(send.instance, this->now))
                    tell(report);
            }
            crashes += underWay.size();
            this->now += std::chrono::seconds(10);
        }
        // All of the first burst, which nothing told apart from other requests, and one trial.
        CPPUNIT_ASSERT_EQUAL(copies + 1, crashes);
    }

    void answerAtAnotherGatewayVoidsCrashes()
    {
        CrashWatch other;
        for (const char* instance : { "e1", "e2", "e3" }) {
            for (const CrashReport& report : this->crash(instance))
                other.onReport(report, this->now);
        }
        CPPUNIT_ASSERT(other.isQuarantined(this->request, this->now));
        const auto answer = this->watch.onAnswered(this->request, this->watch.nextRound(this->request), this->now);
        other.onReport(*answer, this->now);
        CPPUNIT_ASSERT(!other.isQuarantined(this->request, this->now));
    }

    /// Reports reach gateways in any order.
    void crashReportedAfterTheAnswerOfItsRoundIsVoid()
    {
        const auto first = this->crash("e1");
        const auto second = this->crash("e2");
        const auto third = this->crash("e3");
        const auto answer = this->watch.onAnswered(this->request, this->watch.nextRound(this->request), this->now);
        CrashWatch other;
        other.onReport(*answer, this->now);
        for (const auto* reports : { &third, &first, &second })
            other.onReport(reports->front(), this->now);
        CPPUNIT_ASSERT(!other.isQuarantined(this->request, this->now));
    }

    void reportsOfOtherGatewaysAreCounted()
    {
        this->crash("e1");
        this->watch.onReport({ this->request, "e2/1", Milliseconds(60000), 1 }, this->now);
        this->watch.onReport({ this->request, "e3/1", Milliseconds(60000), 2 }, this->now);
        CPPUNIT_ASSERT(this->watch.isQuarantined(this->request, this->now));
    }

    void crashesExpire()
    {
        for (const char* instance : { "e1", "e2", "e3" })
            this->crash(instance);
        CPPUNIT_ASSERT(!this->watch.isQuarantined(this->request, this->now + Milliseconds(600001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);
