#include "Rattandeck/eventstream.h"

namespace Rattandeck {

void EventSplitter::add(std::string_view bytes)
{
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    this->buffer += bytes;
}

/// Returns the value of a line "name: value", without one leading space; nothing for a line with another name.
static std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
        return std::nullopt;
    line.remove_prefix(name.size() + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

static void readLine(std::string_view line, StreamEvent& event, bool& hasData)
{
    if (const auto id = fieldValue(line, "id"))
        event.id = *id;
    const auto data = fieldValue(line, "data");
    if (!data)
        return;
    if (hasData)
        event.data += '\n';
    event.data += *data;
    hasData = true;
}

std::optional<StreamEvent> EventSplitter::next()
{
    const std::string_view pending = std::string_view(this->buffer).substr(this->consumed);
    StreamEvent event;
    bool hasData = false;
    std::size_t start = 0;
    while (true) {
        const std::size_t lineEnd = pending.find('\n', start);
        if (lineEnd == std::string_view::npos)
            return std::nullopt;
        std::string_view line = pending.substr(start, lineEnd - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        start = lineEnd + 1;
        if (line.empty())
            break;
        readLine(line, event, hasData);
    }
    event.bytes = pending.substr(0, start);
    this->consumed += start;
    return event;
}

}
