#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Rattandeck {

/// One whole event of a stream (text/event-stream).
struct StreamEvent {
    /// The event as it was received, with the blank line that ends it.
    std::string_view bytes;
    std::string_view id;
    /// The data lines, joined by line feeds.
    std::string data;
};

/// Splits a stream into its events as its bytes come.
///
/// Thread safety: not synchronised.
class EventSplitter {
public:
    /// Adds bytes. Invalidates events that were returned before.
    void add(std::string_view bytes);
    /// The next whole event; its views hold until the next call.
    std::optional<StreamEvent> next();
    /// Bytes of an event that is not whole yet.
    std::size_t pendingBytes() const { return this->buffer.size() - this->consumed; }

private:
    std::string buffer;
    std::size_t consumed = 0;
};

}
