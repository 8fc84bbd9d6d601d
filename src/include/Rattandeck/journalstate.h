#pragma once

#include "Rattandeck/journalmessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Rattandeck {

/// The prompt that consists of a chain of turns, or the known end of that chain.
struct ChainTranscript {
    std::string text;
    /// The latest earlier turn that is unknown; `text` begins after it. Empty when the chain is complete.
    TurnId missing;
};

/// The location of a record on a journal's disk. It is valid only for the disk that returned it.
struct DiskLocation {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    bool operator==(const DiskLocation&) const = default;
};

/// A retained turn without its text, which is stored on disk.
struct TurnOnDisk {
    TurnId id;
    TurnId previous;
    std::size_t textBytes = 0;
    Milliseconds retention { 0 };
    DiskLocation location;
    bool operator==(const TurnOnDisk&) const = default;
};

/// Reads a turn from disk. Returns nothing when the disk cannot read it now.
using TurnReader = std::function<std::optional<RetainedTurn>(const DiskLocation& location)>;

/// The in-memory index of a journal's records: claims on token budgets and retained turns. It does not access the disk
/// itself. Its owner writes the applied records to disk, applies the records read at start-up, and reports the location
/// of a written turn, whose text is held in memory only until then.
///
/// Thread safety: not synchronised.
class JournalState {
public:
    explicit JournalState(TurnReader reader = {});
    ~JournalState();
    JournalState(const JournalState&) = delete;
    JournalState& operator=(const JournalState&) = delete;

    /// Adds or settles a claim. A delayed older message does not revert a settled claim. Returns whether the record
    /// changed the state.
    bool apply(const SettleClaim& claim, TimePoint now);
    /// Adds a turn and extends the retention of the chain that it continues. Returns whether the turn is new.
    bool apply(const RetainedTurn& turn, TimePoint now);
    /// As above, for a turn that was read from disk at start-up.
    bool apply(const TurnOnDisk& turn, TimePoint now);
    /// The turn is on disk at this location. Ignored for an unknown turn.
    void onWritten(const TurnId& turn, const DiskLocation& location);

    /// Adds a crash report. Returns whether it is new.
    bool apply(const CrashReport& report, TimePoint now);

    std::vector<TokenClaim> claims(const BudgetId& budget) const;
    std::vector<CrashReport> crashes() const;
    /// The prompt that consists of the chain up to `turn`; nothing when the turn itself is unknown or cannot be read.
    /// An earlier turn that cannot be read is reported as missing.
    std::optional<ChainTranscript> transcript(const TurnId& turn) const;

    /// Removes records whose retention has passed.
    void expire(TimePoint now);

    /// Total bytes of the inputs, outputs and ids of turns.
    std::size_t bytes() const;
    /// The part of `bytes` that is held in memory because the turns are not known to be on disk.
    std::size_t bytesInMemory() const;
    /// Sequence number of the record that was added, changed or taken last. Sequence numbers increase.
    std::uint64_t lastSequence() const;
    std::size_t turnCount() const;
    std::size_t budgetCount() const;

    bool hasTurn(const TurnId& turn) const;
    /// The latest turn of the chain up to `turn` that is unknown; empty when the whole chain is known.
    TurnId firstUnknown(const TurnId& turn) const;
    /// Nothing for a turn that is unknown or cannot be read.
    std::optional<RetainedTurn> turn(const TurnId& turn) const;
    /// As `turn`, and holds the text in memory until the next `onWritten`, because its segment is about to be removed.
    std::optional<RetainedTurn> loadIntoMemory(const TurnId& turn);
    /// The oldest claims and turns, with sequence numbers up to `sequence`, `maxRecords` at most, and gives them new
    /// numbers, because they are about to be written again.
    CopyPage takeOldest(std::uint64_t sequence, std::size_t maxRecords);
    /// Whether there is a claim or turn with a sequence number up to `sequence`.
    bool hasThrough(std::uint64_t sequence) const;
    /// The records after `cursor` (0: from the start), in the order of their sequence numbers, `maxRecords` at most.
    CopyPage page(std::uint64_t cursor, std::size_t maxRecords) const;

    /// Comparison with the records of another journal; see `RecordDigests`.
    std::string digests() const;
    /// The names of the records in the buckets that differ, from `firstBucket` on.
    CopyPage compare(const std::string& otherDigests, std::uint32_t firstBucket, std::size_t maxNames) const;
    /// Those of the names whose records, or settlements, are missing here.
    std::string lackingNames(std::string_view names) const;
    /// The records with these names; unknown ones are omitted.
    CopyPage recordsOf(std::string_view names) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
