#include "Rattandeck/configconfirmation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace Rattandeck;

namespace {

/// A store whose configuration changes, journals that watch it, and a gateway that asks them. Every message takes a
/// drawn time, up to several seconds, and messages overtake each other, so that pauses of processes and links that hold
/// messages are included.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : random(seed)
    {
        this->timers.advanceTo(TimePoint(std::chrono::hours(1)));
        this->createGateway();
        for (const char* name : { "j1", "j2", "j3" })
            this->watch(NodeId(name));
        this->changeLater();
    }

    /// Runs for a while; the gateway is restarted in the middle.
    void run(const std::function<void()>& check)
    {
        constexpr int steps = 3000;
        constexpr Milliseconds step { 10 };
        for (int number = 0; number < steps; ++number) {
            if (number == steps / 2)
                this->createGateway();
            this->timers.advanceTo(this->timers.now() + step);
            check();
        }
    }

    /// Whether the store had a later configuration than the gateway has when the gateway's was confirmed, as it says.
    bool isConfirmedTooLate() const
    {
        const auto at = this->gateway->confirmedAt();
        return at && this->storeRevisionAt(*at) > this->gatewayRevision;
    }
    bool isConfirmed() const { return this->gateway->confirmedAt().has_value(); }

private:
    struct Journal {
        std::uint64_t revision = 0;
        std::optional<TimePoint> confirmedAt;
    };

    TimerService timers;
    std::mt19937_64 random;
    /// When each revision became current; the first one is 1.
    std::vector<TimePoint> changes;
    std::map<NodeId, Journal> journals;
    std::unique_ptr<ConfigConfirmation> gateway;
    std::uint64_t gatewayRevision = 0;
    std::uint32_t gatewayProcess = 0;

    /// Mostly a few milliseconds, sometimes seconds.
    Milliseconds delay()
    {
        const bool isHeld = this->random() % 8 == 0;
        return Milliseconds(this->random() % (isHeld ? 6000 : 8));
    }

    std::uint64_t storeRevisionAt(TimePoint time) const
    {
        const auto later = std::ranges::upper_bound(this->changes, time);
        return static_cast<std::uint64_t>(later - this->changes.begin());
    }

    void changeLater()
    {
        this->changes.push_back(this->timers.now());
        this->timers.subscribeAfter(Milliseconds(1 + this->random() % 4000), [this] { this->changeLater(); });
    }

    void watch(const NodeId& name)
    {
        const TimePoint sentAt = this->timers.now();
        const Milliseconds wait(this->random() % 800);
        this->timers.subscribeAfter(this->delay() + wait, [this, name, sentAt] {
            const std::uint64_t revision = this->storeRevisionAt(this->timers.now());
            this->timers.subscribeAfter(this->delay(), [this, name, sentAt, revision] {
                Journal& journal = this->journals[name];
                journal.revision = std::max(journal.revision, revision);
                journal.confirmedAt = sentAt;
                this->passOn(revision);
                this->watch(name);
            });
        });
    }

    /// Gossip of the configuration from a journal to the gateway.
    void passOn(std::uint64_t revision)
    {
        this->timers.subscribeAfter(this->delay(), [this, revision, process = this->gatewayProcess] {
            if (process == this->gatewayProcess)
                this->take(revision);
        });
    }

    void take(std::uint64_t revision)
    {
        this->gatewayRevision = std::max(this->gatewayRevision, revision);
        this->gateway->onConfig(revision, true);
    }

    bool onQuestion(const NodeId& journal, const ConfigAgeRequest& request)
    {
        this->timers.subscribeAfter(this->delay(), [this, journal, request, process = this->gatewayProcess] {
            const Journal& known = this->journals[journal];
            ConfigAgeAnswer answer { request.ticket, known.confirmedAt.has_value(), known.revision, Milliseconds(0) };
            if (known.confirmedAt)
                answer.age = std::chrono::ceil<Milliseconds>(this->timers.now() - *known.confirmedAt);
            this->timers.subscribeAfter(this->delay(), [this, journal, answer, process] {
                if (process == this->gatewayProcess)
                    this->gateway->onMessage(journal, answer);
            });
        });
        return true;
    }

    void createGateway()
    {
        ++this->gatewayProcess;
        this->gatewayRevision = 0;
        ConfigConfirmation::Io io;
        io.send = [this](const NodeId& journal, const Message& message) {
            return this->onQuestion(journal, std::get<ConfigAgeRequest>(message));
        };
        io.readStore = [this] { this->readStore(); };
        io.ownView = [] { return std::nullopt; };
        io.gatewayCount = [] { return 1U; };
        io.onConfirmed = [](TimePoint) {};
        this->gateway = std::make_unique<ConfigConfirmation>(this->timers, io, this->random());
        for (const char* name : { "j1", "j2", "j3" })
            this->gateway->onLinkUp(NodeId(name));
        this->gateway->setMaxAge(Milliseconds(5000));
        // What a journal has on its disk, which may be old.
        this->take(1);
    }

    void readStore()
    {
        const TimePoint sentAt = this->timers.now();
        this->timers.subscribeAfter(this->delay(), [this, sentAt, process = this->gatewayProcess] {
            const std::uint64_t revision = this->storeRevisionAt(this->timers.now());
            this->timers.subscribeAfter(this->delay(), [this, sentAt, revision, process] {
                if (process != this->gatewayProcess)
                    return;
                this->take(revision);
                this->gateway->onStoreRead(revision, sentAt);
            });
        });
    }
};

}

class ConfigConfirmationOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigConfirmationOrderTest);
    CPPUNIT_TEST(configurationIsNeverConfirmedAfterItWasReplaced);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a removed key that is admitted for longer than the bound, whatever is delayed.
    void configurationIsNeverConfirmedAfterItWasReplaced()
    {
        CPPUNIT_ASSERT(rc::check("delays", [] {
            Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
            bool wasConfirmed = false;
            fleet.run([&fleet, &wasConfirmed] {
                RC_ASSERT(!fleet.isConfirmedTooLate());
                wasConfirmed = wasConfirmed || fleet.isConfirmed();
            });
            RC_ASSERT(wasConfirmed);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigConfirmationOrderTest);
