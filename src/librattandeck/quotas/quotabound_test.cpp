#include "quotaworld_test.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace Rattandeck;

namespace {

/// Time after which others notice that a process is silent.
constexpr Milliseconds silence { 1200 };
/// Time after which a silent member may be dropped from the set, counted from the end of its links.
constexpr Milliseconds dropAfter { 2000 };
constexpr Milliseconds window { 5000 };
/// A lowered limit is binding one window after this time.
constexpr Milliseconds loweringTime { 3000 };

struct Allowance {
    TimePoint since;
    double rate;
    double burst;
};

/// A deployment to which one thing happens after the other, while one organisation sends as much as it can.
class Trial {
public:
    Trial(std::uint32_t seed, const QuotaSettings& settings)
        : world(5, 6, settings)
        , random(seed)
    {
        this->world.random.seed(seed);
        this->setAllowance();
    }

    /// Returns by how much the calls in any window exceed the bound; at most 0 if they never do.
    double run()
    {
        for (int step = 0; step < 12; ++step) {
            // Little load leaves tokens at the gateways, and no load fills the buckets; both before much load.
            this->intensity = this->draw(0, 2) * 0.5;
            this->load(Milliseconds(this->draw(0, 8000)));
            this->act();
            this->intensity = 12;
            this->load(Milliseconds(this->draw(200, 2500)));
        }
        return this->largestExcess();
    }

private:
    int draw(int least, int most) { return std::uniform_int_distribution<>(least, most)(this->random); }
    NodeId journal() { return NodeId("j" + std::to_string(this->draw(0, 4))); }
    NodeId gateway() { return NodeId("g" + std::to_string(this->draw(0, 5))); }

    void setAllowance()
    {
        // Small and large ones are equally frequent.
        const double rate = std::ceil(std::exp(this->draw(7, 41) / 10.0));
        const Allowance next { this->world.now, rate, double(this->draw(0, static_cast<int>(rate))) };
        this->allowances.push_back(next);
        this->world.setAllowance("org", next.rate, next.burst);
    }

    void act()
    {
        switch (this->draw(0, 8)) {
        case 0:
            this->setAllowance();
            break;
        case 1:
            this->world.lossRate = this->draw(0, 1) * 0.3;
            break;
        case 2:
            // With empty buckets.
            this->intensity = 12;
            this->load(Milliseconds(1000));
            for (int i = this->draw(1, 5); i > 0; --i)
                this->world.restart(this->journal());
            break;
        case 3:
            this->world.restart(this->gateway());
            break;
        case 4:
            this->pause(this->gateway());
            break;
        case 5:
        case 6:
            this->pause(this->journal());
            break;
        case 7:
            this->cut(this->journal());
            break;
        default:
            // Many at once.
            for (int i = 0; i < 6; ++i)
                this->world.pause(NodeId("g" + std::to_string(i)));
            this->world.run(Milliseconds(this->draw(0, 8000)));
            for (int i = 0; i < 6; ++i)
                this->world.resume(NodeId("g" + std::to_string(i)));
        }
    }

    /// Pauses a process; a journal that is away for long is dropped from the set, and comes back later.
    void pause(const NodeId& id)
    {
        this->world.pause(id);
        const Milliseconds time(this->draw(100, 6000));
        this->load(std::min(time, silence));
        if (time > silence) {
            this->unlinkAll(id);
            this->load(std::min(time - silence, dropAfter));
        }
        const auto full = this->world.members;
        if (time > silence + dropAfter && id.value.starts_with("j")) {
            this->drop(id);
            this->load(time - silence - dropAfter);
        }
        this->world.resume(id);
        this->load(Milliseconds(this->draw(0, 100)));
        this->linkAll(id);
        this->world.setMembers(full);
    }

    /// Cuts a journal off from the other journals, not from the gateways.
    void cut(const NodeId& id)
    {
        const auto full = this->world.members;
        for (const auto& member : full) {
            if (member.node != id)
                this->world.unlink(id, member.node);
        }
        this->load(dropAfter);
        if (this->draw(0, 1) == 1) {
            auto rest = full;
            std::erase_if(rest, [&](const JournalMember& member) { return member.node == id; });
            for (const auto& member : rest)
                this->world.issuer(member.node).setMembers(rest);
            this->intensity = 12;
        }
        this->load(Milliseconds(this->draw(0, 5000)));
        this->linkAll(id);
        this->world.setMembers(full);
    }

    void drop(const NodeId& id)
    {
        auto rest = this->world.members;
        std::erase_if(rest, [&](const JournalMember& member) { return member.node == id; });
        this->world.setMembers(rest);
    }

    void unlinkAll(const NodeId& id)
    {
        for (const auto& [other, process] : this->world.processes)
            this->world.unlink(id, other);
    }

    void linkAll(const NodeId& id)
    {
        for (const auto& [other, process] : this->world.processes) {
            const bool isLinked = id.value.starts_with("j") || other.value.starts_with("j");
            if (other != id && isLinked)
                this->world.link(id, other);
        }
    }

    void load(Milliseconds time)
    {
        const double rate = this->intensity * this->allowances.back().rate;
        double due = 0;
        for (Milliseconds elapsed(0); elapsed < time; elapsed += Milliseconds(1)) {
            due += rate / 1000;
            while (due >= 1) {
                due -= 1;
                this->world.call(
                    this->gateway(), "org", this->draw(0, 3) == 0 ? QuotaKind::FirstTurn : QuotaKind::Call);
            }
            this->world.run(Milliseconds(1));
        }
    }

    /// What may be used in a window that ends at `end`.
    double boundAt(TimePoint end) const
    {
        double largest = 0;
        for (std::size_t i = 0; i < this->allowances.size(); ++i) {
            const bool hasEnded
                = i + 1 < this->allowances.size() && this->allowances[i + 1].since + window + loweringTime < end;
            if (hasEnded || this->allowances[i].since > end)
                continue;
            const Allowance& allowance = this->allowances[i];
            const double seconds = std::chrono::duration<double>(window + Milliseconds(400)).count();
            largest = std::max(largest, allowance.rate * seconds + allowance.burst + 12);
        }
        return largest;
    }

    double largestExcess() const
    {
        std::deque<TimePoint> recent;
        double largest = -1e9;
        for (const QuotaWorld::Use& use : this->world.uses) {
            recent.push_back(use.at);
            while (use.at - recent.front() > window)
                recent.pop_front();
            largest = std::max(largest, static_cast<double>(recent.size()) - this->boundAt(use.at));
        }
        return largest;
    }

    QuotaWorld world;
    std::mt19937 random;
    /// Load in units of the allowance.
    double intensity = 1;
    std::vector<Allowance> allowances;
};

}

/// The bound on the calls in any window, whatever happens to processes, links and the set of journals.
class QuotaBoundTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaBoundTest);
    CPPUNIT_TEST(noWindowExceedsTheBound);
    CPPUNIT_TEST(tokensThatDoNotExpireExceedIt);
    CPPUNIT_TEST(tokensOfAnIssuerThatIsAloneExceedIt);
    CPPUNIT_TEST_SUITE_END();

    void noWindowExceedsTheBound()
    {
        CPPUNIT_ASSERT(rc::check("bound", [] {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            Trial trial(seed, {});
            RC_ASSERT(trial.run() <= 0.0);
        }));
    }

    static bool isExceeded(const QuotaSettings& settings)
    {
        for (std::uint32_t seed = 1; seed <= 60; ++seed) {
            if (Trial(seed, settings).run() > 0)
                return true;
        }
        return false;
    }

    /// Shows that the property notices what it is to notice.
    void tokensThatDoNotExpireExceedIt()
    {
        QuotaSettings settings;
        settings.tokenLifetime = Milliseconds(20000);
        settings.seenPeriod = Milliseconds(20000);
        CPPUNIT_ASSERT(isExceeded(settings));
    }

    void tokensOfAnIssuerThatIsAloneExceedIt()
    {
        QuotaSettings settings;
        settings.maxTimeAlone = Milliseconds(60000);
        settings.growthDelay = Milliseconds(0);
        CPPUNIT_ASSERT(isExceeded(settings));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaBoundTest);
