#pragma once

#include "Rattandeck/journalmessages.h"

#include <string>

/// The few facts that a journal keeps beside its records: the last set it knew, and whether it was complete.
class JournalNotes {
public:
    /// Reads the notes in `folder`; an empty folder has an empty set and is not complete.
    explicit JournalNotes(std::string folder);

    const Rattandeck::JournalSet& set() const { return this->knownSet; }
    bool isComplete() const { return this->complete; }

    /// Each writes to disk before it returns, and returns whether that succeeded.
    bool noteSet(const Rattandeck::JournalSet& set);
    bool noteComplete(bool isComplete);

private:
    bool write() const;

    std::string folder;
    Rattandeck::JournalSet knownSet;
    bool complete = false;
};
