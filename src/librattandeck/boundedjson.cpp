#include "Rattandeck/boundedjson.h"

namespace Rattandeck {

BoundedJsonHandler::BoundedJsonHandler(Json& target, std::size_t maxDepth, DeepValue deepValue)
    : root(target)
    , maxDepth(maxDepth)
    , deepValue(deepValue)
{
}

bool BoundedJsonHandler::key(string_t& value)
{
    if (this->skippedLevels == 0)
        this->pendingKey = std::move(value);
    return true;
}

BoundedJsonHandler::Json* BoundedJsonHandler::place(Json&& value)
{
    if (this->path.empty()) {
        this->root = std::move(value);
        return &this->root;
    }
    Json& parent = *this->path.back();
    if (parent.is_array())
        return &parent.emplace_back(std::move(value));
    Json& member = parent[std::move(this->pendingKey)];
    member = std::move(value);
    return &member;
}

bool BoundedJsonHandler::add(Json value)
{
    if (this->skippedLevels == 0)
        this->place(std::move(value));
    return true;
}

bool BoundedJsonHandler::open(Json container)
{
    if (this->skippedLevels == 0 && this->path.size() < this->maxDepth) {
        this->path.push_back(this->place(std::move(container)));
        return true;
    }
    if (this->deepValue == DeepValue::Reject)
        return false;
    if (this->skippedLevels == 0)
        this->place(nullptr);
    ++this->skippedLevels;
    return true;
}

bool BoundedJsonHandler::close()
{
    if (this->skippedLevels > 0)
        --this->skippedLevels;
    else
        this->path.pop_back();
    return true;
}

}
