#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Rattandeck {

/// One complete event of a stream (text/event-stream).
struct StreamEvent {
    /// The event as received, including the blank line that ends it.
    std::string_view bytes;
    std::string_view id;
    /// The values of the data lines, joined by line feeds.
    std::string data;
};

/// Incremental parser that splits a byte stream into events.
///
/// Thread safety: not synchronised.
class EventSplitter {
public:
    /// Appends bytes. Invalidates the views of events returned earlier.
    void add(std::string_view bytes);
    /// Returns the next complete event. Its views are valid until the next call of `add`.
    std::optional<StreamEvent> next();
    /// Number of bytes that belong to an incomplete event.
    std::size_t pendingBytes() const { return this->buffer.size() - this->consumed; }
    /// Memory that is held for bytes, in bytes.
    std::size_t heldBytes() const { return this->buffer.capacity(); }

private:
    std::string buffer;
    /// End of the last event that was returned.
    std::size_t consumed = 0;
    /// Start of the first line that is not known to be complete.
    std::size_t lineStart = 0;
    /// Position up to which no further line end was found.
    std::size_t searched = 0;
};

}
