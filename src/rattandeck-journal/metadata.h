#pragma once

#include "Rattandeck/journalmembership.h"

#include <string>

/// The metadata file of a journal, which holds the last set that it knew and its synchronisation state.
class JournalMetadata {
public:
    /// Reads the metadata in `folder`. Without a file, the set is empty and the journal is not complete.
    explicit JournalMetadata(std::string folder);

    const Rattandeck::JournalSet& set() const { return this->currentSet; }
    const Rattandeck::JournalSyncState& syncState() const { return this->currentSyncState; }

    /// Each writes to disk synchronously and returns whether that succeeded.
    bool persistSet(const Rattandeck::JournalSet& set);
    bool persistSyncState(const Rattandeck::JournalSyncState& syncState);

private:
    bool write() const;

    std::string folder;
    Rattandeck::JournalSet currentSet;
    Rattandeck::JournalSyncState currentSyncState;
};
