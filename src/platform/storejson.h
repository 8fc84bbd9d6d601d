#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace Platform {

/// Deepest nesting that is read. The library copies and writes values recursively, so deeper ones would end the
/// process.
constexpr std::size_t maxJsonDepth = 64;

/// Reads JSON text from the store, in which each object may come from another writer. What can't be read spoils only
/// the value that contains it: bytes, escapes and numbers that have no meaning, and values nested deeper than
/// `maxJsonDepth` are replaced, so that the other objects hold. The result can be written as JSON text.
///
/// Returns a discarded value if the structure of the text itself is broken. Thread safety: none needed.
nlohmann::json readStoreJson(std::string_view text);

}
