#include "Rattandeck/journalsegments.h"

#include "Rattandeck/journal.h"

#include <deque>

namespace Rattandeck {

/// A closed segment is kept for twice the longest retention seen plus this margin, so that the oldest turns of a chain
/// are rarely rewritten.
constexpr Milliseconds segmentRetentionMargin { 60000 };

struct JournalSegments::Impl {
    struct Segment {
        Number number = 0;
        TimePoint startedAt;
        /// Sequence number of the last record in earlier segments.
        std::uint64_t lastSequenceBefore = 0;
    };

    Journal& journal;
    Io io;
    std::deque<Segment> segments;

    /// Whether the oldest segment is old enough to be removed. A segment has been closed since the start of the next
    /// one.
    bool isOldestDue(TimePoint now) const
    {
        const Duration kept = this->journal.longestTurnRetention() * 2 + segmentRetentionMargin;
        return this->segments.size() > 1 && now - this->segments[1].startedAt > kept;
    }

    void noteCurrent(TimePoint now)
    {
        const Number current = this->io.current();
        if (!this->segments.empty() && this->segments.back().number == current)
            return;
        this->segments.push_back({ current, now, this->journal.state().lastSequence() });
        this->io.onBegun();
    }
};

JournalSegments::JournalSegments(Journal& journal, Io io)
    : impl(std::make_unique<Impl>(Impl { journal, std::move(io), {} }))
{
}

JournalSegments::~JournalSegments() = default;

void JournalSegments::removeOld(TimePoint now, bool isWritable)
{
    auto& segments = this->impl->segments;
    if (isWritable)
        this->impl->noteCurrent(now);
    while (this->impl->isOldestDue(now)) {
        const std::uint64_t last = segments[1].lastSequenceBefore;
        // On a full disk, what is needed can't be written again.
        if (!isWritable && this->impl->journal.hasRecordsThrough(last))
            return;
        if (isWritable)
            this->impl->journal.rewriteThrough(last);
        segments.pop_front();
        const Number first = segments.front().number;
        isWritable ? this->impl->io.removeBefore(first) : this->impl->io.removeExpiredBefore(first);
    }
}

}
