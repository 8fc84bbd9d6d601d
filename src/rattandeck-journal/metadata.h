#pragma once

#include "Rattandeck/journalmembership.h"

#include <string>

/// The few facts that a journal keeps beside its records: the last set it knew, and its standing.
class JournalMetadata {
public:
    /// Reads the notes in `folder`; an empty folder has an empty set and is not complete.
    explicit JournalMetadata(std::string folder);

    const Rattandeck::JournalSet& set() const { return this->currentSet; }
    const Rattandeck::JournalStanding& syncState() const { return this->currentSyncState; }

    /// Each writes to disk before it returns, and returns whether that succeeded.
    bool noteSet(const Rattandeck::JournalSet& set);
    bool noteStanding(const Rattandeck::JournalStanding& syncState);

private:
    bool write() const;

    std::string folder;
    Rattandeck::JournalSet currentSet;
    Rattandeck::JournalStanding currentSyncState;
};
