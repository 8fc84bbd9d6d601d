#pragma once

#include "Rattandeck/journalmessages.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace Rattandeck {

/// Identifies the record of a claim, or that of a turn, which has no budget.
struct RecordKey {
    BudgetId budget;
    TurnId turn;
    auto operator<=>(const RecordKey&) const = default;
};

/// The records that a journal has appended to its disk and that are not durable yet. What depends on one of them waits
/// for the first sync that includes it, which may be under way already.
///
/// Its size is bounded by the records that are appended between two syncs; it starts one itself when `maxUnawaited` are
/// added that nobody waits for.
///
/// Thread safety: not synchronised.
class UnsyncedRecords {
public:
    /// Calls `onDurable` once all records appended so far are durable, in the order of the calls.
    using Sync = std::function<void(std::function<void()> onDurable)>;

    static constexpr std::size_t maxUnawaited = 4096;

    explicit UnsyncedRecords(Sync sync);

    /// The record has been appended.
    void add(RecordKey record);
    /// Calls `onDurable` once the record is durable. Calls it at once if no such record has been added since the last
    /// sync.
    void whenDurable(const RecordKey& record, std::function<void()> onDurable);
    /// Calls `onDurable` once all records added so far are durable.
    void whenAllDurable(std::function<void()> onDurable);
    /// Whether the record has been added and is not durable yet.
    bool contains(const RecordKey& record) const { return this->numbers.contains(record); }
    std::size_t size() const { return this->order.size(); }

private:
    struct SyncUnderWay {
        /// Number of the last record that it includes.
        std::uint64_t last = 0;
        std::vector<std::function<void()>> callbacks;
    };

    void onSynced();

    Sync sync;
    /// Records are numbered in the order in which they are added.
    std::uint64_t lastNumber = 0;
    std::map<RecordKey, std::uint64_t> numbers;
    std::deque<std::pair<std::uint64_t, RecordKey>> order;
    std::deque<SyncUnderWay> syncs;
};

}
