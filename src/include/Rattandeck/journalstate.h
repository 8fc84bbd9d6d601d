#pragma once

#include "Rattandeck/journalmessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Rattandeck {

/// The prompt that a chain of turns makes, as far as it is known.
struct ChainTranscript {
    std::string text;
    /// The nearest earlier turn that is not known; `text` begins after it. Empty when the chain is whole.
    TurnId missing;
};

/// Where a journal's disk holds a record. It means something only to the disk that gave it.
struct DiskPlace {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    bool operator==(const DiskPlace&) const = default;
};

/// A retained turn without its text, which stands on disk.
struct TurnOnDisk {
    TurnId id;
    TurnId previous;
    std::size_t textBytes = 0;
    Milliseconds retention { 0 };
    DiskPlace location;
    bool operator==(const TurnOnDisk&) const = default;
};

/// Reads a turn back from disk. Nothing when the disk can't do that now.
using TurnReader = std::function<std::optional<RetainedTurn>(const DiskPlace& location)>;

/// The records that a journal holds: claims on token budgets and retained turns. It has no disk; whoever owns it
/// writes what it applies, applies what it reads back, and says where the text of a turn stands, which is held in
/// memory only until then.
///
/// Thread safety: not synchronised.
class JournalState {
public:
    explicit JournalState(TurnReader reader = {});
    ~JournalState();
    JournalState(const JournalState&) = delete;
    JournalState& operator=(const JournalState&) = delete;

    /// Adds or settles a claim. A settled claim is not changed back by an older message that arrives late. Returns
    /// whether anything was not known before.
    bool apply(const SettleClaim& claim, TimePoint now);
    /// Adds a turn and renews the chain that it continues. Returns whether the turn was not known before.
    bool apply(const RetainedTurn& turn, TimePoint now);
    /// As above, for a turn that was found on disk.
    bool apply(const TurnOnDisk& turn, TimePoint now);
    /// The turn stands on disk. Ignored for a turn that is not known.
    void onWritten(const TurnId& turn, const DiskPlace& location);

    /// Adds a crash. Returns whether it was not known before.
    bool apply(const CrashReport& report, TimePoint now);

    std::vector<TokenClaim> claims(const BudgetId& budget) const;
    std::vector<CrashReport> crashes() const;
    /// The prompt that the chain through `turn` makes; nothing when the turn itself is not known or can't be read. An
    /// earlier turn that can't be read counts as missing.
    std::optional<ChainTranscript> transcript(const TurnId& turn) const;

    /// Forgets what has outlived its retention.
    void expire(TimePoint now);

    /// Bytes of inputs, outputs and names of turns.
    std::size_t bytes() const;
    /// Those of them that are in memory because they are not known to be on disk.
    std::size_t bytesInMemory() const;
    /// Number of the record that was added or changed last; numbers grow.
    std::uint64_t lastSequence() const;
    std::size_t turnCount() const;
    std::size_t budgetCount() const;

    bool hasTurn(const TurnId& turn) const;
    /// Nothing for a turn that is not known or can't be read.
    std::optional<RetainedTurn> turn(const TurnId& turn) const;
    /// As `turn`, and holds the text in memory until the next `onWritten`: its place on disk is about to go.
    std::optional<RetainedTurn> loadIntoMemory(const TurnId& turn);
    /// Up to about `maxRecords` of all records, in the order in which they were added or changed. `cursor` 0 is the
    /// start.
    CopyPage page(std::uint64_t cursor, std::size_t maxRecords) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
