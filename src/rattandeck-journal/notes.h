#pragma once

#include "Rattandeck/journalmembership.h"

#include <string>

/// The few facts that a journal keeps beside its records: the last set it knew, and its standing.
class JournalNotes {
public:
    /// Reads the notes in `folder`; an empty folder has an empty set and is not complete.
    explicit JournalNotes(std::string folder);

    const Rattandeck::JournalSet& set() const { return this->knownSet; }
    const Rattandeck::JournalSyncState& standing() const { return this->knownStanding; }

    /// Each writes to disk before it returns, and returns whether that succeeded.
    bool persistSet(const Rattandeck::JournalSet& set);
    bool persistSyncState(const Rattandeck::JournalSyncState& standing);

private:
    bool write() const;

    std::string folder;
    Rattandeck::JournalSet knownSet;
    Rattandeck::JournalSyncState knownStanding;
};
