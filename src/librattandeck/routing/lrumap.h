#pragma once

#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace Rattandeck {

/// Map by text of bounded size: a new entry takes the place of the one that has not been changed for longest.
template <typename Value> class LruMap {
public:
    explicit LruMap(std::size_t maxSize)
        : maxSize(maxSize)
    {
    }

    const Value* find(const std::string& key) const
    {
        const auto found = this->positions.find(key);
        return found == this->positions.end() ? nullptr : &found->second->second;
    }

    /// Returns the entry to be changed, which is created if there is none.
    Value& touch(const std::string& key)
    {
        const auto found = this->positions.find(key);
        if (found != this->positions.end()) {
            this->entries.splice(this->entries.begin(), this->entries, found->second);
            return found->second->second;
        }
        if (this->entries.size() >= this->maxSize) {
            this->positions.erase(this->entries.back().first);
            this->entries.pop_back();
        }
        this->entries.emplace_front(key, Value());
        this->positions.emplace(key, this->entries.begin());
        return this->entries.front().second;
    }

    std::size_t size() const { return this->entries.size(); }

private:
    using Entries = std::list<std::pair<std::string, Value>>;

    std::size_t maxSize;
    Entries entries;
    std::unordered_map<std::string, typename Entries::iterator> positions;
};

}
