#pragma once

#include "files.h"
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

    /// Whether the disk holds the set and the state. If not, `retry` is to be called until it does.
    bool isWritten() const { return this->isOnDisk; }
    /// Writes again what could not be written. Returns `isWritten`.
    bool retry();
    FolderQuota& quota() { return this->folderQuota; }

private:
    bool write();
    bool replaceFile() const;

    std::string folder;
    FolderQuota folderQuota { this->folder };
    bool isOnDisk = true;
    Rattandeck::JournalSet currentSet;
    Rattandeck::JournalSyncState currentSyncState;
};
