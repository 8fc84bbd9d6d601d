#pragma once

#include "Rattandeck/journalmessages.h"
#include "Rattandeck/timer.h"

#include <list>
#include <string>
#include <unordered_map>

namespace Rattandeck {

/// Prompts that consist of chains of turns, by the last turn of each. Holds a bounded number of bytes, of which the
/// oldest leave first; reading one does not extend its lifetime.
///
/// Thread safety: not synchronised.
class TranscriptCache {
public:
    TranscriptCache(std::size_t maxBytes, Milliseconds retention);

    void add(const TurnId& turn, std::string text, TimePoint now);
    void remove(const TurnId& turn);
    /// Null if there is none. Valid until the next change.
    const std::string* find(const TurnId& turn) const;

private:
    struct Entry {
        std::string text;
        std::list<TurnId>::iterator position;
        TimePoint expires;
    };

    void removeExcess(TimePoint now);

    std::size_t maxBytes;
    Milliseconds retention;
    std::unordered_map<TurnId, Entry> entries;
    /// Keys of `entries`, the oldest first.
    std::list<TurnId> order;
    std::size_t bytes = 0;
};

}
