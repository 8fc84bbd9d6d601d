#pragma once

#include "Rattandeck/messages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Rattandeck {

enum class WireError {
    /// Not MessagePack, or not a message.
    Malformed,
    /// A kind of message that this version does not know; to be ignored.
    UnknownKind,
    /// A field has the wrong type or range.
    BadField,
};

/// Codes a message as MessagePack; long texts are attached to the document as they are.
std::string encode(const Message& message);
/// Reads what `encode` wrote, in this or another version. Never throws; allocates in proportion to `bytes`.
tl::expected<Message, WireError> decode(std::string_view bytes);

}
