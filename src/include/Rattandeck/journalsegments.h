#pragma once

#include "Rattandeck/types.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Rattandeck {

class Journal;

/// Removes the old segments of a journal's log. Segments are removed as a whole, the oldest first, once most of what
/// they hold is no longer needed; the rest is appended again before.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class JournalSegments {
public:
    using Number = std::uint64_t;

    /// The operations of the log that are needed.
    struct Io {
        /// The segment that records are appended to now.
        std::function<Number()> current;
        /// A new segment has been begun: appends what the log holds beside the journal's records, so that older
        /// segments can be removed.
        std::function<void()> onBegun;
        /// Removes all segments before `number`, once the records appended so far are on disk.
        std::function<void(Number number)> removeBefore;
        /// As `removeBefore`, also while the disk refuses writes. No record in these segments is needed any more.
        std::function<void(Number number)> removeExpiredBefore;
    };

    /// Precondition: `journal` outlives this object.
    JournalSegments(Journal& journal, Io io);
    ~JournalSegments();
    JournalSegments(const JournalSegments&) = delete;
    JournalSegments& operator=(const JournalSegments&) = delete;

    /// Call at regular intervals, which are short against the time for which segments are written to. While the disk
    /// can't be written, only segments that hold nothing that is still needed are removed.
    void removeOld(TimePoint now, bool isWritable);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
