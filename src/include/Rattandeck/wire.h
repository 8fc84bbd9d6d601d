#pragma once

#include "Rattandeck/messages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Rattandeck {

enum class WireError {
    /// The input is not valid MessagePack, or its structure is not that of a message.
    Malformed,
    /// A kind of message that this version does not know; receivers ignore it.
    UnknownKind,
    /// A field has the wrong type or range.
    BadField,
};

/// Encodes a message as MessagePack. Long strings are appended to the document as raw attachments.
std::string encode(const Message& message);
/// Returns the name of the message's kind on the wire, for metrics.
std::string_view kindName(const Message& message);
/// Decodes a message encoded by this or another version. Does not throw on malformed input; allocates memory in
/// proportion to the size of `bytes`.
tl::expected<Message, WireError> decode(std::string_view bytes);

}
