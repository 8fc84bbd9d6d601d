#include "Rattandeck/eventstream.h"

namespace Rattandeck {

void EventSplitter::add(std::string_view bytes)
{
    this->buffer.erase(0, this->consumed);
    this->lineStart -= this->consumed;
    this->searched -= this->consumed;
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

static std::string_view withoutCarriageReturn(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

static StreamEvent readEvent(std::string_view bytes)
{
    StreamEvent event;
    event.bytes = bytes;
    bool hasData = false;
    for (std::size_t start = 0; start < bytes.size();) {
        const std::size_t lineEnd = bytes.find('\n', start);
        readLine(withoutCarriageReturn(bytes.substr(start, lineEnd - start)), event, hasData);
        start = lineEnd + 1;
    }
    return event;
}

std::optional<StreamEvent> EventSplitter::next()
{
    const std::string_view all = this->buffer;
    while (true) {
        const std::size_t lineEnd = all.find('\n', this->searched);
        if (lineEnd == std::string_view::npos) {
            this->searched = all.size();
            return std::nullopt;
        }
        const bool isBlank = withoutCarriageReturn(all.substr(this->lineStart, lineEnd - this->lineStart)).empty();
        this->lineStart = lineEnd + 1;
        this->searched = this->lineStart;
        if (!isBlank)
            continue;
        const StreamEvent event = readEvent(all.substr(this->consumed, this->lineStart - this->consumed));
        this->consumed = this->lineStart;
        return event;
    }
}

}
