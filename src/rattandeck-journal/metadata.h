#pragma once

#include "Rattandeck/journalmembership.h"

#include <string>

/// The metadata file of a journal, which holds the last set that it knew and its synchronisation state.
class JournalMetadata {
public:
    /// Reads the metadata in `folder`. Without a file, the set is empty and the journal is not complete.
    explicit JournalMetadata(std::string folder);

    const Rattandeck::JournalSet& set() const { return this->currentSet; }
    const Rattandeck::JournalStanding& syncState() const { return this->currentSyncState; }

    /// Each writes to disk synchronously and returns whether that succeeded.
    bool noteSet(const Rattandeck::JournalSet& set);
    bool noteStanding(const Rattandeck::JournalStanding& syncState);

private:
    bool write() const;

    std::string folder;
    Rattandeck::JournalSet currentSet;
    Rattandeck::JournalStanding currentSyncState;
};
