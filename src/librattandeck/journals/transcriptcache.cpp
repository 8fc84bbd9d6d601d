#include "transcriptcache.h"

namespace Rattandeck {

TranscriptCache::TranscriptCache(std::size_t maxBytes, Milliseconds retention)
    : maxBytes(maxBytes)
    , retention(retention)
{
}

void TranscriptCache::add(const TurnId& turn, std::string text, TimePoint now)
{
    this->remove(turn);
    this->order.push_back(turn);
    this->bytes += text.size();
    this->entries[turn] = { std::move(text), std::prev(this->order.end()), now + this->retention };
    this->removeExcess(now);
}

void TranscriptCache::remove(const TurnId& turn)
{
    const auto found = this->entries.find(turn);
    if (found == this->entries.end())
        return;
    this->bytes -= found->second.text.size();
    this->order.erase(found->second.position);
    this->entries.erase(found);
}

const std::string* TranscriptCache::find(const TurnId& turn) const
{
    const auto found = this->entries.find(turn);
    return found == this->entries.end() ? nullptr : &found->second.text;
}

void TranscriptCache::removeExcess(TimePoint now)
{
    while (!this->order.empty()) {
        const TurnId oldest = this->order.front();
        const bool isExpired = this->entries.at(oldest).expires <= now;
        if (!isExpired && this->bytes <= this->maxBytes)
            return;
        this->remove(oldest);
    }
}

}
