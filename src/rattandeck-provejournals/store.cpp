#include "store.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds callTime { 8 };
    constexpr Milliseconds callTimeout { 1500 };
    constexpr Milliseconds minWriteDelay { 1000 };
    constexpr Milliseconds maxWriteDelay { 6000 };

}

void Store::answer(Process& journal, std::uint64_t runNumber, Milliseconds delay, std::function<void()> callback)
{
    this->world.after(
        delay, [&journal, runNumber, callback = std::move(callback)] { journal.deliver(runNumber, callback); });
}

bool Store::change(std::uint64_t expectedRevision, const JournalSet& set)
{
    if (expectedRevision != this->revision)
        return false;
    this->stored = set;
    ++this->revision;
    return true;
}

void Store::readSet(Process& journal)
{
    this->world.after(callTime, [this, &journal, runNumber = journal.runNumber] {
        if (!this->isReachableFrom(journal.node))
            return this->answer(journal, runNumber, callTimeout, [&journal] { journal.journal->onSetCallFailed(); });
        this->answer(journal, runNumber, Milliseconds(0), [&journal, read = this->stored, version = this->revision] {
            journal.knownRevision = version;
            journal.journal->onSetRead(read);
        });
    });
}

void Store::writeSet(Process& journal, const JournalSet& set)
{
    this->world.after(callTime, [this, &journal, set, runNumber = journal.runNumber, expected = journal.knownRevision] {
        const auto failed = [&journal] { journal.journal->onSetCallFailed(); };
        if (!this->isReachableFrom(journal.node))
            return this->answer(journal, runNumber, callTimeout, failed);
        if (this->losses > 0 && this->world.chance.happens(0.5)) {
            const bool isLate = this->world.chance.happens(0.5);
            const Duration writeDelay = this->world.chance.between(minWriteDelay, maxWriteDelay);
            this->world.after(
                isLate ? writeDelay : Duration(0), [this, expected, set] { this->change(expected, set); });
            return this->answer(journal, runNumber, callTimeout, failed);
        }
        if (!this->change(expected, set))
            return this->answer(journal, runNumber, Milliseconds(0), failed);
        this->answer(journal, runNumber, Milliseconds(0), [&journal, set, version = this->revision] {
            journal.knownRevision = version;
            journal.journal->onSetWritten(set);
        });
    });
}

}
