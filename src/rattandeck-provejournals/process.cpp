#include "world.h"

namespace RattandeckProve {

// Disk ---------------------------------------------------------------------------------------------------------------

void Disk::makeDurable(std::uint64_t count)
{
    while (this->durableCount < count && !this->written.empty()) {
        this->durable.push_back(std::move(this->written.front()));
        this->written.pop_front();
        ++this->durableCount;
    }
}

RecoveredRecord Disk::found(std::size_t index) const
{
    const JournalRecord& record = this->durable[index];
    if (const auto* turn = std::get_if<RetainedTurn>(&record)) {
        return TurnOnDisk { turn->id, turn->previous, turn->input.size() + turn->output.size(), turn->retention,
            { 0, index, 0 } };
    }
    if (const auto* claim = std::get_if<SettleClaim>(&record))
        return *claim;
    return std::get<CrashReports>(record);
}

void Disk::loseUnsynced(Chance& chance, bool canLoseAll)
{
    const bool isAllLost = canLoseAll && chance.happens(0.5);
    const std::uint64_t retained = isAllLost ? 0 : chance.below(this->written.size() + 1);
    this->makeDurable(this->durableCount + retained);
    this->written.clear();
    this->appendedCount = this->durableCount;
    this->lastSync = {};
}

// Process ------------------------------------------------------------------------------------------------------------

Process::Process(World& world, const ProcessEffects& effects, NodeId node, Role role)
    : world(world)
    , effects(effects)
    , node(std::move(node))
    , role(role)
{
}

void Process::start()
{
    if (this->isRunning || this->isRemoved)
        return;
    ++this->runNumber;
    this->isRunning = true;
    this->isFrozen = false;
    this->knownRevision = 0;
    this->timers = std::make_unique<TimerService>();
    this->timers->advanceTo(this->world.now());
    this->world.note(this->node.value + " starts");
    if (this->isJournal())
        this->startJournal();
    else
        this->startGateway();
    this->effects.started(*this);
}

void Process::startJournal()
{
    JournalIo& io = *this;
    this->journal = std::make_unique<Journal>(
        *this->timers, io, JournalMember { this->node, this->address() }, JournalMembershipLimits {});
    for (std::size_t i = 0; i < this->disk.durable.size(); ++i)
        this->journal->restore(this->disk.found(i));
    this->journal->start(this->disk.persistedSet, this->disk.persistedSyncState);
}

void Process::startGateway()
{
    this->gatewayIo = this->effects.makeGatewayIo(*this);
    JournalClientLimits limits;
    // Without a cache, every continued turn is read from the journals.
    limits.cacheBytes = 0;
    // Unlike drawn ones, these make a run repeatable.
    constexpr unsigned ticketBits = 32;
    limits.firstTicket = this->runNumber << ticketBits;
    GatewayLimits gatewayLimits;
    gatewayLimits.origins.firstTicket = limits.firstTicket;
    this->client = std::make_unique<JournalClient>(*this->timers, limits,
        [this](const NodeId& to, const Message& message) { return this->effects.send(*this, to, message); });
    this->gateway = std::make_unique<Gateway>(
        *this->timers, *this->gatewayIo, *this->client, FailureDomain("here"), gatewayLimits);
}

void Process::end()
{
    this->isRunning = false;
    this->isFrozen = false;
    this->inbox.clear();
    this->gateway.reset();
    this->client.reset();
    this->gatewayIo.reset();
    this->journal.reset();
    this->timers.reset();
    this->effects.ended(*this);
}

void Process::kill(bool isPowerLost)
{
    if (!this->isRunning)
        return;
    this->world.note(this->node.value + (isPowerLost ? " loses power" : " is killed"));
    this->end();
    this->disk.loseUnsynced(this->world.chance, isPowerLost);
}

void Process::freeze()
{
    this->world.note(this->node.value + " is frozen");
    this->isFrozen = true;
}

void Process::resume()
{
    this->world.note(this->node.value + " resumes");
    this->isFrozen = false;
    this->advance();
    const std::uint64_t currentRun = this->runNumber;
    while (!this->inbox.empty() && this->isRunning && this->runNumber == currentRun) {
        const auto next = std::move(this->inbox.front());
        this->inbox.pop_front();
        next();
    }
}

void Process::deliver(std::uint64_t targetRun, std::function<void()> callback)
{
    if (!this->isRunning || this->runNumber != targetRun)
        return;
    if (this->isFrozen) {
        this->inbox.push_back(std::move(callback));
        return;
    }
    this->timers->advanceTo(this->world.now());
    callback();
}

void Process::advance()
{
    if (this->canRun())
        this->timers->advanceTo(this->world.now());
}

void Process::onLinkUp(const Process& peer)
{
    if (this->isJournal())
        this->journal->onLinkUp(peer.node, peer.role);
}

void Process::onLinkDown(const Process& peer)
{
    if (this->isJournal())
        this->journal->onLinkDown(peer.node);
    else
        this->client->onLinkDown(peer.node);
}

void Process::onMessage(const NodeId& from, const Message& message)
{
    if (this->isJournal()) {
        this->journal->onMessage(from, message);
        return;
    }
    if (const auto* set = std::get_if<JournalSet>(&message))
        this->client->setMembers(*set);
    if (const auto* crashes = std::get_if<CrashReports>(&message))
        this->gateway->onCrashReports(*crashes);
    this->client->onMessage(from, message);
}

std::optional<RetainedTurn> Process::readTurn(const DiskLocation& location)
{
    return std::get<RetainedTurn>(this->disk.durable.at(location.offset));
}

void Process::append(const JournalRecord& record)
{
    this->disk.written.push_back(record);
    ++this->disk.appendedCount;
}

void Process::sync(std::function<void()> onDurable)
{
    const TimePoint done = std::max(this->world.now() + this->disk.syncTime, this->disk.lastSync);
    this->disk.lastSync = done;
    const std::uint64_t count = this->disk.appendedCount;
    const std::uint64_t currentRun = this->runNumber;
    this->world.clock.subscribeAt(done, [this, count, currentRun, onDurable = std::move(onDurable)] {
        this->deliver(currentRun, [this, count, onDurable] {
            const std::uint64_t before = this->disk.durable.size();
            this->disk.makeDurable(count);
            for (std::uint64_t i = before; i < this->disk.durable.size(); ++i) {
                if (const auto* turn = std::get_if<RetainedTurn>(&this->disk.durable[i]))
                    this->journal->onWritten(turn->id, { 0, i, 0 });
            }
            this->world.lastSynced = this;
            onDurable();
        });
    });
}

}
