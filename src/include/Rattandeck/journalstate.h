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

/// The records that a journal holds: claims on token budgets and retained turns. It has no disk; whoever owns it
/// writes what it applies and applies what it reads back.
///
/// Thread safety: not synchronised.
class JournalState {
public:
    JournalState();
    ~JournalState();
    JournalState(const JournalState&) = delete;
    JournalState& operator=(const JournalState&) = delete;

    /// Adds or settles a claim. A settled claim is not changed back by an older message that arrives late. Returns
    /// whether anything was not known before.
    bool apply(const SettleClaim& claim, TimePoint now);
    /// Adds a turn and renews the chain that it continues. Returns whether the turn was not known before.
    bool apply(const RetainedTurn& turn, TimePoint now);

    /// Adds a crash. Returns whether it was not known before.
    bool apply(const CrashReport& report, TimePoint now);

    std::vector<TokenClaim> claims(const BudgetId& budget) const;
    std::vector<CrashReport> crashes() const;
    /// The prompt that the chain through `turn` makes; nothing when the turn itself is not known.
    std::optional<ChainTranscript> transcript(const TurnId& turn) const;

    /// Forgets what has outlived its retention.
    void expire(TimePoint now);

    /// Bytes of inputs, outputs and names held.
    std::size_t bytes() const;
    /// Number of the record that was added or changed last; numbers grow.
    std::uint64_t lastNumber() const;
    std::size_t turnCount() const;
    std::size_t budgetCount() const;

    bool hasTurn(const TurnId& turn) const;
    /// Nothing for a turn that is not known.
    std::optional<RetainedTurn> turn(const TurnId& turn) const;
    /// Up to about `maxRecords` of all records, in the order in which they were added or changed. `cursor` 0 is the
    /// start.
    CopyPage page(std::uint64_t cursor, std::size_t maxRecords) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
