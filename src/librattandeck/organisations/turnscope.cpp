#include "Rattandeck/turnscope.h"

#include <charconv>

namespace Rattandeck {

/// Unit separator.
constexpr char scopeMark = '\x1f';
/// Ends the decimal length of the organisation's name.
constexpr char lengthEnd = ':';

TurnId scopedTurn(const OrganisationId& organisation, const TurnId& turn)
{
    std::string id(1, scopeMark);
    id += std::to_string(organisation.value.size());
    id += lengthEnd;
    id += organisation.value;
    id += turn.value;
    return TurnId(std::move(id));
}

bool isScoped(const TurnId& turn) { return turn.value.starts_with(scopeMark); }

TurnId unscopedTurn(const TurnId& recorded)
{
    const std::string& id = recorded.value;
    if (!isScoped(recorded))
        return recorded;
    std::size_t length = 0;
    const char* const last = id.data() + id.size();
    const auto [end, error] = std::from_chars(id.data() + 1, last, length);
    if (error != std::errc() || end == last || *end != lengthEnd)
        return recorded;
    const auto nameStart = static_cast<std::size_t>(end - id.data()) + 1;
    return length > id.size() - nameStart ? recorded : TurnId(id.substr(nameStart + length));
}

}
