#include "store.h"

namespace RattandeckProve {

namespace {

    constexpr Milliseconds callTime { 8 };
    constexpr Milliseconds callTimeout { 1500 };
    constexpr Milliseconds shortestLateness { 1000 };
    constexpr Milliseconds longestLateness { 6000 };

}

void Store::answer(Process& journal, std::uint64_t life, Milliseconds delay, std::function<void()> callback)
{
    this->world.after(delay, [&journal, life, callback = std::move(callback)] { journal.deliver(life, callback); });
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
    this->world.after(callTime, [this, &journal, life = journal.life] {
        if (!this->isReachableFrom(journal.node))
            return this->answer(journal, life, callTimeout, [&journal] { journal.journal->onSetCallFailed(); });
        this->answer(journal, life, Milliseconds(0), [&journal, read = this->stored, version = this->revision] {
            journal.knownRevision = version;
            journal.journal->onSetRead(read);
        });
    });
}

void Store::writeSet(Process& journal, const JournalSet& set)
{
    this->world.after(callTime, [this, &journal, set, life = journal.life, expected = journal.knownRevision] {
        const auto unread = [&journal] { journal.journal->onSetCallFailed(); };
        if (!this->isReachableFrom(journal.node))
            return this->answer(journal, life, callTimeout, unread);
        if (this->losses > 0 && this->world.chance.happens(0.5)) {
            const bool isLate = this->world.chance.happens(0.5);
            const Duration lateness = this->world.chance.between(shortestLateness, longestLateness);
            this->world.after(isLate ? lateness : Duration(0), [this, expected, set] { this->change(expected, set); });
            return this->answer(journal, life, callTimeout, unread);
        }
        if (!this->change(expected, set))
            return this->answer(journal, life, Milliseconds(0), unread);
        this->answer(journal, life, Milliseconds(0), [&journal, set, version = this->revision] {
            journal.knownRevision = version;
            journal.journal->onSetWritten(set);
        });
    });
}

}
