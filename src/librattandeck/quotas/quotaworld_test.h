#pragma once

#include "Rattandeck/quotaholder.h"
#include "Rattandeck/quotaissuer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

/// Gateways and journals with the allowances of organisations, joined by links with a latency. Each process has timers
/// of its own, so that it can be paused.
class QuotaWorld {
public:
    struct Use {
        Rattandeck::OrganisationId organisation;
        Rattandeck::TimePoint at;
    };
    /// Tells whether the call was sent.
    using Done = std::function<void(bool isSent)>;
    struct Counts {
        /// Refused while fewer calls than the allowance had been sent in the last 5 s.
        std::uint64_t refusedBelow = 0;
        std::uint64_t calls = 0;
        std::uint64_t sent = 0;
        std::uint64_t refused = 0;
        std::uint64_t unavailable = 0;
    };

    QuotaWorld(std::size_t journals, std::size_t gateways, Rattandeck::QuotaSettings settings = {},
        Rattandeck::Milliseconds latency = Rattandeck::Milliseconds(2))
        : settings(settings)
        , latency(latency)
    {
        for (std::size_t i = 0; i < journals; ++i)
            this->members.push_back({ Rattandeck::NodeId("j" + std::to_string(i)), {} });
        for (const auto& member : this->members)
            this->startJournal(member.node);
        for (std::size_t i = 0; i < gateways; ++i)
            this->startGateway(Rattandeck::NodeId("g" + std::to_string(i)));
        for (auto& [id, process] : this->processes) {
            for (const auto& member : this->members) {
                if (member.node != id)
                    this->link(id, member.node);
            }
        }
    }

    // Processes ------------------------------------------------------------------------------------------------------

    struct Process {
        Rattandeck::TimerService timers;
        std::unique_ptr<Rattandeck::QuotaIssuer> issuer;
        std::unique_ptr<Rattandeck::QuotaHolder> holder;
        bool isPaused = false;
        std::uint64_t incarnation = 0;
    };

    void startJournal(const Rattandeck::NodeId& id)
    {
        using namespace Rattandeck;
        auto process = std::make_unique<Process>();
        process->incarnation = ++this->lastIncarnation;
        process->timers.updateNow(this->now);
        process->issuer = std::make_unique<QuotaIssuer>(
            process->timers, id,
            [this, id](const NodeId& to, const Message& message) { return this->post(id, to, message); },
            this->settings);
        process->issuer->setOrganisations(this->organisations);
        process->issuer->setMembers(this->members);
        this->processes[id] = std::move(process);
    }

    void startGateway(const Rattandeck::NodeId& id)
    {
        using namespace Rattandeck;
        auto process = std::make_unique<Process>();
        process->incarnation = ++this->lastIncarnation;
        process->timers.updateNow(this->now);
        QuotaHolder::Io io;
        io.send = [this, id](const NodeId& to, const Message& message) { return this->post(id, to, message); };
        io.onOutcome = [this, id](QuotaHolder::WaiterId waiter, const QuotaHolder::Outcome& outcome) {
            this->onOutcome(id, waiter, outcome);
        };
        QuotaSettings own = this->settings;
        own.seed = static_cast<std::uint32_t>(process->incarnation);
        process->holder = std::make_unique<QuotaHolder>(process->timers, id, std::move(io), own);
        process->holder->setMembers(this->members);
        this->processes[id] = std::move(process);
    }

    /// Ends a process and starts another one under its id.
    void restart(const Rattandeck::NodeId& id)
    {
        const bool isJournal = this->processes.at(id)->issuer != nullptr;
        std::vector<Rattandeck::NodeId> peers;
        for (const auto& [a, b] : this->links) {
            if (a == id)
                peers.push_back(b);
        }
        for (const auto& peer : peers)
            this->unlink(id, peer);
        this->processes.erase(id);
        std::erase_if(this->waiting, [&](const auto& entry) { return entry.first.first == id; });
        if (isJournal)
            this->startJournal(id);
        else
            this->startGateway(id);
        for (const auto& peer : peers)
            this->link(id, peer);
    }

    void pause(const Rattandeck::NodeId& id) { this->processes.at(id)->isPaused = true; }
    void resume(const Rattandeck::NodeId& id)
    {
        Process& process = *this->processes.at(id);
        process.isPaused = false;
        process.timers.advanceTo(this->now);
    }

    Rattandeck::QuotaHolder& holder(const Rattandeck::NodeId& id) { return *this->processes.at(id)->holder; }
    Rattandeck::QuotaIssuer& issuer(const Rattandeck::NodeId& id) { return *this->processes.at(id)->issuer; }

    // Links ----------------------------------------------------------------------------------------------------------

    void link(const Rattandeck::NodeId& a, const Rattandeck::NodeId& b)
    {
        if (!this->links.insert({ a, b }).second)
            return;
        this->links.insert({ b, a });
        this->tellLink(a, b, true);
        this->tellLink(b, a, true);
    }

    void unlink(const Rattandeck::NodeId& a, const Rattandeck::NodeId& b)
    {
        if (this->links.erase({ a, b }) == 0)
            return;
        this->links.erase({ b, a });
        std::erase_if(this->messages, [&](const auto& entry) {
            const Posted& posted = entry.second;
            return (posted.from == a && posted.to == b) || (posted.from == b && posted.to == a);
        });
        this->tellLink(a, b, false);
        this->tellLink(b, a, false);
    }

    // Configuration --------------------------------------------------------------------------------------------------

    void setAllowance(const std::string& id, double rate, double burst)
    {
        using namespace Rattandeck;
        std::erase_if(this->organisations, [&](const Organisation& known) { return known.id.value == id; });
        this->organisations.push_back({ OrganisationId(id), {}, {}, CallAllowance { CallRate(rate), burst } });
        for (auto& [node, process] : this->processes) {
            if (process->issuer && !process->isPaused)
                process->issuer->setOrganisations(this->organisations);
        }
    }

    void setMembers(const std::vector<Rattandeck::JournalMember>& next)
    {
        this->members = next;
        for (auto& [node, process] : this->processes) {
            if (process->issuer && !process->isPaused)
                process->issuer->setMembers(next);
            else if (process->holder)
                process->holder->setMembers(next);
        }
    }

    // Calls ----------------------------------------------------------------------------------------------------------

    void call(
        const Rattandeck::NodeId& gateway, const std::string& organisation,
        Rattandeck::QuotaKind kind = Rattandeck::QuotaKind::Call, const Done& done = [](bool) {})
    {
        using namespace Rattandeck;
        const OrganisationId id(organisation);
        ++this->counts[id].calls;
        if (this->processes.at(gateway)->isPaused)
            return;
        const std::uint64_t waiter = ++this->lastWaiter;
        const auto outcome = this->holder(gateway).acquire(id, this->allowanceOf(id), kind, waiter);
        if (!outcome)
            this->refuse({ id, done }, outcome.error());
        else if (*outcome)
            this->use(gateway, { id, done }, **outcome);
        else
            this->waiting[{ gateway, waiter }] = { id, done };
    }

    Rattandeck::CallAllowance allowanceOf(const Rattandeck::OrganisationId& id) const
    {
        for (const Rattandeck::Organisation& known : this->organisations) {
            if (known.id == id)
                return *known.allowance;
        }
        return {};
    }

    /// Advances the time in steps of a millisecond.
    void run(Rattandeck::Milliseconds time)
    {
        const auto until = this->now + time;
        while (this->now < until) {
            this->now += Rattandeck::Milliseconds(1);
            for (auto& [id, process] : this->processes) {
                if (!process->isPaused)
                    process->timers.advanceTo(this->now);
            }
            this->deliver();
        }
    }

    /// The largest number of calls in any window, in excess of `rate` x `window` + `burst`.
    double largestExcess(const std::string& organisation, double rate, double burst,
        Rattandeck::Milliseconds window = Rattandeck::Milliseconds(5000)) const
    {
        std::deque<Rattandeck::TimePoint> recent;
        double largest = 0;
        const double allowed = rate * std::chrono::duration<double>(window).count() + burst;
        for (const Use& use : this->uses) {
            if (use.organisation.value != organisation)
                continue;
            recent.push_back(use.at);
            while (use.at - recent.front() > window)
                recent.pop_front();
            largest = std::max(largest, static_cast<double>(recent.size()) - allowed);
        }
        return largest;
    }

    Rattandeck::TimePoint now { std::chrono::seconds(1000) };
    std::vector<Rattandeck::JournalMember> members;
    std::vector<Use> uses;
    std::map<Rattandeck::OrganisationId, Counts> counts;
    std::uint64_t messagesSent = 0;
    /// Part of the messages that are lost.
    double lossRate = 0;
    std::mt19937 random { 1 };
    std::map<Rattandeck::NodeId, std::unique_ptr<Process>> processes;
    /// Time from a token's use to the write of the call.
    Rattandeck::Milliseconds writeDelay { 0 };

private:
    struct Call {
        Rattandeck::OrganisationId organisation;
        Done done;
    };
    struct Posted {
        Rattandeck::NodeId from;
        Rattandeck::NodeId to;
        Rattandeck::Message message;
    };

    bool post(const Rattandeck::NodeId& from, const Rattandeck::NodeId& to, const Rattandeck::Message& message)
    {
        if (!this->links.contains({ from, to }))
            return false;
        ++this->messagesSent;
        if (std::uniform_real_distribution<>(0, 1)(this->random) >= this->lossRate)
            this->messages.emplace(this->now + this->latency, Posted { from, to, message });
        return true;
    }

    void deliver()
    {
        std::vector<Posted> due;
        for (auto next = this->messages.begin(); next != this->messages.end() && next->first <= this->now;) {
            const auto process = this->processes.find(next->second.to);
            if (process != this->processes.end() && process->second->isPaused) {
                ++next;
                continue;
            }
            due.push_back(std::move(next->second));
            next = this->messages.erase(next);
        }
        for (const Posted& posted : due) {
            const auto found = this->processes.find(posted.to);
            if (found == this->processes.end())
                continue;
            found->second->timers.updateNow(this->now);
            if (found->second->issuer)
                found->second->issuer->onMessage(posted.from, posted.message);
            else
                found->second->holder->onMessage(posted.from, posted.message);
        }
    }

    void tellLink(const Rattandeck::NodeId& at, const Rattandeck::NodeId& peer, bool isUp)
    {
        using namespace Rattandeck;
        const auto found = this->processes.find(at);
        if (found == this->processes.end())
            return;
        const bool isPeerJournal = peer.value.starts_with("j");
        const Role role = isPeerJournal ? Role::Journal : Role::Gateway;
        Process& process = *found->second;
        if (process.issuer && isUp)
            process.issuer->onLinkUp(peer, role);
        else if (process.issuer)
            process.issuer->onLinkDown(peer);
        else if (isUp)
            process.holder->onLinkUp(peer);
        else
            process.holder->onLinkDown(peer);
    }

    void onOutcome(
        const Rattandeck::NodeId& gateway, std::uint64_t waiter, const Rattandeck::QuotaHolder::Outcome& outcome)
    {
        const auto found = this->waiting.find({ gateway, waiter });
        if (found == this->waiting.end())
            return;
        const Call call = found->second;
        this->waiting.erase(found);
        if (outcome)
            this->use(gateway, call, *outcome);
        else
            this->refuse(call, outcome.error());
    }

    /// The call is written if the token is still valid then, by the actual time.
    void use(const Rattandeck::NodeId& gateway, const Call& call, const Rattandeck::QuotaToken& token)
    {
        const Rattandeck::OrganisationId& organisation = call.organisation;
        if (this->now + this->writeDelay > token.useBy) {
            this->holder(gateway).giveBack(organisation, token);
            return;
        }
        ++this->counts[organisation].sent;
        this->uses.push_back({ organisation, this->now });
        this->recent[organisation].push_back(this->now);
        call.done(true);
    }

    void refuse(const Call& call, const Rattandeck::QuotaRefusal& refusal)
    {
        Counts& own = this->counts[call.organisation];
        ++(refusal.isUnavailable ? own.unavailable : own.refused);
        auto& sent = this->recent[call.organisation];
        while (!sent.empty() && this->now - sent.front() > Rattandeck::Milliseconds(5000))
            sent.pop_front();
        for (const Rattandeck::Organisation& known : this->organisations) {
            if (known.id == call.organisation
                && double(sent.size()) + 1 <= 5 * known.allowance->rate.value + known.allowance->burst)
                ++own.refusedBelow;
        }
        call.done(false);
    }

    std::map<Rattandeck::OrganisationId, std::deque<Rattandeck::TimePoint>> recent;

    Rattandeck::QuotaSettings settings;
    Rattandeck::Milliseconds latency;
    std::vector<Rattandeck::Organisation> organisations;
    std::set<std::pair<Rattandeck::NodeId, Rattandeck::NodeId>> links;
    std::multimap<Rattandeck::TimePoint, Posted> messages;
    std::map<std::pair<Rattandeck::NodeId, std::uint64_t>, Call> waiting;
    std::uint64_t lastWaiter = 0;
    std::uint64_t lastIncarnation = 0;
};
