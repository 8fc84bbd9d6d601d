#include "trial.h"

#include "callers.h"
#include "links.h"
#include "store.h"

#include <algorithm>

namespace RattandeckProve {

namespace {

    constexpr Milliseconds step { 2 };
    constexpr Milliseconds linkInterval { 20 };
    constexpr Milliseconds expiryInterval { 1000 };
    constexpr Milliseconds retirementInterval { 200 };
    /// A machine that lost its disk counts as lost until all has been calm for this long.
    constexpr Milliseconds catchUpTime { 4900 };
    /// Longest time that a fault lasts, so that all are over by the end of the window and this.
    constexpr Milliseconds longestFault { 6000 };
    constexpr Milliseconds longestDarkness { 2000 };
    constexpr Milliseconds recoveryTime { 12000 };
    constexpr Milliseconds visitTime { 8000 };
    constexpr Milliseconds slowSync { 600 };
    constexpr std::size_t mostJournals = 5;
    constexpr std::size_t visits = 60;

    class Trial {
    public:
        Trial(const Schedule& schedule, bool keepLog)
            : schedule(schedule)
            , world(schedule.seed)
            , links(world, processes)
            , store(world)
            , callers(world, processes)
        {
            this->world.keepLog = keepLog;
            this->effects.send = [this](Process& from, const NodeId& to, const Message& message) {
                return this->links.send(from, to, message);
            };
            this->effects.readSet = [this](Process& journal) { this->store.readSet(journal); };
            this->effects.writeSet
                = [this](Process& journal, const JournalSet& set) { this->store.writeSet(journal, set); };
            this->effects.makeGatewayIo = [this](Process& gateway) { return this->callers.makeGatewayIo(gateway); };
            this->effects.started = [this](Process& process) {
                if (!process.isJournal())
                    this->callers.onGatewayStarted(process);
            };
            this->effects.ended = [this](const Process& process) {
                this->links.onEnded(process);
                if (!process.isJournal())
                    this->callers.onGatewayEnded(process);
            };
        }

        RunReport run();

    private:
        Process& add(Role role);
        void advanceTo(TimePoint end);
        void tellRetirements();
        void finishRetirement(Process& journal);

        /// The journal or gateway that a fault names.
        Process& target(std::uint32_t index);
        /// A journal that the fault names, on a machine that is there.
        Process& targetJournal(std::uint32_t index);
        std::vector<Process*> journals();
        std::size_t indexOf(const Process& process) const;

        bool bring(const Fault& fault);
        /// Brings a loss about: now, or at the moment at which a turn has just been answered.
        bool strike(const Fault& fault);
        bool stop(Process& process, bool isPowerLost, Milliseconds away);
        bool losePowerOfAll(Milliseconds away);
        bool freeze(Process& process, Milliseconds length);
        bool cut(const Fault& fault, Milliseconds length);
        bool isolate(Process& process, Milliseconds length);
        bool wipe(Process& journal, Milliseconds away);
        bool replace(Process& journal, Milliseconds away);
        bool retire(Process& journal);
        bool slowDisk(Process& journal, Milliseconds length);
        /// Takes a machine's power, and its disk with it. Returns false when another disk is still lost.
        bool loseDisk(Process& journal);
        void noteCalm();

        const Schedule& schedule;
        World world;
        std::vector<std::unique_ptr<Process>> processes;
        Links links;
        Store store;
        Callers callers;
        ProcessEffects effects;
        std::uint32_t disturbances = 0;
        std::uint64_t lastNode = 0;
        /// A disk was lost, and its machine has not had the time yet in which it must have caught up.
        bool isDiskLost = false;
        TimePoint disturbedAt;
        RunReport report;

        void disturbFor(Milliseconds length)
        {
            ++this->disturbances;
            this->world.after(length, [this] { --this->disturbances; });
        }
    };

    // Processes ------------------------------------------------------------------------------------------------------

    Process& Trial::add(Role role)
    {
        const std::string prefix = role == Role::Journal ? "journal" : "gateway";
        this->processes.push_back(std::make_unique<Process>(
            this->world, this->effects, NodeId(prefix + std::to_string(++this->lastNode)), role));
        return *this->processes.back();
    }

    std::vector<Process*> Trial::journals()
    {
        std::vector<Process*> found;
        for (const auto& process : this->processes) {
            if (process->isJournal() && !process->isRemoved)
                found.push_back(process.get());
        }
        return found;
    }

    std::size_t Trial::indexOf(const Process& process) const
    {
        const auto found
            = std::ranges::find_if(this->processes, [&process](const auto& each) { return each.get() == &process; });
        return static_cast<std::size_t>(found - this->processes.begin());
    }

    Process& Trial::targetJournal(std::uint32_t index)
    {
        const auto present = this->journals();
        return *present[index % present.size()];
    }

    Process& Trial::target(std::uint32_t index)
    {
        if (index < journalCount)
            return this->targetJournal(index);
        // Gateways are made after the first journals and stay.
        return *this->processes[index];
    }

    // Operators ------------------------------------------------------------------------------------------------------

    void Trial::tellRetirements()
    {
        this->world.after(retirementInterval, [this] { this->tellRetirements(); });
        for (Process* journal : this->journals()) {
            if (!journal->isAlive || !this->store.isReachableFrom(journal->node))
                continue;
            journal->deliver(journal->life,
                [journal, leaving = this->store.retirements] { journal->journal->setRetiring(leaving); });
            if (journal->canRun() && this->store.retirements.contains(journal->node)
                && journal->journal->isRetirementComplete())
                this->finishRetirement(*journal);
        }
    }

    void Trial::finishRetirement(Process& journal)
    {
        this->world.note(journal.node.value + " is emptied and goes");
        this->store.retirements.erase(journal.node);
        journal.kill(true);
        journal.isRemoved = true;
    }

    // Faults ---------------------------------------------------------------------------------------------------------

    bool Trial::stop(Process& process, bool isPowerLost, Milliseconds away)
    {
        if (!process.isAlive)
            return false;
        process.kill(isPowerLost);
        this->disturbFor(away);
        this->world.after(away, [&process] { process.start(); });
        return true;
    }

    bool Trial::losePowerOfAll(Milliseconds away)
    {
        for (const auto& process : this->processes)
            this->stop(*process, true, away);
        return true;
    }

    bool Trial::freeze(Process& process, Milliseconds length)
    {
        if (!process.canRun())
            return false;
        process.freeze();
        this->disturbFor(length);
        this->world.after(length, [&process, life = process.life] {
            if (process.isAlive && process.life == life)
                process.thaw();
        });
        return true;
    }

    bool Trial::cut(const Fault& fault, Milliseconds length)
    {
        const std::size_t one = this->indexOf(this->target(fault.node));
        const std::size_t other = this->indexOf(this->target(fault.peer));
        if (one == other)
            return false;
        this->links.cut(one, other);
        this->disturbFor(length);
        this->world.after(length, [this, one, other] { this->links.heal(one, other); });
        return true;
    }

    bool Trial::isolate(Process& process, Milliseconds length)
    {
        const std::size_t index = this->indexOf(process);
        const std::size_t count = this->processes.size();
        this->store.beginCut(process.node);
        for (std::size_t other = 0; other < count; ++other) {
            if (other != index)
                this->links.cut(index, other);
        }
        this->disturbFor(length);
        this->world.after(length, [this, index, count, node = process.node] {
            this->store.endCut(node);
            for (std::size_t other = 0; other < count; ++other) {
                if (other != index)
                    this->links.heal(index, other);
            }
        });
        return true;
    }

    bool Trial::loseDisk(Process& journal)
    {
        if (this->isDiskLost)
            return false;
        this->isDiskLost = true;
        journal.kill(true);
        journal.disk = {};
        return true;
    }

    bool Trial::wipe(Process& journal, Milliseconds away)
    {
        if (!this->loseDisk(journal))
            return false;
        this->world.note(journal.node.value + " loses its disk");
        this->disturbFor(away);
        this->world.after(away, [&journal] { journal.start(); });
        return true;
    }

    bool Trial::replace(Process& journal, Milliseconds away)
    {
        if (!this->loseDisk(journal))
            return false;
        journal.isRemoved = true;
        this->store.retirements.erase(journal.node);
        this->world.note(journal.node.value + " goes for good");
        this->disturbFor(away);
        this->world.after(away, [this] { this->add(Role::Journal).start(); });
        return true;
    }

    bool Trial::retire(Process& journal)
    {
        if (this->journals().size() <= 2 || !this->store.retirements.empty())
            return false;
        this->world.note(journal.node.value + " is to be emptied");
        this->store.retirements.insert(journal.node);
        return true;
    }

    bool Trial::slowDisk(Process& journal, Milliseconds length)
    {
        journal.disk.syncTime = slowSync;
        this->disturbFor(length);
        this->world.after(length, [&journal] { journal.disk.syncTime = Disk {}.syncTime; });
        return true;
    }

    bool Trial::strike(const Fault& fault)
    {
        const Milliseconds length = std::min(fault.duration, longestFault);
        const Milliseconds briefly = std::min(fault.duration, longestDarkness);
        switch (fault.kind) {
        case FaultKind::PowerLossOfAll:
            return this->losePowerOfAll(briefly);
        case FaultKind::Wipe: {
            // Of most worth is the journal that has just acknowledged something.
            Process* last = this->world.lastDurable;
            const bool isLastThere = last && last->isAlive && fault.peer % 2 != 0;
            Process& journal = isLastThere ? *last : this->targetJournal(fault.node);
            const bool isLost = this->wipe(journal, length);
            // The others may lose power with it.
            if (isLost && fault.node % 2 == 0)
                this->losePowerOfAll(briefly);
            return isLost;
        }
        default:
            return this->stop(this->target(fault.node), fault.kind == FaultKind::PowerLoss, length);
        }
    }

    bool Trial::bring(const Fault& fault)
    {
        const Milliseconds length = std::min(fault.duration, longestFault);
        Process& process = this->target(fault.node);
        switch (fault.kind) {
        case FaultKind::Kill:
        case FaultKind::PowerLoss:
        case FaultKind::PowerLossOfAll:
        case FaultKind::Wipe:
            if (fault.peer % 2 == 0)
                return this->strike(fault);
            this->callers.atNextAnswer([this, fault] { this->strike(fault); });
            return true;
        case FaultKind::Freeze:
            return this->freeze(process, length);
        case FaultKind::Cut:
            return this->cut(fault, length);
        case FaultKind::BreakLink:
            this->links.breakLink(this->indexOf(process), this->indexOf(this->target(fault.peer)));
            return true;
        case FaultKind::Isolate:
            return this->isolate(process, length);
        case FaultKind::CutStore:
            this->store.beginCut(process.node);
            this->world.after(length, [this, node = process.node] { this->store.endCut(node); });
            return true;
        case FaultKind::Outage:
            this->store.beginOutage();
            this->world.after(length, [this] { this->store.endOutage(); });
            return true;
        case FaultKind::LoseAnswers:
            this->store.beginLosingAnswers();
            this->world.after(length, [this] { this->store.endLosingAnswers(); });
            return true;
        case FaultKind::Replace:
            return this->replace(this->targetJournal(fault.node), length);
        case FaultKind::Retire:
            return this->retire(this->targetJournal(fault.node));
        case FaultKind::Add:
            if (this->journals().size() >= mostJournals)
                return false;
            this->add(Role::Journal).start();
            return true;
        case FaultKind::SlowDisk:
            return this->slowDisk(this->targetJournal(fault.node), length);
        default:
            // Faults of the other system.
            return false;
        }
    }

    /// Lets another disk be lost once all has been calm for the time in which a lost one must have been made up for.
    void Trial::noteCalm()
    {
        if (this->disturbances > 0 || !this->store.isCalm())
            this->disturbedAt = this->world.now();
        else if (this->world.now() - this->disturbedAt >= catchUpTime)
            this->isDiskLost = false;
    }

    // Run ------------------------------------------------------------------------------------------------------------

    void Trial::advanceTo(TimePoint end)
    {
        while (this->world.now() < end) {
            const TimePoint next = this->world.now() + step;
            this->world.clock.advanceTo(next);
            for (const auto& process : this->processes)
                process->advance();
            if (next.time_since_epoch() % linkInterval == Duration(0)) {
                this->links.tick();
                this->noteCalm();
            }
            if (next.time_since_epoch() % expiryInterval == Duration(0)) {
                for (Process* journal : this->journals()) {
                    if (journal->canRun())
                        journal->journal->expire();
                }
            }
        }
    }

    RunReport Trial::run()
    {
        for (std::uint32_t i = 0; i < journalCount; ++i)
            this->add(Role::Journal);
        for (std::uint32_t i = 0; i < gatewayCount; ++i)
            this->add(Role::Gateway);
        for (const auto& process : this->processes)
            this->world.after(this->world.chance.between(Milliseconds(0), Milliseconds(300)),
                [&process = *process] { process.start(); });
        this->tellRetirements();
        const TimePoint mended(journalFaultWindow + longestFault);
        const TimePoint recovered = mended + recoveryTime;
        this->world.after(Milliseconds(1500), [this, mended, recovered] { this->callers.start(mended, recovered); });
        for (const Fault& fault : this->schedule.faults) {
            this->world.after(fault.at, [this, fault] {
                if (!this->bring(fault))
                    return;
                this->world.note("fault: " + toString(fault.kind));
                ++this->report.faults.at(static_cast<std::size_t>(fault.kind));
            });
        }
        this->advanceTo(recovered);
        this->callers.revisit(visits);
        this->advanceTo(recovered + visitTime);
        this->report.events = this->callers.events();
        this->report.promises = this->callers.reports();
        this->report.log = std::move(this->world.log);
        return std::move(this->report);
    }

}

RunReport runJournalTrial(const Schedule& schedule, bool keepLog) { return Trial(schedule, keepLog).run(); }

}
