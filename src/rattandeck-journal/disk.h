#pragma once

#include "files.h"
#include "Rattandeck/types.h"
#include "RattandeckNet/eventloop.h"
#include "record.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

/// Write-ahead log of a journal: appends records to files in one folder and reports when they are durable, that is,
/// when they survive a loss of power.
///
/// The log consists of segments, one file each. A new segment is started after a restart and when the current one
/// exceeds its maximum size or age. Segments are removed as a whole.
class JournalDisk {
public:
    struct Limits {
        /// Size beyond which a new segment is started. It limits the memory that recovery needs, since recovery reads
        /// each segment into memory as a whole.
        std::size_t segmentBytes = 4UL * 1024 * 1024;
        Rattandeck::Milliseconds segmentAge { 15000 };
        /// Delay before a failed write is retried in a new segment.
        Rattandeck::Milliseconds retryDelay { 200 };
        /// Syncs a file that an earlier process wrote.
        bool (*syncFile)(const std::string& path) = ::syncFile;
    };
    using SegmentNumber = std::uint64_t;

    /// What recovery read at start-up.
    struct RecoveryStats {
        std::size_t records = 0;
        std::size_t segments = 0;
        /// Segments whose end is truncated or was never written.
        std::size_t tornSegments = 0;
        /// Records of the last segment that are written again because syncing it failed.
        std::size_t rewrittenRecords = 0;
    };

    enum class Error { CannotOpenFolder, CannotReadSegment };

    /// Reads all records in `folder` in the order in which they were written, and starts the writer thread. Records
    /// that a killed process wrote but did not sync are synced first, or written again if the sync fails.
    ///
    /// Precondition: no other process uses the folder; `loop` outlives this object.
    static tl::expected<std::unique_ptr<JournalDisk>, Error> open(RattandeckNet::EventLoop& loop,
        const std::string& folder, Limits limits, const std::function<void(Rattandeck::RecoveredRecord)>& onRecord,
        RecoveryStats& recoveryStats);
    ~JournalDisk();
    JournalDisk(const JournalDisk&) = delete;
    JournalDisk& operator=(const JournalDisk&) = delete;

    /// Called from the loop when an appended turn is on disk, before the callback of any later `sync`. Precondition:
    /// set before the loop runs.
    using OnTurnWritten = std::function<void(const Rattandeck::TurnId& turn, const Rattandeck::DiskLocation& location)>;
    void setOnTurnWritten(OnTurnWritten handler);
    /// Called from the loop when a write has failed, and when one succeeds after that. Precondition: set before the
    /// loop runs.
    using OnWritable = std::function<void(bool isWritable)>;
    void setOnWritable(OnWritable handler);
    /// Bound on the size of the folder, beyond which writes are refused as by a full disk.
    FolderQuota& quota();

    /// Appends a record. It is on disk once the callback of a later `sync` has been called.
    ///
    /// Thread safety: use from the loop's thread.
    void append(const Rattandeck::JournalRecord& record);

    /// Reads a turn. Returns nothing when its segment has been removed or cannot be read.
    ///
    /// Thread safety: use from the loop's thread, which blocks for the read.
    std::optional<Rattandeck::RetainedTurn> read(const Rattandeck::DiskLocation& location);

    /// Calls `onDurable` from the loop once all records appended so far are on disk.
    void sync(std::function<void()> onDurable);

    /// The segment that records are currently appended to.
    SegmentNumber currentSegment() const;
    /// Removes all segments before `number`, once the records appended so far are on disk.
    void removeBefore(SegmentNumber number);
    /// Removes all segments before `number` also while the disk refuses writes. Precondition: no record in them is
    /// needed any more.
    void removeExpiredBefore(SegmentNumber number);

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
