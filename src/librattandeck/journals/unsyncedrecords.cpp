#include "unsyncedrecords.h"

#include <algorithm>

namespace Rattandeck {

UnsyncedRecords::UnsyncedRecords(Sync sync)
    : sync(std::move(sync))
{
}

void UnsyncedRecords::add(RecordKey record)
{
    this->numbers[record] = ++this->lastNumber;
    this->order.emplace_back(this->lastNumber, std::move(record));
    if (this->order.size() >= maxUnawaited && this->syncs.empty())
        this->whenAllDurable([] {});
}

void UnsyncedRecords::whenDurable(const RecordKey& record, std::function<void()> onDurable)
{
    const auto found = this->numbers.find(record);
    if (found == this->numbers.end()) {
        onDurable();
        return;
    }
    const auto including = std::ranges::find_if(
        this->syncs, [number = found->second](const SyncUnderWay& each) { return each.last >= number; });
    if (including == this->syncs.end())
        this->whenAllDurable(std::move(onDurable));
    else
        including->callbacks.push_back(std::move(onDurable));
}

void UnsyncedRecords::whenAllDurable(std::function<void()> onDurable)
{
    this->syncs.push_back({ this->lastNumber, { std::move(onDurable) } });
    this->sync([this] { this->onSynced(); });
}

void UnsyncedRecords::onSynced()
{
    const SyncUnderWay ended = std::move(this->syncs.front());
    this->syncs.pop_front();
    while (!this->order.empty() && this->order.front().first <= ended.last) {
        const auto& [number, record] = this->order.front();
        // The record may have been appended again since.
        if (this->numbers.at(record) == number)
            this->numbers.erase(record);
        this->order.pop_front();
    }
    for (const auto& onDurable : ended.callbacks)
        onDurable();
}

}
