#pragma once

#include "files.h"
#include "Rattandeck/types.h"
#include "RattandeckNet/eventloop.h"
#include "record.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

/// Appends records to files in one folder and says when they will outlive a loss of power.
///
/// Records stand in segments, one file each: a later start, and a segment that has grown enough, begin a new one. A
/// segment is removed as a whole.
class JournalDisk {
public:
    struct Limits {
        /// A start reads one segment after the other whole into memory.
        std::size_t segmentBytes = 4UL * 1024 * 1024;
        Rattandeck::Milliseconds segmentAge { 15000 };
        /// Wait before a refused write is tried again, in a new segment.
        Rattandeck::Milliseconds retryDelay { 200 };
        /// Makes a file durable that an earlier process wrote.
        bool (*syncFile)(const std::string& path) = ::syncFile;
    };
    using SegmentNumber = std::uint64_t;

    /// What was found at the start.
    struct RecoveryStats {
        std::size_t records = 0;
        std::size_t segments = 0;
        /// Segments whose end was cut short or never written.
        std::size_t tornSegments = 0;
        /// Records of the last segment that are written once more, since the disk would not sync it.
        std::size_t rewrittenRecords = 0;
    };

    enum class Error { CannotOpenFolder, CannotReadSegment };

    /// Reads every record in `folder`, in the order of writing, and starts the writer. What a process that was killed
    /// had written and not synced is made durable first, or is written once more.
    ///
    /// Precondition: no other process uses the folder; `loop` outlives this object.
    static tl::expected<std::unique_ptr<JournalDisk>, Error> open(RattandeckNet::EventLoop& loop,
        const std::string& folder, Limits limits, const std::function<void(Rattandeck::FoundRecord)>& onRecord,
        RecoveryStats& found);
    ~JournalDisk();
    JournalDisk(const JournalDisk&) = delete;
    JournalDisk& operator=(const JournalDisk&) = delete;

    /// Called from the loop when a turn that was appended is on disk, before a `sync` after it says so. Precondition:
    /// set before the loop runs.
    using OnTurnWritten = std::function<void(const Rattandeck::TurnId& turn, const Rattandeck::DiskPlace& location)>;
    void setOnTurnWritten(OnTurnWritten handler);

    /// Appends a record; it is on disk when a later `sync` says so.
    ///
    /// Thread safety: use from the loop's thread.
    void append(const Rattandeck::JournalRecord& record);

    /// Reads a turn back. Nothing when its segment is gone or can't be read.
    ///
    /// Thread safety: use from the loop's thread, which waits for the disk.
    std::optional<Rattandeck::RetainedTurn> read(const Rattandeck::DiskPlace& location);

    /// Calls `onDurable` from the loop once all records appended so far are on disk.
    void sync(std::function<void()> onDurable);

    /// The segment that records are appended to now.
    SegmentNumber currentSegment() const;
    /// Removes all segments before `number`, once the records appended so far are on disk.
    void removeBefore(SegmentNumber number);

    struct Stats {
        std::uint64_t records = 0;
        std::uint64_t syncs = 0;
        std::uint64_t failures = 0;
        std::uint64_t bytes = 0;
    };
    Stats stats() const;

private:
    struct Impl;
    explicit JournalDisk(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};
